#include "lovagecross/adapters/Base64.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

class Base64Test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(Base64Test);
    CPPUNIT_TEST(decodingRestoresTheBytes);
    CPPUNIT_TEST(invalidBase64IsRejected);
    CPPUNIT_TEST_SUITE_END();

    void decodingRestoresTheBytes()
    {
        std::string bytes;
        for (int i = 0; i < 1000; ++i)
            bytes += static_cast<char>(i * 7);
        std::string text = encodeBase64(bytes);
        CPPUNIT_ASSERT(text.find('\n') == std::string::npos);
        CPPUNIT_ASSERT(decodeBase64(text) == bytes);
        CPPUNIT_ASSERT_EQUAL(std::string("Zg=="), encodeBase64("f"));
        CPPUNIT_ASSERT(decodeBase64("") == std::string());
    }

    // Guards against truncated output at an invalid character: such a record was once parsed as if it were complete.
    void invalidBase64IsRejected()
    {
        CPPUNIT_ASSERT(!decodeBase64("Zm9v*mFy"));
        CPPUNIT_ASSERT(!decodeBase64("Zm9vYmFy!"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(Base64Test);

} // namespace lovagecross
