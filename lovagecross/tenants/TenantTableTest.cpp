#include "lovagecross/tenants/TenantTable.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

class TenantTableTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TenantTableTest);
    CPPUNIT_TEST(keysFindTheirTenantAmongManyOthers);
    CPPUNIT_TEST(keysThatNoTenantCanHaveAreRejected);
    CPPUNIT_TEST(printedDigestIsRead);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a caller that is taken for another tenant, or that keeps access with a key that is not listed.
    void keysFindTheirTenantAmongManyOthers()
    {
        constexpr std::size_t count = 10'000;
        std::vector<TenantEntry> list;
        for (std::size_t i = 0; i < count; ++i) {
            std::string number = std::to_string(i);
            list.push_back({ "tenant" + number, { *digestOfKey("a" + number), *digestOfKey("b" + number) }, {}, {} });
        }
        list.push_back({ "keyless", {}, {}, {} });
        TenantTable table(std::move(list));
        CPPUNIT_ASSERT_EQUAL(std::string("tenant7"), table.findByKey(*digestOfKey("b7"))->name);
        CPPUNIT_ASSERT_EQUAL(std::string("tenant9999"), table.findByKey(*digestOfKey("a9999"))->name);
        CPPUNIT_ASSERT(table.findByKey(*digestOfKey("a10000")) == nullptr);
        CPPUNIT_ASSERT(table.findByName("keyless") != nullptr && table.findByName("tenant10000") == nullptr);
    }

    // Guards against a malformed key that reaches the lookup, and against an unbounded digest computation.
    void keysThatNoTenantCanHaveAreRejected()
    {
        CPPUNIT_ASSERT(!digestOfKey(""));
        CPPUNIT_ASSERT(!digestOfKey("a b"));
        CPPUNIT_ASSERT(!digestOfKey("k\xc3\xa9y"));
        CPPUNIT_ASSERT(!digestOfKey(std::string(16 * 1024, 'a')));
        CPPUNIT_ASSERT(digestOfKey(std::string(maxKeyBytes, 'a')).has_value());
    }

    // Guards against a key that a node that learned the configuration from another node does not recognize.
    void printedDigestIsRead()
    {
        KeyDigest digest = *digestOfKey("irth5mgjy5rcpihhacru");
        CPPUNIT_ASSERT(parseKeyDigest(printKeyDigest(digest)) == digest);
        CPPUNIT_ASSERT(!parseKeyDigest("irth5mgjy5rcpihhacru"));
        CPPUNIT_ASSERT(!parseKeyDigest(std::string(2 * keyDigestBytes, 'g')));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TenantTableTest);

} // namespace lovagecross
