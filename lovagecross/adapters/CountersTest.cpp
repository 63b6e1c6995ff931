#include "lovagecross/adapters/Counters.h"

#include <cppunit/extensions/HelperMacros.h>
#include <list>
#include <thread>

namespace lovagecross {

class CountersTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CountersTest);
    CPPUNIT_TEST(oneNameIsOneCounter);
    CPPUNIT_TEST(concurrentAddsAreAllCounted);
    CPPUNIT_TEST(histogramCountsUpToEachBound);
    CPPUNIT_TEST(namesAreBounded);
    CPPUNIT_TEST_SUITE_END();

    Counters counters;

    void oneNameIsOneCounter()
    {
        this->counters.counter("b").add(2);
        this->counters.counter("b").add();
        this->counters.counter("a").set(9);
        this->counters.counter("a").subtract();
        std::map<std::string, std::uint64_t> expected { { "a", 8 }, { "b", 3 } };
        CPPUNIT_ASSERT(expected == this->counters.snapshot());
    }

    void concurrentAddsAreAllCounted()
    {
        std::list<std::thread> threads;
        for (int i = 0; i < 4; ++i)
            threads.emplace_back([this] {
                for (int j = 0; j < 10'000; ++j)
                    this->counters.counter("shared").add();
            });
        for (std::thread& thread : threads)
            thread.join();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(40'000), this->counters.counter("shared").value());
    }

    void histogramCountsUpToEachBound()
    {
        using namespace std::chrono_literals;
        LatencyHistogram& histogram = this->counters.histogram("call");
        for (Duration latency : { Duration(-1s), Duration(100us), Duration(101us), Duration(5ms), Duration(1h) })
            histogram.record(latency);
        auto snapshot = this->counters.snapshot();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), snapshot["call.leMicros.100"]);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), snapshot["call.leMicros.250"]);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), snapshot["call.leMicros.30000000"]);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), snapshot["call.count"]);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3'600'005'201), snapshot["call.sumMicros"]);
    }

    void namesAreBounded()
    {
        for (std::size_t i = 0; i < Counters::maxNames + 10; ++i)
            this->counters.counter("n" + std::to_string(i)).add();
        auto snapshot = this->counters.snapshot();
        CPPUNIT_ASSERT_EQUAL(Counters::maxNames + 1, snapshot.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(10), snapshot["counters.overflow"]);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CountersTest);

} // namespace lovagecross
