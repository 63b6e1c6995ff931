// Listeners of real processes under crowds of callers that hold more connections than a process takes, and connect
// again when they are closed: the process lives, its memory and descriptors stay under a bound, and one ordinary
// request, on a new connection and without a retry, is answered while the crowd goes on.

#include "lovagecross/soak/ConnectionCrowd.h"
#include "lovagecross/soak/MemoryCrowd.h"
#include "lovagecross/soak/SmallDeployment.h"
#include "lovagecross/testing/Cluster.h"

#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <iostream>
#include <string>

namespace lovagecross::soak {

namespace {

constexpr std::size_t megabyte = 1024 * 1024;
constexpr std::uint32_t entryMegabytes = 40; // takes 240 connections
constexpr std::size_t memoryBoundBytes = entryMegabytes * megabyte; // what the VM has
constexpr std::size_t crowdSize = 300;
constexpr std::size_t descriptorBound = 2 * crowdSize + 200;
constexpr std::size_t programMemoryBoundBytes = 256 * megabyte; // half of what the unit file allows
constexpr std::size_t programCrowdSize = 160; // more than it serves and queues, with 64 connections
constexpr std::size_t largestHeadBytes = 16 * 1024; // of the sample configuration
constexpr Duration ordinaryTimeout = std::chrono::seconds(30);
constexpr auto holdTime = std::chrono::seconds(2); // before the ordinary request is sent

const std::string unfinishedHead = "GET /safe/x HTTP/1.1\r\nHost: soak.example\r\nX-Filler: abcdef"; // 60 bytes

std::string unfinishedBody(const std::string& path)
{
    return "POST " + path + " HTTP/1.1\r\nHost: soak.example\r\nX-Lovagecross-Request-Id: unfinished\r\n"
        + "Content-Length: 100\r\n\r\nfirst bytes";
}

// Holds the crowd's connections to `address` and calls `request` once, which returns the status of its answer.
void endure(const ConnectionCrowd& crowd, testing::ChildProcess& process, const std::string& address,
    const MemoryBounds& bounds, const std::function<int()>& request)
{
    std::this_thread::sleep_for(holdTime);
    int status = request();
    MemoryWatch watch(process.processId(), address);
    std::cerr << " [status " << status << "; peak " << watch.peakBytes / megabyte << " MB, " << watch.peakDescriptors
              << " descriptors; the crowd has connected " << crowd.connects() << " times] ";
    CPPUNIT_ASSERT_MESSAGE("the process has ended", process.running());
    CPPUNIT_ASSERT_EQUAL_MESSAGE("an ordinary request is not answered", 200, status);
    CPPUNIT_ASSERT_MESSAGE("peak of " + std::to_string(watch.peakBytes) + " bytes", watch.peakBytes < bounds.bytes);
    CPPUNIT_ASSERT(watch.peakDescriptors < bounds.descriptors);
}

} // namespace

class ConnectionTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConnectionTest);
    CPPUNIT_TEST(unfinishedHeads);
    CPPUNIT_TEST(largeHeads);
    CPPUNIT_TEST(silentConnections);
    CPPUNIT_TEST(unfinishedBodies);
    CPPUNIT_TEST(idleConnections);
    CPPUNIT_TEST(relayListener);
    CPPUNIT_TEST(readyListener);
    CPPUNIT_TEST(metricsListener);
    CPPUNIT_TEST(recordMetricsListener);
    CPPUNIT_TEST(programHeads);
    CPPUNIT_TEST(programSilentConnections);
    CPPUNIT_TEST(programBodies);
    CPPUNIT_TEST(programAdminListener);
    CPPUNIT_TEST_SUITE_END();

    static void endureCallers(const std::string& name, const std::string& sent)
    {
        SmallDeployment deployment({ .name = name, .entryMegabytes = entryMegabytes });
        ConnectionCrowd crowd(deployment.callerAddress, crowdSize, sent);
        crowd.start();
        endure(crowd, deployment.entry(), deployment.callerAddress, { memoryBoundBytes, descriptorBound },
            [&] { return deployment.sendPlainCall("ordinary", ordinaryTimeout).status; });
    }

    // Guards against callers that stop within the head and hold all connections of an entry node.
    void unfinishedHeads() { endureCallers("unfinishedHeads", unfinishedHead); }

    // Guards against heads of nearly the largest size that exhaust the memory of the node.
    void largeHeads()
    {
        endureCallers("largeHeads", unfinishedHead + std::string(largestHeadBytes - unfinishedHead.size() - 10, 'x'));
    }

    // Guards against callers that send nothing.
    void silentConnections() { endureCallers("silentConnections", {}); }

    // Guards against callers that stop within a small body, which takes no memory that others need.
    void unfinishedBodies() { endureCallers("unfinishedBodies", unfinishedBody("/safe/x")); }

    // Guards against callers that keep their connections after a whole request.
    void idleConnections() { endureCallers("idleConnections", "GET /none HTTP/1.1\r\nHost: none.example\r\n\r\n"); }

    static int get(const std::string& address, const std::string& path)
    {
        return testing::httpRequest("GET", "http://" + address + path, {}, {}, ordinaryTimeout).status;
    }

    // Guards against unfinished heads at the listener for other nodes. Their calls need no answer to be served here.
    void relayListener()
    {
        SmallDeployment deployment({ .name = "relayListener", .entryMegabytes = entryMegabytes });
        ConnectionCrowd crowd(deployment.relayAddress, crowdSize, unfinishedHead);
        crowd.start();
        endure(crowd, deployment.entry(), deployment.relayAddress, { memoryBoundBytes, descriptorBound }, [&] {
            bool answered
                = testing::httpRequest("GET", "http://" + deployment.relayAddress + "/safe/x", {},
                      { { "Host", "soak.example" }, { "X-Lovagecross-Request-Id", "relayed" } }, ordinaryTimeout)
                      .status
                != 0;
            int plain = deployment.sendPlainCall("ordinary", ordinaryTimeout).status;
            return answered ? plain : 0;
        });
    }

    // Guards against unfinished heads that keep the load balancer's checks from an answer: the node would get no calls.
    void readyListener()
    {
        SmallDeployment deployment({ .name = "readyListener", .entryMegabytes = entryMegabytes });
        ConnectionCrowd crowd(deployment.readyAddress, crowdSize, unfinishedHead);
        crowd.start();
        endure(crowd, deployment.entry(), deployment.readyAddress, { memoryBoundBytes, descriptorBound },
            [&] { return get(deployment.readyAddress, "/ready"); });
    }

    // Guards against unfinished heads that keep operators from the metrics of an entry node.
    void metricsListener()
    {
        SmallDeployment deployment({ .name = "metricsListener", .entryMegabytes = entryMegabytes });
        ConnectionCrowd crowd(deployment.metricsAddress, crowdSize, unfinishedHead);
        crowd.start();
        endure(crowd, deployment.entry(), deployment.metricsAddress, { memoryBoundBytes, descriptorBound },
            [&] { return get(deployment.metricsAddress, "/metrics"); });
    }

    // Guards against the same at a record node, whose metrics listener is the only one that speaks HTTP.
    void recordMetricsListener()
    {
        SmallDeployment deployment({ .name = "recordMetrics", .recordNodes = 3, .recordMegabytes = entryMegabytes });
        ConnectionCrowd crowd(deployment.recordMetricsAddress(0), crowdSize, unfinishedHead);
        crowd.start();
        endure(crowd, deployment.recordNode(0), deployment.recordMetricsAddress(0),
            { memoryBoundBytes, descriptorBound }, [&] {
                int turn = deployment.sendTurn({ .id = "t", .program = "t", .input = "hello" }).status;
                int metrics = get(deployment.recordMetricsAddress(0), "/metrics");
                return turn == 200 ? metrics : turn;
            });
    }

    static testing::ClusterOptions programNode()
    {
        return {
            .nodes = { "lodz1" }, .engines = { "lodz1" }, .shards = 1, .extraSettings = R"("maxConnections":64,)"
        };
    }

    static void enduredByProgramNode(const std::string& name, const std::string& sent)
    {
        testing::Cluster cluster("connections." + name, programNode());
        std::string program = cluster.createProgram(0, "create", 1000000);
        std::string address = cluster.callerUrl(0).substr(std::string("http://").size());
        ConnectionCrowd crowd(address, programCrowdSize, sent);
        crowd.start();
        endure(crowd, cluster.node(0), address, { programMemoryBoundBytes, descriptorBound },
            [&] { return cluster.chat(0, program, "ordinary", "hello").status; });
    }

    // Guards against callers that stop within the head and hold all connections of a node that owns programs.
    void programHeads() { enduredByProgramNode("heads", unfinishedHead); }

    // Guards against callers of such a node that send nothing.
    void programSilentConnections() { enduredByProgramNode("silent", {}); }

    // Guards against callers of such a node that stop within a small body.
    void programBodies() { enduredByProgramNode("bodies", unfinishedBody("/v1/programs")); }

    // Guards against unfinished heads that keep operators from a node that owns programs.
    void programAdminListener()
    {
        testing::Cluster cluster("connections.admin", programNode());
        std::string address = cluster.adminUrl(0).substr(std::string("http://").size());
        ConnectionCrowd crowd(address, programCrowdSize, unfinishedHead);
        crowd.start();
        endure(crowd, cluster.node(0), address, { programMemoryBoundBytes, descriptorBound },
            [&] { return get(address, "/admin/status"); });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionTest);

} // namespace lovagecross::soak
