#include "lovagecross/base/Ids.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

class IdsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(IdsTest);
    CPPUNIT_TEST(programIdRoundTrips);
    CPPUNIT_TEST(malformedProgramIdsAreRejected);
    CPPUNIT_TEST_SUITE_END();

    void programIdRoundTrips()
    {
        ProgramId id { { "lodz1", 2 }, 0x9f03c1d2a4b5e677 };
        CPPUNIT_ASSERT_EQUAL(std::string("lodz1-02-9f03c1d2a4b5e677"), id.toString());
        CPPUNIT_ASSERT(ProgramId::parse(id.toString()) == id);
    }

    // A malformed id must never be routed to the shard of another program.
    void malformedProgramIdsAreRejected()
    {
        for (const char* text : { "", "-02-9f03c1d2a4b5e677", "lodz1-2-9f03c1d2a4b5e677", "lodz1-02-9F03c1d2a4b5e677",
                 "lodz1-02-9f03c1d2a4b5e67", "lodz1-02-9f03c1d2a4b5e6777", "lo/z1-02-9f03c1d2a4b5e677",
                 "lodz1-+2-9f03c1d2a4b5e677", "lodz1_02-9f03c1d2a4b5e677" })
            CPPUNIT_ASSERT_MESSAGE(text, !ProgramId::parse(text));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IdsTest);

} // namespace lovagecross
