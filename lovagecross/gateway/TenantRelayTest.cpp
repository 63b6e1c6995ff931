// Calls of tenants at an entry node that reaches no backend server, which it sends through another entry node.

#include "lovagecross/gateway/RelayFixture.h"

namespace lovagecross {

class TenantRelayTest : public RelayFixture {
    CPPUNIT_TEST_SUITE(TenantRelayTest);
    CPPUNIT_TEST(otherNodeGetsTheDigestAndTheServerTheTenant);
    CPPUNIT_TEST(newerConfigurationOfTheOtherNodeDecides);
    CPPUNIT_TEST_SUITE_END();

    static GatewayConfiguration withTenant(GatewayConfiguration base, std::uint64_t version, const std::string& key)
    {
        base.version = version;
        base.tenants = TenantTable({ { "acme", { *digestOfKey(key) }, {}, {} } });
        return base;
    }

    // Guards against a key that another node or a server gets, and against a relayed call without its tenant.
    void otherNodeGetsTheDigestAndTheServerTheTenant()
    {
        std::mutex mutex;
        std::string seen;
        this->addServer([&](const ScriptedRequest& request, ScriptedConnection& connection) {
            std::lock_guard lock(mutex);
            seen += request.head;
            return connection.write(signedResponse(request, "ok"));
        });
        this->directory->applyConfiguration(withTenant(this->configuration(), 2, "secret"));
        this->strandedDirectory.applyConfiguration(withTenant(this->configuration(), 2, "secret"));
        std::string response = this->sendToStranded(post("/unsafe/", "r1", "x", "Key: secret\r\n"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "HTTP/1.1 200 "));
        CPPUNIT_ASSERT_MESSAGE(seen, contains(seen, "Tenant: acme") && !contains(seen, "secret"));
        CPPUNIT_ASSERT_MESSAGE(seen, !contains(seen, "Lovagecross-") && !contains(seen, "Key"));
        std::string refused = this->sendToStranded(post("/unsafe/", "r2", "x", "Key: other\r\n"));
        CPPUNIT_ASSERT_MESSAGE(refused, contains(refused, "HTTP/1.1 401 "));
        CPPUNIT_ASSERT_EQUAL(1, this->totalServerRequests());
    }

    // Guards against a revoked key that goes on counting through a node that has not heard of it.
    void newerConfigurationOfTheOtherNodeDecides()
    {
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            return connection.write(signedResponse(request, "ok"));
        });
        this->directory->applyConfiguration(withTenant(this->configuration(), 3, "new"));
        this->strandedDirectory.applyConfiguration(withTenant(this->configuration(), 2, "old"));
        std::string response = this->sendToStranded(post("/unsafe/", "r1", "x", "Key: old\r\n"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "HTTP/1.1 401 "));
        CPPUNIT_ASSERT_EQUAL(0, this->totalServerRequests());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TenantRelayTest);

} // namespace lovagecross
