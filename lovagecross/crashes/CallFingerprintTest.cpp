#include "lovagecross/crashes/CallFingerprint.h"

#include <cppunit/extensions/HelperMacros.h>
#include <set>

namespace lovagecross {

class CallFingerprintTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CallFingerprintTest);
    CPPUNIT_TEST(eachPartOfTheContentCounts);
    CPPUNIT_TEST(partsThatRunTogetherDiffer);
    CPPUNIT_TEST(printedFingerprintIsRead);
    CPPUNIT_TEST_SUITE_END();

    // Guards against two different calls that count as one, so that one is refused for what the other did.
    void eachPartOfTheContentCounts()
    {
        const CallContent call { "POST", "/p", "m", "turn1", "body" };
        std::set<std::string> all { fingerprintOf(call), fingerprintOf({ "PUT", "/p", "m", "turn1", "body" }),
            fingerprintOf({ "POST", "/q", "m", "turn1", "body" }),
            fingerprintOf({ "POST", "/p", "n", "turn1", "body" }),
            fingerprintOf({ "POST", "/p", "m", "turn2", "body" }),
            fingerprintOf({ "POST", "/p", "m", "turn1", "bodz" }) };
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), all.size());
        CPPUNIT_ASSERT_EQUAL(fingerprintOf(call), fingerprintOf(call));
        for (const std::string& fingerprint : all)
            CPPUNIT_ASSERT_EQUAL(fingerprintBytes, fingerprint.size());
        CPPUNIT_ASSERT_EQUAL(
            fingerprintPrefixOf({ "POST", "/p", {}, {}, {} }), fingerprintOf(call).substr(0, fingerprintPrefixBytes));
    }

    // Guards against a caller that builds another call's fingerprint by moving a boundary between the parts.
    void partsThatRunTogetherDiffer()
    {
        CPPUNIT_ASSERT(fingerprintOf({ "P", "/", "ab", "c", "x" }) != fingerprintOf({ "P", "/", "a", "bc", "x" }));
        CPPUNIT_ASSERT(fingerprintOf({ "P", "/", "m", "", "tx" }) != fingerprintOf({ "P", "/", "m", "t", "x" }));
    }

    // Guards against an operator's command that can't name a call as the log does.
    void printedFingerprintIsRead()
    {
        std::string fingerprint = fingerprintOf({ "POST", "/p", "m", {}, "body" });
        CPPUNIT_ASSERT_EQUAL(fingerprint, parseFingerprint(printFingerprint(fingerprint)));
        for (const char* wrong : { "", "12", "0123456789abcdef0123456789abcdeg", "0123456789abcdef0123456789abcdef00" })
            CPPUNIT_ASSERT_EQUAL(std::string(), parseFingerprint(wrong));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallFingerprintTest);

} // namespace lovagecross
