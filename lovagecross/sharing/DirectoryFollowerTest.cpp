#include "lovagecross/sharing/DirectoryFollower.h"

#include "lovagecross/sharing/DirectoryPublisher.h"
#include "lovagecross/testing/ServerEntries.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <set>

namespace lovagecross {

namespace {

using std::chrono::milliseconds;
using testing::makeServerEntry;

// A peer client that reaches the publishers in `publishers`; other addresses don't respond.
class PublisherPeers final : public PeerClient {
public:
    explicit PublisherPeers(ManualClock& givenClock)
        : clock(givenClock)
    {
    }

    PeerResult request(const std::string& address, const PeerRequest& request, Duration, const ChunkSink&) override
    {
        ++this->requestCount;
        this->clock.advance(this->transferTime);
        auto found = this->publishers.find(address);
        if (found == this->publishers.end())
            return { PeerStatus::NoAnswer, {} };
        DirectoryUpdate update = answerDirectoryFetch(*found->second, std::get<DirectoryFetch>(request));
        if (this->withoutConfigurationAge)
            update.configurationAgeMillis = std::nullopt;
        this->loads.push_back(std::get<DirectoryFetch>(request).programLoad);
        update.fleet = this->fleet;
        return { PeerStatus::Ok, std::move(update) };
    }
    std::vector<PeerResult> requestAll(
        const std::vector<std::string>&, const PeerRequest&, const Fanout&, const EnoughAnswers&) override
    {
        return {};
    }
    void notify(const std::string&, const PeerRequest&) override { }
    void failForwardsTo(const std::string&) override { }

    std::map<std::string, const Directory*> publishers;
    Duration transferTime { 0 };
    int requestCount = 0;
    std::vector<std::optional<ProgramLoad>> loads; // as requested
    FleetShare fleet; // of each answer
    bool withoutConfigurationAge = false; // as nodes that were built before the field was added

private:
    ManualClock& clock;
};

GatewayConfiguration configuration(std::uint64_t version)
{
    GatewayConfiguration result;
    result.version = version;
    result.document = std::to_string(version);
    return result;
}

std::optional<GatewayConfiguration> decode(const std::string& document)
{
    return configuration(std::stoull(document));
}

} // namespace

class DirectoryFollowerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DirectoryFollowerTest);
    CPPUNIT_TEST(changesArriveInOneStep);
    CPPUNIT_TEST(unchangedListsAreNotSentAgain);
    CPPUNIT_TEST(stalePublisherIsSkippedForAFreshOne);
    CPPUNIT_TEST(nodeWithoutPublishersIsNotUpToDate);
    CPPUNIT_TEST(olderDataIsIgnored);
    CPPUNIT_TEST(listsThatDifferAtTheSameRevisionAreApplied);
    CPPUNIT_TEST(oddEntriesOfAPublisherAreSkipped);
    CPPUNIT_TEST(publisherWithAnOldConfigurationIsSkipped);
    CPPUNIT_TEST(ageIsCountedOverEachHop);
    CPPUNIT_TEST(timeOnTheWayCounts);
    CPPUNIT_TEST(refusedDocumentConfirmsNothing);
    CPPUNIT_TEST(firstPublisherAsksOthersWhileItsReadsFail);
    CPPUNIT_TEST(stepsLeaveRoomWithinTheBound);
    CPPUNIT_TEST(configurationOfAnEarlierBuildIsTaken);
    CPPUNIT_TEST(loadIsExchangedOnlyIfTheNodeReportsIts);
    CPPUNIT_TEST_SUITE_END();

    ManualClock clock;
    PublisherPeers peers { this->clock };

    DirectoryFollower follow(Directory& directory)
    {
        return DirectoryFollower(
            { directoryTimesFor(std::chrono::seconds(2)) }, this->peers, directory, decode, this->clock);
    }

    // Reads the whole state of the platform now.
    static void readAll(
        Directory& publisher, const std::vector<ServerEntry>& servers, std::uint64_t revision, std::uint64_t version)
    {
        publisher.replaceServers(servers, revision);
        publisher.applyConfiguration(configuration(version));
        publisher.confirmConfiguration(version, Duration(0));
    }

    void changesArriveInOneStep()
    {
        Directory source(this->clock);
        Directory target(this->clock);
        this->peers.publishers["p"] = &source;
        auto follower = this->follow(target);
        readAll(source, { makeServerEntry("a"), makeServerEntry("b") }, 10, 3);
        follower.step({ "p" });
        CPPUNIT_ASSERT(follower.upToDate());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), target.view()->configuration->version);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), target.view()->serversOf("tool").size());
        source.changeServers({ { "a", makeServerEntry("a", ServerState::Draining) }, { "b", std::nullopt } }, 12);
        follower.step({ "p" });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), target.view()->serversOf("tool").size());
        CPPUNIT_ASSERT(target.view()->serversOf("tool")[0].state == ServerState::Draining);
    }

    // Every heartbeat raises the registry's revision. Sending the list for each revision would cost servers x nodes.
    void unchangedListsAreNotSentAgain()
    {
        Directory source(this->clock);
        source.replaceServers({ makeServerEntry("a") }, 10);
        std::uint64_t digest = source.view()->serversDigest;
        source.changeServers({ { "a", makeServerEntry("a") } }, 20);
        DirectoryUpdate update = answerDirectoryFetch(source, { 0, digest });
        CPPUNIT_ASSERT(update.registryKnown && !update.hasServers && update.registryRevision == 20);
        source.changeServers({ { "a", makeServerEntry("a", ServerState::Draining) } }, 21);
        CPPUNIT_ASSERT(answerDirectoryFetch(source, { 0, digest }).hasServers);
    }

    // The platform may reject the reads of some publishers while it serves others.
    void stalePublisherIsSkippedForAFreshOne()
    {
        Directory stale(this->clock);
        Directory fresh(this->clock);
        Directory target(this->clock);
        readAll(stale, { makeServerEntry("a") }, 10, 1);
        this->clock.advance(std::chrono::seconds(5));
        readAll(fresh, { makeServerEntry("b") }, 20, 1);
        this->peers.publishers = { { "stale", &stale }, { "fresh", &fresh } };
        auto follower = this->follow(target);
        follower.step({ "stale", "fresh" });
        CPPUNIT_ASSERT(follower.upToDate());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), target.view()->serversOf("tool")[0].id);
    }

    void nodeWithoutPublishersIsNotUpToDate()
    {
        Directory target(this->clock);
        auto follower = this->follow(target);
        follower.step({ "p1", "p2", "p3", "p4" });
        CPPUNIT_ASSERT(!follower.upToDate());
        CPPUNIT_ASSERT_EQUAL(3, this->peers.requestCount);
    }

    // A publisher that missed updates during an outage may still keep a lapsed server in its grace period, while
    // another publisher has already removed it.
    void listsThatDifferAtTheSameRevisionAreApplied()
    {
        Directory waiting(this->clock);
        Directory steady(this->clock);
        Directory target(this->clock);
        waiting.replaceServers({ makeServerEntry("a"), makeServerEntry("gone") }, 10);
        steady.replaceServers({ makeServerEntry("a"), makeServerEntry("gone") }, 10);
        this->clock.advance(std::chrono::seconds(5));
        waiting.registryUnreachable();
        waiting.replaceServers({ makeServerEntry("a") }, 12);
        steady.changeServers({ { "gone", std::nullopt } }, 12);
        this->peers.publishers = { { "waiting", &waiting }, { "steady", &steady } };
        auto follower = this->follow(target);
        follower.step({ "waiting" });
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), target.view()->serversOf("tool").size());
        follower.step({ "steady" });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), target.view()->serversOf("tool").size());
    }

    // A publisher that missed changes must not restore an old configuration or deleted servers.
    void olderDataIsIgnored()
    {
        Directory behind(this->clock);
        Directory target(this->clock);
        behind.applyConfiguration(configuration(3));
        behind.replaceServers({ makeServerEntry("gone") }, 10);
        target.applyConfiguration(configuration(5));
        target.replaceServers({ makeServerEntry("a") }, 20);
        this->peers.publishers["p"] = &behind;
        auto follower = this->follow(target);
        follower.step({ "p" });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), target.view()->configuration->version);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), target.view()->serversOf("tool")[0].id);
    }

    // Guards against an entry that one node passes on unchecked: an address that can't be used, or times that overflow.
    void oddEntriesOfAPublisherAreSkipped()
    {
        Directory source(this->clock);
        Directory target(this->clock);
        ServerEntry odd = makeServerEntry("odd");
        odd.address = "10.0.0.9:99999";
        ServerEntry endless = makeServerEntry("endless");
        endless.coldFor = Duration::max();
        source.replaceServers({ makeServerEntry("good"), odd, endless }, 5);
        this->peers.publishers["p"] = &source;
        DirectoryFollower follower = this->follow(target);
        follower.step({ "p" });
        std::set<std::string> ids;
        for (const auto& [service, servers] : target.view()->servers) {
            for (const ServerEntry& server : servers) {
                ids.insert(server.id);
                CPPUNIT_ASSERT(server.coldFor >= Duration(0) && server.coldFor <= std::chrono::hours(24));
            }
        }
        CPPUNIT_ASSERT(ids == std::set<std::string>({ "good", "endless" }));
    }

    // Guards against a follower that takes a publisher's recent server list as a sign that its configuration is recent
    // too, although the publisher's read of the configuration hangs.
    void publisherWithAnOldConfigurationIsSkipped()
    {
        Directory hanging(this->clock);
        Directory fresh(this->clock);
        Directory target(this->clock);
        readAll(hanging, { makeServerEntry("a") }, 10, 4);
        this->clock.advance(std::chrono::seconds(2));
        hanging.replaceServers({ makeServerEntry("a") }, 20);
        readAll(fresh, { makeServerEntry("a") }, 20, 8);
        this->peers.publishers = { { "hanging", &hanging } };
        DirectoryFollower follower = this->follow(target);
        follower.step({ "hanging" });
        CPPUNIT_ASSERT(!follower.upToDate());
        this->peers.publishers["fresh"] = &fresh;
        follower.step({ "hanging", "fresh" });
        CPPUNIT_ASSERT(follower.upToDate());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(8), target.view()->configuration->version);
    }

    // Guards against an age that starts anew at each node which passes the data on.
    void ageIsCountedOverEachHop()
    {
        Directory first(this->clock);
        Directory second(this->clock);
        Directory third(this->clock);
        readAll(first, { makeServerEntry("a") }, 10, 4);
        this->peers.publishers = { { "first", &first }, { "second", &second } };
        DirectoryFollower middle = this->follow(second);
        DirectoryFollower last = this->follow(third);
        this->clock.advance(milliseconds(500));
        middle.step({ "first" });
        this->clock.advance(milliseconds(200));
        last.step({ "second" });
        CPPUNIT_ASSERT(middle.upToDate() && last.upToDate());
        CPPUNIT_ASSERT(third.configurationAge() == milliseconds(700) && third.registryAge() == milliseconds(700));
        this->clock.advance(milliseconds(200));
        last.step({ "second" });
        CPPUNIT_ASSERT(!last.upToDate());
    }

    // Guards against an answer that was under way for long, or lay unread while the VM was paused, and counts as new.
    void timeOnTheWayCounts()
    {
        Directory source(this->clock);
        Directory target(this->clock);
        readAll(source, { makeServerEntry("a") }, 10, 4);
        this->peers.publishers["p"] = &source;
        this->peers.transferTime = milliseconds(900);
        DirectoryFollower follower = this->follow(target);
        follower.step({ "p" });
        CPPUNIT_ASSERT(!follower.upToDate());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), target.view()->configuration->version);
        CPPUNIT_ASSERT(target.age() >= milliseconds(900));
    }

    // Guards against a version that counts as known although its document could not be decoded.
    void refusedDocumentConfirmsNothing()
    {
        Directory source(this->clock);
        Directory target(this->clock);
        readAll(source, { makeServerEntry("a") }, 10, 4);
        this->peers.publishers["p"] = &source;
        DirectoryFollower follower(
            { directoryTimesFor(std::chrono::seconds(2)) }, this->peers, target,
            [](const std::string&) { return std::optional<GatewayConfiguration>(); }, this->clock);
        follower.step({ "p" });
        CPPUNIT_ASSERT(!target.view()->configuration && target.configurationAge() == Duration::max());
    }

    // Guards against the node that reads for the others and has no way to learn of changes when its reads fail.
    void firstPublisherAsksOthersWhileItsReadsFail()
    {
        Directory own(this->clock);
        Directory other(this->clock);
        this->peers.publishers["other"] = &other;
        DirectoryFollower follower(
            { directoryTimesFor(std::chrono::seconds(2)), "own" }, this->peers, own, decode, this->clock);
        readAll(own, { makeServerEntry("a") }, 10, 4);
        follower.step({ "own", "other" });
        CPPUNIT_ASSERT_EQUAL(0, this->peers.requestCount);
        this->clock.advance(std::chrono::seconds(1));
        own.replaceServers({ makeServerEntry("a") }, 10); // the registry is read, the configuration isn't
        readAll(other, { makeServerEntry("a") }, 11, 5);
        follower.step({ "own", "other" });
        CPPUNIT_ASSERT_EQUAL(1, this->peers.requestCount);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), own.view()->configuration->version);
    }

    // Guards against intervals and timeouts that each look short and together exceed the time in which a change must be
    // in force: two thirds of it after one fault, all of it after several.
    void stepsLeaveRoomWithinTheBound()
    {
        for (int millis : { 500, 2000, 3000, 4000 }) {
            Duration bound = milliseconds(millis);
            DirectoryTimes times = directoryTimesFor(bound);
            CPPUNIT_ASSERT(times.readInterval + times.readTimeout <= bound * 2 / 3);
            CPPUNIT_ASSERT(times.maxAge + times.fetchInterval + times.fetchTimeout <= bound * 2 / 3);
            CPPUNIT_ASSERT(times.maxAge + times.fetchInterval + times.fetchTimeout * 3 < bound);
            CPPUNIT_ASSERT(times.readInterval * 3 / 2 < times.maxAge); // a slow read doesn't look like a failed one
        }
    }

    // Guards against a node that serves nothing while the platform is out of reach and all publishers are of a build
    // that doesn't send the age of its configuration.
    void configurationOfAnEarlierBuildIsTaken()
    {
        Directory source(this->clock);
        Directory target(this->clock);
        this->peers.publishers["p"] = &source;
        this->peers.withoutConfigurationAge = true;
        auto follower = this->follow(target);
        readAll(source, { makeServerEntry("a") }, 10, 3);
        follower.step({ "p" });
        CPPUNIT_ASSERT(target.view()->configuration != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), target.view()->configuration->version);
        CPPUNIT_ASSERT(!follower.upToDate()); // its age is unknown, so this node reads the platform too
    }

    // Guards against a node that learns a load without reporting its own calls, and one that reports and learns none.
    void loadIsExchangedOnlyIfTheNodeReportsIts()
    {
        Directory source(this->clock);
        Directory target(this->clock);
        this->peers.publishers["p"] = &source;
        this->peers.fleet = { 91, 402, { "acme" } };
        std::vector<FleetShare> learned;
        std::optional<ProgramLoad> own;
        DirectoryFollowerSettings settings { directoryTimesFor(std::chrono::seconds(2)) };
        settings.programLoad = [&own] { return own; };
        settings.learnLoad = [&learned](const FleetShare& fleet) { learned.push_back(fleet); };
        DirectoryFollower follower(settings, this->peers, target, decode, this->clock);
        follower.step({ "p" });
        CPPUNIT_ASSERT(!this->peers.loads.back() && learned.empty());
        own = ProgramLoad { "entry1", 7, {} };
        follower.step({ "p" });
        CPPUNIT_ASSERT_EQUAL(7U, this->peers.loads.back()->calls);
        CPPUNIT_ASSERT(learned.size() == 1 && learned.front().calls == 402);
        follower.step({ "silent" });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), learned.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DirectoryFollowerTest);

} // namespace lovagecross
