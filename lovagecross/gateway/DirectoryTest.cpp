#include "lovagecross/gateway/Directory.h"

#include "lovagecross/testing/ServerEntries.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

namespace {

using std::chrono::milliseconds;
using testing::makeServerEntry;

GatewayConfiguration configuration(std::uint64_t version)
{
    GatewayConfiguration result;
    result.version = version;
    return result;
}

} // namespace

class DirectoryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DirectoryTest);
    CPPUNIT_TEST(olderConfigurationIsIgnored);
    CPPUNIT_TEST(deletedServersAreRemovedAtOnce);
    CPPUNIT_TEST(serversLapsedInAnOutageGetAGracePeriod);
    CPPUNIT_TEST(drainingServersGetNoGracePeriod);
    CPPUNIT_TEST(confirmationsByPeersPreventAnOutage);
    CPPUNIT_TEST(staleListsAreIgnored);
    CPPUNIT_TEST(serverKeptByAnotherNodeIsNotRestored);
    CPPUNIT_TEST(graceOfAnotherNodeNeedsAnOutageHere);
    CPPUNIT_TEST(confirmationOfAStaleListEndsNoOutage);
    CPPUNIT_TEST(firstListEndsNoOutage);
    CPPUNIT_TEST(configurationAgeIsThatOfTheNewestConfirmation);
    CPPUNIT_TEST(serverThatSaysItLeavesStaysDraining);
    CPPUNIT_TEST(newProcessOfALeavingServerIsUsed);
    CPPUNIT_TEST_SUITE_END();

    void olderConfigurationIsIgnored()
    {
        ManualClock clock;
        Directory directory(clock);
        CPPUNIT_ASSERT(!directory.view()->configuration);
        CPPUNIT_ASSERT(directory.applyConfiguration(configuration(7)));
        CPPUNIT_ASSERT(!directory.applyConfiguration(configuration(5)));
        CPPUNIT_ASSERT(!directory.applyConfiguration(configuration(7)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), directory.view()->configuration->version);
    }

    // A deleted server must receive no new calls.
    void deletedServersAreRemovedAtOnce()
    {
        ManualClock clock;
        Directory directory(clock);
        directory.replaceServers({ makeServerEntry("a"), makeServerEntry("b") }, 10);
        directory.changeServers({ { "a", std::nullopt } }, 11);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), directory.view()->serversOf("tool").size());
        directory.changeServers({ { "b", makeServerEntry("b", ServerState::Draining) } }, 12);
        CPPUNIT_ASSERT(directory.view()->serversOf("tool")[0].state == ServerState::Draining);
        CPPUNIT_ASSERT(directory.view()->serversOf("other").empty());
    }

    // Entries expire without heartbeats while the registry is down. Removing them all at once would reject calls for
    // two seconds, until the servers have registered again.
    void serversLapsedInAnOutageGetAGracePeriod()
    {
        ManualClock clock;
        Directory directory(clock);
        directory.replaceServers({ makeServerEntry("a"), makeServerEntry("b"), makeServerEntry("c") }, 10);
        clock.advance(std::chrono::seconds(9));
        directory.registryUnreachable();
        directory.replaceServers({ makeServerEntry("c") }, 20);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), directory.view()->serversOf("tool").size());
        directory.changeServers({ { "a", makeServerEntry("a") } }, 21);
        clock.advance(Directory::lapsedGracePeriod + milliseconds(1));
        directory.removeLapsedServers();
        const auto& left = directory.view()->serversOf("tool");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), left.size());
        CPPUNIT_ASSERT(left[0].id == "a" && left[1].id == "c");
    }

    void drainingServersGetNoGracePeriod()
    {
        ManualClock clock;
        Directory directory(clock);
        directory.replaceServers({ makeServerEntry("a", ServerState::Draining), makeServerEntry("b") }, 10);
        clock.advance(std::chrono::seconds(9));
        directory.registryUnreachable();
        directory.replaceServers({ makeServerEntry("b") }, 20);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), directory.view()->serversOf("tool").size());
    }

    // The platform rejects only this node's reads, and other nodes confirm the list. A server deleted meanwhile did not
    // lapse in an outage, so it must not receive calls for two more seconds once this node can read again.
    void confirmationsByPeersPreventAnOutage()
    {
        ManualClock clock;
        Directory directory(clock);
        directory.replaceServers({ makeServerEntry("a"), makeServerEntry("b") }, 10);
        for (int i = 0; i < 14; ++i) {
            clock.advance(milliseconds(500));
            directory.registryUnreachable();
            directory.confirmServersFromPeer(10, milliseconds(300));
        }
        directory.changeServers({ { "a", std::nullopt } }, 12);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), directory.view()->serversOf("tool").size());
    }

    // A list from a slow read that arrives after newer changes would restore deleted servers.
    void staleListsAreIgnored()
    {
        ManualClock clock;
        Directory directory(clock);
        directory.replaceServers({ makeServerEntry("a") }, 10);
        directory.changeServers({ { "a", std::nullopt } }, 12);
        directory.replaceServers({ makeServerEntry("a") }, 11);
        CPPUNIT_ASSERT(directory.view()->serversOf("tool").empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(12), directory.view()->registryRevision);
    }

    static ServerState stateOf(const Directory& directory, const std::string& id)
    {
        for (const ServerEntry& server : directory.view()->serversOf("tool")) {
            if (server.id == id)
                return server.state;
        }
        CPPUNIT_FAIL(id + " is not listed");
        return ServerState::Ready;
    }

    // Guards against calls to a server that has said that it leaves while the registry still lists it as ready, in a
    // new list, a change or a list of another node, or after its entry lapsed for a while.
    void serverThatSaysItLeavesStaysDraining()
    {
        ManualClock clock;
        Directory directory(clock);
        directory.replaceServers({ makeServerEntry("a"), makeServerEntry("b") }, 10);
        std::uint64_t digest = directory.view()->serversDigest;
        CPPUNIT_ASSERT(directory.serverLeaves({ "a", 0 }));
        CPPUNIT_ASSERT(!directory.serverLeaves({ "a", 0 }));
        CPPUNIT_ASSERT(
            stateOf(directory, "a") == ServerState::Draining && stateOf(directory, "b") == ServerState::Ready);
        CPPUNIT_ASSERT(directory.view()->serversDigest != digest); // so that followers get the list
        directory.changeServers({ { "a", makeServerEntry("a") } }, 11);
        CPPUNIT_ASSERT(stateOf(directory, "a") == ServerState::Draining);
        directory.replaceServersFromPeer({ makeServerEntry("a"), makeServerEntry("b") }, 12, milliseconds(1));
        CPPUNIT_ASSERT(stateOf(directory, "a") == ServerState::Draining);
        directory.changeServers({ { "a", std::nullopt } }, 13);
        clock.advance(std::chrono::minutes(2));
        directory.removeLapsedServers();
        directory.replaceServers({ makeServerEntry("a") }, 14);
        CPPUNIT_ASSERT(stateOf(directory, "a") == ServerState::Draining);
    }

    // Guards against a server that is never used again after it has started anew under the id that it had.
    void newProcessOfALeavingServerIsUsed()
    {
        ManualClock clock;
        Directory directory(clock);
        ServerEntry first = makeServerEntry("a");
        first.startedUnixMillis = 1000;
        ServerEntry second = first;
        second.startedUnixMillis = 2000;
        directory.replaceServers({ first }, 10);
        CPPUNIT_ASSERT(directory.serverLeaves(keyOf(first)));
        directory.replaceServers({ second }, 11);
        CPPUNIT_ASSERT(stateOf(directory, "a") == ServerState::Ready);
        CPPUNIT_ASSERT(!directory.serverLeaves(keyOf(first))); // a late answer of the process before
        CPPUNIT_ASSERT(stateOf(directory, "a") == ServerState::Ready);
        ServerEntry third = first;
        third.startedUnixMillis = 3000;
        CPPUNIT_ASSERT(directory.serverLeaves(keyOf(third))); // it is listed only after its answer
        directory.replaceServers({ third }, 12);
        CPPUNIT_ASSERT(stateOf(directory, "a") == ServerState::Draining);
    }

    // Guards against a configuration that looks recent because an older version, or an older read, was confirmed.
    void configurationAgeIsThatOfTheNewestConfirmation()
    {
        ManualClock clock;
        Directory directory(clock);
        CPPUNIT_ASSERT(directory.configurationAge() == Duration::max() && directory.age() == Duration::max());
        directory.confirmConfiguration(0, Duration(0)); // the platform has none
        CPPUNIT_ASSERT(directory.configurationAge() == Duration(0));
        clock.advance(std::chrono::seconds(1));
        directory.applyConfiguration(configuration(7));
        CPPUNIT_ASSERT(directory.configurationAge() == std::chrono::seconds(1));
        directory.confirmConfiguration(5, Duration(0));
        CPPUNIT_ASSERT(directory.configurationAge() == std::chrono::seconds(1));
        directory.confirmConfiguration(7, milliseconds(300));
        CPPUNIT_ASSERT(directory.configurationAge() == milliseconds(300));
        directory.confirmConfiguration(7, milliseconds(600));
        CPPUNIT_ASSERT(directory.configurationAge() == milliseconds(300));
        CPPUNIT_ASSERT(directory.age() == Duration::max()); // the registry was never read
    }

    // Guards against a node that knows that a server is gone and lists it again, because another node, which could not
    // read the registry for a while, still keeps the server in its grace period.
    void serverKeptByAnotherNodeIsNotRestored()
    {
        ManualClock clock;
        Directory cutOff(clock);
        Directory steady(clock);
        for (Directory* directory : { &cutOff, &steady })
            directory->replaceServers({ makeServerEntry("a"), makeServerEntry("b") }, 10);
        clock.advance(std::chrono::seconds(5));
        steady.changeServers({ { "a", std::nullopt } }, 12);
        cutOff.registryUnreachable();
        cutOff.changeServers({ { "a", std::nullopt } }, 13);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), cutOff.view()->serversOf("tool").size());
        // Else a follower with the same servers would pass the kept one on as a listed one.
        Directory unaware(clock);
        unaware.replaceServers({ makeServerEntry("a"), makeServerEntry("b") }, 10);
        CPPUNIT_ASSERT(unaware.view()->serversDigest != cutOff.view()->serversDigest);
        steady.replaceServersFromPeer(cutOff.view()->serversOf("tool"), 13, Duration(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), steady.view()->serversOf("tool").size());
        Directory started(clock); // knows no better
        started.replaceServersFromPeer(cutOff.view()->serversOf("tool"), 13, Duration(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), started.view()->serversOf("tool").size());
        clock.advance(Directory::lapsedGracePeriod);
        started.removeLapsedServers(); // without another message
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), started.view()->serversOf("tool").size());
    }

    // Guards against a server that is gone and gets calls for the grace period of another node, which was paused or cut
    // off, although this node has followed the registry all the time; and against losing servers that may return after
    // an outage for both.
    void graceOfAnotherNodeNeedsAnOutageHere()
    {
        for (bool outageHere : { false, true }) {
            ManualClock clock;
            Directory paused(clock);
            Directory here(clock);
            for (Directory* directory : { &paused, &here })
                directory->replaceServers({ makeServerEntry("a"), makeServerEntry("b") }, 10);
            for (int i = 0; i < 5; ++i) {
                clock.advance(std::chrono::seconds(1));
                if (!outageHere)
                    here.confirmServersFromPeer(10, Duration(0));
            }
            paused.registryUnreachable();
            paused.changeServers({ { "a", std::nullopt } }, 13);
            here.replaceServersFromPeer(paused.view()->serversOf("tool"), 13, Duration(0));
            CPPUNIT_ASSERT_EQUAL(std::size_t(outageHere ? 2 : 1), here.view()->serversOf("tool").size());
        }
    }

    // Guards against a node that has just started and keeps servers that are gone, as after an outage.
    void firstListEndsNoOutage()
    {
        ManualClock clock;
        Directory directory(clock);
        directory.replaceServersFromPeer({ makeServerEntry("a"), makeServerEntry("b") }, 10, milliseconds(300));
        directory.changeServers({ { "a", std::nullopt } }, 11);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), directory.view()->serversOf("tool").size());
    }

    // Guards against losing all servers for two seconds when the registry returns, because another node that could not
    // read it either had just answered.
    void confirmationOfAStaleListEndsNoOutage()
    {
        ManualClock clock;
        Directory directory(clock);
        directory.replaceServers({ makeServerEntry("a"), makeServerEntry("b") }, 10);
        clock.advance(std::chrono::seconds(5));
        directory.registryUnreachable();
        directory.confirmServersFromPeer(10, std::chrono::seconds(5));
        directory.replaceServers({ makeServerEntry("b") }, 12);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), directory.view()->serversOf("tool").size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DirectoryTest);

} // namespace lovagecross
