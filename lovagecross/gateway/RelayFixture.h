#pragma once

// Test fixture: two entry nodes in one process. The stranded one reaches no backend server and sends its calls through
// the sound one, on the address that the sound one has for other nodes.
//
// Thread safety: not synchronized; runs one test at a time.

#include "lovagecross/gateway/GatewayFixture.h"
#include "lovagecross/testing/ServerEntries.h"

#include <memory>
#include <string>
#include <vector>

namespace lovagecross {

class RelayFixture : public GatewayFixture {
public:
    void setUp() override
    {
        GatewayFixture::setUp();
        this->soundRelay.reset(new RelayContext { "sound", this->soundPaths, this->soundNodes, this->soundPool });
        this->parts->relay = this->soundRelay.get();
        this->relayAddress = testing::freeAddress();
        this->relayGateway
            = std::make_unique<Gateway>(GatewaySettings { this->relayAddress, 32, CallOrigin::Node }, *this->parts);
        this->relayGateway->start();
        this->strandedRelay.reset(
            new RelayContext { "stranded", this->strandedPaths, this->strandedNodes, this->strandedPool });
        this->strandedParts.reset(
            new GatewayContext { this->clock, this->strandedDirectory, this->strandedBook, this->strandedServers,
                this->codec, *this->turns, *this->turns, this->permits(), GatewayCounters(this->counters) });
        this->strandedParts->relay = this->strandedRelay.get();
        this->strandedAddress = testing::freeAddress();
        this->strandedGateway
            = std::make_unique<Gateway>(GatewaySettings { this->strandedAddress, 32 }, *this->strandedParts);
        this->strandedGateway->start();
        this->strandedDirectory.applyConfiguration(this->configuration());
        this->strandedNodes.replace({ { this->relayAddress, "b" } });
        this->losePaths(this->strandedPaths);
    }

    void tearDown() override
    {
        this->strandedGateway->stop(std::chrono::seconds(5));
        this->relayGateway->stop(std::chrono::seconds(5));
        this->strandedGateway.reset();
        this->relayGateway.reset();
        GatewayFixture::tearDown();
    }

protected:
    void losePaths(ServerPaths& paths)
    {
        Directory listing(this->clock);
        std::vector<ServerEntry> listed(10);
        for (std::size_t i = 0; i < listed.size(); ++i)
            listed[i] = testing::makeServerEntry("s" + std::to_string(i));
        listing.replaceServers(listed, 1);
        paths.serversToProbe(*listing.view(), false);
        for (const ServerEntry& server : listed)
            paths.connectFailed(server.id);
        CPPUNIT_ASSERT(!paths.reachesServers());
    }

    std::string sendToStranded(const std::string& request)
    {
        CallerSocket caller(this->strandedAddress);
        caller.write(request);
        return caller.readResponse();
    }

    ServerPaths soundPaths { this->clock };
    RelayTable soundNodes { this->clock };
    ConnectionPool soundPool { this->clock, milliseconds(300) };
    std::unique_ptr<RelayContext> soundRelay;
    std::string relayAddress;
    std::unique_ptr<Gateway> relayGateway;

    Directory strandedDirectory { this->clock };
    ServerStatistics strandedBook { this->clock, "a" };
    ServerPaths strandedPaths { this->clock };
    ConnectionPool strandedServers { this->clock, milliseconds(300), &this->strandedPaths };
    RelayTable strandedNodes { this->clock };
    ConnectionPool strandedPool { this->clock, milliseconds(300) };
    std::unique_ptr<RelayContext> strandedRelay;
    std::unique_ptr<GatewayContext> strandedParts;
    std::string strandedAddress;
    std::unique_ptr<Gateway> strandedGateway;
};

} // namespace lovagecross
