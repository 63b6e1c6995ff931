#include "lovagecross/base/Error.h"

#include <cppunit/extensions/HelperMacros.h>
#include <stdexcept>

namespace lovagecross {

class ErrorTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ErrorTest);
    CPPUNIT_TEST(errorReachesItsHandler);
    CPPUNIT_TEST(exceptionKeepsItsText);
    CPPUNIT_TEST(everyCodeHasAName);
    CPPUNIT_TEST_SUITE_END();

    template <typename Body> static Error errorOf(Body body)
    {
        Error seen;
        handle([&]() -> Result<int> { return body(); },
            [&](const Error& error) {
                seen = error;
                return 0;
            });
        return seen;
    }

    void errorReachesItsHandler()
    {
        Error seen = errorOf([]() -> Result<int> { return fail(ErrorCode::TooLarge, "body", "above the limit"); });
        CPPUNIT_ASSERT(seen.code == ErrorCode::TooLarge);
        CPPUNIT_ASSERT_EQUAL(std::string("body"), seen.field);
    }

    // Without the text of a library's exception, its cause can't be found: the handler would get only "error without a
    // description".
    void exceptionKeepsItsText()
    {
        Error seen = errorOf([]() -> Result<int> { throw std::runtime_error("disk is full"); });
        CPPUNIT_ASSERT(seen.code == ErrorCode::Internal);
        CPPUNIT_ASSERT_EQUAL(std::string("disk is full"), seen.message);
    }

    // A code without a table entry would be reported to callers as "unknown".
    void everyCodeHasAName()
    {
        for (int code = 0; code <= static_cast<int>(ErrorCode::Internal); ++code)
            CPPUNIT_ASSERT(errorCodeNames.name(static_cast<ErrorCode>(code)) != "unknown");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ErrorTest);

} // namespace lovagecross
