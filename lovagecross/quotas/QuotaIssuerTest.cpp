// Tests which slices a record node keeps, with a full table of slices.

#include "lovagecross/quotas/QuotaIssuer.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

using std::chrono::seconds;

namespace {

class NoPeers final : public PeerClient {
public:
    PeerResult request(const std::string&, const PeerRequest&, Duration, const ChunkSink&) override
    {
        return { PeerStatus::NoAnswer, {} };
    }
    std::vector<PeerResult> requestAll(
        const std::vector<std::string>&, const PeerRequest&, const Fanout&, const EnoughAnswers&) override
    {
        return {};
    }
    void notify(const std::string&, const PeerRequest&) override { }
    void failForwardsTo(const std::string&) override { }
};

constexpr std::uint32_t many = 1000; // more tokens than a slice holds

// The only record node of its fleet. Its configuration has the tenants whose names begin with a certain text.
struct RecordNode {
    ManualClock clock;
    NoPeers peers;
    Counters counters;
    std::uint64_t version = 5;
    std::string configured = "tenant";
    TenantQuota quota { 30, 30 };
    QuotaIssuer issuer { this->clock, this->peers, this->issuerSettings(), this->counters };

    RecordNode()
    {
        this->clock.advance(seconds(1000));
        this->issuer.start();
        this->issuer.step();
    }

    QuotaIssuerSettings issuerSettings()
    {
        QuotaIssuerSettings settings;
        settings.policy = { seconds(5), 0.1, 20 };
        settings.node = "r1";
        settings.lease = std::chrono::hours(24);
        settings.configurationLease = std::chrono::hours(24);
        settings.roster = [] {
            Roster roster;
            roster.epoch = 1;
            roster.members.push_back({ "r1", 1, "r1", "lodz1" });
            return roster;
        };
        settings.quotaOf = [this](const std::string& tenant) {
            bool present = tenant.starts_with(this->configured);
            return KnownQuota { this->version, present, present ? this->quota : TenantQuota {} };
        };
        return settings;
    }

    void configure(const std::string& names)
    {
        ++this->version;
        this->configured = names;
    }

    // Draws as an entry node does that knows the present configuration.
    QuotaAnswer draw(const std::string& tenant, std::uint32_t tokens)
    {
        return this->draw(tenant, tokens, this->version);
    }
    QuotaAnswer draw(const std::string& tenant, std::uint32_t tokens, std::uint64_t knownVersion)
    {
        QuotaRequest request;
        request.tenant = tenant;
        request.perSecond = this->quota.requestsPerSecond;
        request.burst = this->quota.burst;
        request.configurationVersion = knownVersion;
        request.needed = tokens;
        return this->issuer.handle(request);
    }

    // Draws all tokens of as many tenants as there is room for.
    void fillTable(const std::string& names)
    {
        for (std::size_t i = 0; i < QuotaIssuer::maxSlices; ++i)
            this->draw(names + std::to_string(i), many);
    }
};

} // namespace

class QuotaIssuerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(QuotaIssuerTest);
    CPPUNIT_TEST(unknownNamesTakeNoRoom);
    CPPUNIT_TEST(removedTenantsMakeRoom);
    CPPUNIT_TEST(unusedTenantsMakeRoomAndUsedOnesKeepTheirs);
    CPPUNIT_TEST(remadeSliceStartsEmpty);
    CPPUNIT_TEST(quotaOfANewerConfigurationIsNotForgotten);
    CPPUNIT_TEST_SUITE_END();

    // Guards against names that no configuration has filling the table, so that a tenant finds no issuer.
    void unknownNamesTakeNoRoom()
    {
        RecordNode node;
        node.clock.advance(seconds(10));
        node.fillTable("unknown-");
        QuotaAnswer unknown = node.draw("unknown-0", 1);
        CPPUNIT_ASSERT(unknown.issuer && unknown.granted == 0 && unknown.retryAfter > Duration(0));
        CPPUNIT_ASSERT_EQUAL(1u, node.draw("tenant", 1).granted);
        CPPUNIT_ASSERT_EQUAL(1u, node.draw("new", 1, node.version + 1).granted);
    }

    // Guards against slices of tenants that were removed from the configuration filling the table for good. Their
    // quota is so low that the slices don't fill in the time of the test.
    void removedTenantsMakeRoom()
    {
        RecordNode node;
        node.quota = { 0.001, 30 };
        node.fillTable("tenant-");
        node.configure("other");
        node.quota = { 30, 30 };
        CPPUNIT_ASSERT(node.draw("other", 1).issuer);
        node.clock.advance(seconds(1));
        CPPUNIT_ASSERT_EQUAL(1u, node.draw("other", 1).granted);
    }

    // Guards against slices that nobody draws from filling the table for good, and against room that is made at the
    // cost of tenants that draw.
    void unusedTenantsMakeRoomAndUsedOnesKeepTheirs()
    {
        RecordNode node;
        node.fillTable("tenant-");
        CPPUNIT_ASSERT(!node.draw("tenant-new", 1).issuer);
        node.clock.advance(seconds(10));
        CPPUNIT_ASSERT(node.draw("tenant-0", 1).granted == 1);
        CPPUNIT_ASSERT(node.draw("tenant-new", 1).issuer);
        CPPUNIT_ASSERT_EQUAL(1u, node.draw("tenant-0", 1).granted); // a remade slice would be empty
        node.clock.advance(seconds(1));
        CPPUNIT_ASSERT_EQUAL(1u, node.draw("tenant-new", 1).granted);
    }

    // Guards against a second burst of a tenant whose slice was dropped.
    void remadeSliceStartsEmpty()
    {
        RecordNode node;
        node.clock.advance(seconds(10));
        node.fillTable("tenant-");
        node.configure("other");
        node.draw("other", 1);
        node.configure("tenant");
        CPPUNIT_ASSERT_EQUAL(0u, node.draw("tenant-0", many).granted);
        node.clock.advance(seconds(1));
        std::uint32_t granted = node.draw("tenant-0", many).granted;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(granted), granted > 0 && granted <= 11); // a third of 30 * 1.025 and 1
    }

    // Guards against a quota of a former configuration that counts again because a slice was dropped.
    void quotaOfANewerConfigurationIsNotForgotten()
    {
        RecordNode node;
        node.clock.advance(seconds(10));
        std::uint64_t newer = node.version + 1;
        for (std::size_t i = 0; i < QuotaIssuer::maxSlices; ++i)
            node.draw("new-" + std::to_string(i), many, newer);
        node.clock.advance(seconds(10));
        CPPUNIT_ASSERT(!node.draw("tenant", 1).issuer);
        CPPUNIT_ASSERT_EQUAL(1u, node.draw("new-0", 1).granted);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaIssuerTest);

} // namespace lovagecross
