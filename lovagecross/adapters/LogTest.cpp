#include "lovagecross/adapters/Log.h"

#include <cppunit/extensions/HelperMacros.h>
#include <iostream>
#include <limits>
#include <sstream>

namespace lovagecross {

class LogTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LogTest);
    CPPUNIT_TEST(bothFormatsShowTimeLevelAndFields);
    CPPUNIT_TEST(valuesCannotForgeFieldsOrLines);
    CPPUNIT_TEST(lengthIsBounded);
    CPPUNIT_TEST(linesBelowTheLevelAreNotWritten);
    CPPUNIT_TEST_SUITE_END();

public:
    void tearDown() override { setUpLogging(LogLevel::Info, LogFormat::KeyValue); }

private:
    static constexpr std::int64_t time = 1796357400123; // 2026-12-04T04:10:00.123Z

    void bothFormatsShowTimeLevelAndFields()
    {
        LogLine line(LogLevel::Warning, "placement");
        line.field("program", "lodz1-02").field("scoreMs", 12.5).field("count", std::uint64_t(7)).field("warm", true);
        CPPUNIT_ASSERT_EQUAL(std::string("time=2026-12-04T04:10:00.123Z level=warning event=placement "
                                         "program=lodz1-02 scoreMs=12.5 count=7 warm=true"),
            line.toString(LogFormat::KeyValue, time));
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"time":"2026-12-04T04:10:00.123Z","level":"warning","event":"placement",)"
                                         R"("program":"lodz1-02","scoreMs":12.5,"count":7,"warm":true})"),
            line.toString(LogFormat::Json, time));
    }

    void valuesCannotForgeFieldsOrLines()
    {
        LogLine line(LogLevel::Error, "e");
        line.field("a", "x y=\"1\"\n\\\x7f\xc3").field("b", "").field("n", std::numeric_limits<double>::quiet_NaN());
        std::string text = line.toString(LogFormat::KeyValue, time);
        CPPUNIT_ASSERT(text.ends_with(R"(a="x y=\"1\"\u000a\\\u007f\u00c3" b="" n=nan)"));
        text = line.toString(LogFormat::Json, time);
        CPPUNIT_ASSERT(text.ends_with(R"("a":"x y=\"1\"\u000a\\\u007f\u00c3","b":"","n":"nan"})"));
    }

    void lengthIsBounded()
    {
        LogLine line(LogLevel::Error, "e");
        for (int i = 0; i < 1000; ++i)
            line.field("f", std::string(100'000, 'x'));
        CPPUNIT_ASSERT(line.toString(LogFormat::Json, time).size() < 2 * maxLogFields * maxLogValueBytes);
    }

    void linesBelowTheLevelAreNotWritten()
    {
        std::ostringstream captured;
        std::streambuf* original = std::cerr.rdbuf(captured.rdbuf());
        setUpLogging(LogLevel::Warning, LogFormat::Json);
        LogLine(LogLevel::Info, "hidden").write();
        LogLine(LogLevel::Warning, "shown").write();
        setUpLogging(LogLevel::Debug, LogFormat::KeyValue);
        LogLine(LogLevel::Debug, "debugged").write();
        std::cerr.rdbuf(original);
        std::string text = captured.str();
        CPPUNIT_ASSERT(text.find("hidden") == std::string::npos);
        CPPUNIT_ASSERT(text.find(R"("event":"shown"})") != std::string::npos);
        CPPUNIT_ASSERT(text.ends_with("level=debug event=debugged\n"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogTest);

} // namespace lovagecross
