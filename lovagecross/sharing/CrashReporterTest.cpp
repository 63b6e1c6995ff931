#include "lovagecross/sharing/CrashReporter.h"

#include "lovagecross/sharing/CrashExchange.h"
#include "lovagecross/sharing/DirectoryPublisher.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <memory>
#include <set>

namespace lovagecross {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

CrashNotice notice(const std::string& server, const std::string& call)
{
    return { server, 1, "v1", "entry1", { call }, milliseconds(10) };
}

// Record nodes in this process, which reach each other unless they are cut off.
class RecordNodes final : public PeerClient {
public:
    RecordNodes(const Clock& givenClock, std::size_t count)
        : clock(givenClock)
    {
        for (std::size_t i = 0; i < count; ++i)
            this->restart("record" + std::to_string(i));
    }

    // Starts a node, or starts it again without its memory.
    void restart(const std::string& address)
    {
        auto node = std::make_unique<Node>(Node { std::make_unique<CrashLedger>(this->clock, this->counters),
            std::make_unique<Directory>(this->clock), nullptr });
        node->exchange = std::make_unique<CrashExchange>(*this, *node->ledger, *node->directory, [this, address] {
            std::vector<std::string> others;
            for (const auto& [other, unused] : this->nodes) {
                if (other != address)
                    others.push_back(other);
            }
            return others;
        });
        this->nodes[address] = std::move(node);
    }

    CrashLedger& ledger(const std::string& address) { return *this->nodes.at(address)->ledger; }
    CrashExchange& exchange(const std::string& address) { return *this->nodes.at(address)->exchange; }

    PeerResult request(const std::string& address, const PeerRequest& request, Duration, const ChunkSink&) override
    {
        if (this->cutOff.count(address) > 0)
            return { PeerStatus::NoAnswer, {} };
        const Node& node = *this->nodes.at(address);
        const auto& fetch = std::get<DirectoryFetch>(request);
        DirectoryUpdate update = answerDirectoryFetch(*node.directory, fetch);
        CrashNews news = node.ledger->newsSince(fetch.crashes);
        update.crashesUpTo = news.upTo;
        update.crashes = news.notices;
        return { PeerStatus::Ok, update };
    }
    void notify(const std::string& address, const PeerRequest& request) override
    {
        ++this->notifications;
        if (this->cutOff.count(address) == 0)
            this->nodes.at(address)->exchange->handle(std::get<CrashReport>(request));
    }
    std::vector<PeerResult> requestAll(
        const std::vector<std::string>&, const PeerRequest&, const Fanout&, const EnoughAnswers&) override
    {
        return {};
    }
    void failForwardsTo(const std::string&) override { }

    std::set<std::string> cutOff;
    int notifications = 0;

private:
    struct Node {
        std::unique_ptr<CrashLedger> ledger;
        std::unique_ptr<Directory> directory;
        std::unique_ptr<CrashExchange> exchange;
    };

    const Clock& clock;
    Counters counters;
    std::map<std::string, std::unique_ptr<Node>> nodes;
};

} // namespace

class CrashReporterTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CrashReporterTest);
    CPPUNIT_TEST(noticesAreToldSeveralTimes);
    CPPUNIT_TEST(callsOfOneEndShareANotice);
    CPPUNIT_TEST(reportReachesAllRecordNodesAtOnce);
    CPPUNIT_TEST(recordNodeGetsWhatItMissed);
    CPPUNIT_TEST_SUITE_END();

    ManualClock clock;

    // Guards against an end that nobody learns of since one message was lost, and against messages without end.
    void noticesAreToldSeveralTimes()
    {
        CrashReporter reporter(this->clock);
        reporter.add({ notice("s1", "call") });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), reporter.takeDue().size());
        CPPUNIT_ASSERT(reporter.takeDue().empty());
        this->clock.advance(milliseconds(500));
        CPPUNIT_ASSERT(reporter.takeDue().at(0).age == milliseconds(510));
        this->clock.advance(seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), reporter.takeDue().size());
        this->clock.advance(seconds(60));
        CPPUNIT_ASSERT(reporter.takeDue().empty());
    }

    // Guards against one message for each of the many calls of a server.
    void callsOfOneEndShareANotice()
    {
        CrashReporter reporter(this->clock);
        for (int i = 0; i < 50; ++i)
            reporter.add({ notice(i % 2 == 0 ? "s1" : "s2", "call" + std::to_string(i)) });
        std::vector<CrashNotice> due = reporter.takeDue();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), due.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(25), due[0].calls.size());
    }

    // Guards against entry nodes that follow another record node and go on sending the call.
    void reportReachesAllRecordNodesAtOnce()
    {
        RecordNodes nodes(this->clock, 4);
        nodes.exchange("record1").handle({ { notice("s1", "call") }, false });
        for (int i = 0; i < 4; ++i)
            CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), nodes.ledger("record" + std::to_string(i)).find("call").ends);
        CPPUNIT_ASSERT_EQUAL(3, nodes.notifications);
        nodes.exchange("record2").handle({ { notice("s1", "call") }, false });
        CPPUNIT_ASSERT_EQUAL(3, nodes.notifications);
    }

    // Guards against a record node that was cut off, or restarted, and tells its followers nothing of earlier ends.
    void recordNodeGetsWhatItMissed()
    {
        RecordNodes nodes(this->clock, 3);
        nodes.cutOff = { "record2" };
        nodes.exchange("record0").handle({ { notice("s1", "call") }, false });
        CPPUNIT_ASSERT(nodes.ledger("record2").empty());
        nodes.cutOff.clear();
        nodes.exchange("record2").step();
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), nodes.ledger("record2").find("call").ends);
        nodes.restart("record0");
        nodes.exchange("record0").step();
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), nodes.ledger("record0").find("call").ends);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashReporterTest);

} // namespace lovagecross
