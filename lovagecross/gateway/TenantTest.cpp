// Tests of calls of tenants: keys, what servers and other tenants get to see, revocation and quotas.

#include "lovagecross/gateway/GatewayFixture.h"
#include "lovagecross/gateway/TenantQuotas.h"

namespace lovagecross {

namespace {

// Answers as it is told.
class ScriptedQuotas final : public TenantQuotas {
public:
    QuotaDecision admit(const TenantEntry& tenant, QuotaUse use, TimePoint) override
    {
        std::lock_guard lock(this->mutex);
        this->asked.push_back(tenant.name + ' ' + (use == QuotaUse::NewProgram ? "new" : "begun"));
        return this->answer;
    }

    std::mutex mutex;
    QuotaDecision answer;
    std::vector<std::string> asked;
};

} // namespace

class TenantTest : public GatewayFixture {
    CPPUNIT_TEST_SUITE(TenantTest);
    CPPUNIT_TEST(callWithoutAKeyOfATenantReachesNoServer);
    CPPUNIT_TEST(serverGetsTheTenantAndNoKey);
    CPPUNIT_TEST(publicRouteNeedsNoKey);
    CPPUNIT_TEST(withoutTenantsNothingIsRemoved);
    CPPUNIT_TEST(turnOfAnotherTenantDoesNotExist);
    CPPUNIT_TEST(revokedKeyStopsOnAnOpenConnection);
    CPPUNIT_TEST(revokedKeyStopsACallThatWaits);
    CPPUNIT_TEST(strictNodeRefusesOnceItsKeysAreOld);
    CPPUNIT_TEST(callOverTheQuotaReachesNoServer);
    CPPUNIT_TEST_SUITE_END();

    static TenantEntry tenant(const std::string& name, const std::string& key)
    {
        return { name, { *digestOfKey(key) }, {}, {} };
    }

    // Puts a configuration with these tenants in force.
    void applyTenants(std::vector<TenantEntry> tenants)
    {
        GatewayConfiguration next = this->configuration();
        next.routes.push_back(route("/open/", RouteKind::Safe, 1));
        next.routes.back().isPublic = true;
        next.version = ++this->version;
        next.tenants = TenantTable(std::move(tenants));
        this->directory->applyConfiguration(std::move(next));
    }

    void addRecordingServer()
    {
        this->addServer([this](const ScriptedRequest& request, ScriptedConnection& connection) {
            {
                std::lock_guard lock(this->mutex);
                this->seen += request.head;
            }
            return connection.write(signedResponse(request, "ok"));
        });
    }

    // Guards against calls that servers run for callers without a valid key.
    void callWithoutAKeyOfATenantReachesNoServer()
    {
        this->addRecordingServer();
        this->applyTenants({ tenant("acme", "k1") });
        for (const char* more : { "", "Key: other\r\n", "Key: \r\n", "Key: a b\r\n", "Tenant: acme\r\n" }) {
            std::string response = this->sendRequest(post("/unsafe/", "r1", "x", more));
            CPPUNIT_ASSERT_MESSAGE(response, contains(response, "HTTP/1.1 401 ") && contains(response, "\"error\""));
        }
        CPPUNIT_ASSERT_EQUAL(0, this->totalServerRequests());
        CPPUNIT_ASSERT(this->parts->counters.unauthorized.value() == 5);
    }

    // Guards against a key that reaches a server, and against a caller that names its own tenant.
    void serverGetsTheTenantAndNoKey()
    {
        this->addRecordingServer();
        TenantEntry acme = tenant("acme", "k1");
        acme.priority = 1;
        this->applyTenants({ acme });
        std::string response = this->sendRequest(post("/unsafe/", "r1", "x", "Key: k1\r\nTenant: other\r\n"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "HTTP/1.1 200 "));
        CPPUNIT_ASSERT_MESSAGE(this->seen, contains(this->seen, "Tenant: acme") && !contains(this->seen, "other"));
        CPPUNIT_ASSERT_MESSAGE(this->seen, !contains(this->seen, "k1") && contains(this->seen, "Priority: 1"));
    }

    // Guards against a public route that asks for a key, and against one that passes on what names a tenant.
    void publicRouteNeedsNoKey()
    {
        this->addRecordingServer();
        this->applyTenants({ tenant("acme", "k1") });
        CPPUNIT_ASSERT(contains(this->sendRequest(get("/open/", "r1", "Tenant: acme\r\n")), "HTTP/1.1 200 "));
        CPPUNIT_ASSERT(contains(this->sendRequest(get("/open/", "r2", "Key: other\r\n")), "HTTP/1.1 200 "));
        CPPUNIT_ASSERT_MESSAGE(this->seen, !contains(this->seen, "Tenant: ") && !contains(this->seen, "other"));
        CPPUNIT_ASSERT(contains(this->sendRequest(get("/open/", "r3", "Key: k1\r\n")), "HTTP/1.1 200 "));
        CPPUNIT_ASSERT_MESSAGE(this->seen, contains(this->seen, "Tenant: acme") && !contains(this->seen, "k1"));
    }

    // Guards against deployments without tenants whose servers no longer get all fields of their callers.
    void withoutTenantsNothingIsRemoved()
    {
        this->addRecordingServer();
        CPPUNIT_ASSERT(contains(this->sendRequest(get("/safe/", "r1", "Key: k1\r\nTenant: t\r\n")), "HTTP/1.1 200 "));
        CPPUNIT_ASSERT_MESSAGE(this->seen, contains(this->seen, "Key: k1") && contains(this->seen, "Tenant: t"));
    }

    // Guards against a tenant that reads what another one said.
    void turnOfAnotherTenantDoesNotExist()
    {
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            return connection.write(streamHead(request) + printChunk(event(1)) + std::string(lastChunk));
        });
        this->applyTenants({ tenant("acme", "k1"), tenant("other", "k2") });
        std::string first = this->sendRequest(post("/turn/", "t1", "x", "Key: k1\r\n"));
        CPPUNIT_ASSERT_MESSAGE(first, contains(first, "HTTP/1.1 200 ") && contains(first, "e1"));
        std::string stolen = this->sendRequest(post("/turn/", "t2", "y", "Key: k2\r\nPrevious: t1\r\n"));
        CPPUNIT_ASSERT_MESSAGE(stolen, contains(stolen, "HTTP/1.1 404 "));
        std::string next = this->sendRequest(post("/turn/", "t3", "y", "Key: k1\r\nPrevious: t1\r\n"));
        CPPUNIT_ASSERT_MESSAGE(next, contains(next, "HTTP/1.1 200 "));
    }

    // Guards against a key that goes on counting on connections that were opened before it was revoked or moved.
    void revokedKeyStopsOnAnOpenConnection()
    {
        this->addRecordingServer();
        this->applyTenants({ tenant("acme", "k1") });
        CallerSocket caller(this->address);
        caller.write(post("/unsafe/", "r1", "x", "Key: k1\r\n"));
        CPPUNIT_ASSERT(contains(caller.readResponse(), "HTTP/1.1 200 "));
        this->applyTenants({ tenant("other", "k1"), tenant("acme", "k2") });
        caller.write(post("/unsafe/", "r2", "x", "Key: k1\r\n"));
        CPPUNIT_ASSERT(contains(caller.readResponse(), "HTTP/1.1 200 "));
        CPPUNIT_ASSERT_MESSAGE(this->seen, contains(this->seen, "Tenant: other"));
        this->applyTenants({ tenant("acme", "k2") });
        caller.write(post("/unsafe/", "r3", "x", "Key: k1\r\n"));
        CPPUNIT_ASSERT(contains(caller.readResponse(), "HTTP/1.1 401 "));
        CPPUNIT_ASSERT_EQUAL(2, this->totalServerRequests());
    }

    // Guards against a call that was admitted with a key and is sent to a server after the key was revoked.
    void revokedKeyStopsACallThatWaits()
    {
        this->addRecordingServer();
        this->applyTenants({ tenant("acme", "k1") });
        this->turns->onReserve = [this] { this->applyTenants({ tenant("acme", "k2") }); };
        std::string response = this->sendRequest(post("/stream/", "r1", "x", "Key: k1\r\n"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "HTTP/1.1 401 "));
        CPPUNIT_ASSERT_EQUAL(0, this->totalServerRequests());
    }

    // Guards against a node that hears nobody and goes on with revoked keys although the operator forbids it.
    void strictNodeRefusesOnceItsKeysAreOld()
    {
        this->addRecordingServer();
        this->applyTenants({ tenant("acme", "k1") });
        this->parts->revocation = { true, std::chrono::hours(1) };
        this->directory->confirmConfiguration(this->version, Duration(0));
        CPPUNIT_ASSERT(contains(this->sendRequest(get("/safe/", "r1", "Key: k1\r\n")), "HTTP/1.1 200 "));
        this->parts->revocation.maxAge = Duration(0);
        std::string response = this->sendRequest(get("/safe/", "r2", "Key: k1\r\n"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "HTTP/1.1 503 ") && contains(response, "Retry-After"));
        CPPUNIT_ASSERT(contains(this->sendRequest(get("/open/", "r3")), "HTTP/1.1 200 "));
        this->parts->revocation.strict = false;
        CPPUNIT_ASSERT(contains(this->sendRequest(get("/safe/", "r4", "Key: k1\r\n")), "HTTP/1.1 200 "));
    }

    // Guards against calls beyond the quota that servers run, and against tenants without a quota that are counted.
    void callOverTheQuotaReachesNoServer()
    {
        ScriptedQuotas quotas;
        this->parts->quotas = &quotas;
        this->addRecordingServer();
        TenantEntry limited = tenant("acme", "k1");
        limited.quota = { 10, 5 };
        this->applyTenants({ limited, tenant("free", "k2") });
        quotas.answer = { QuotaOutcome::OverQuota, milliseconds(250) };
        std::string refused = this->sendRequest(post("/unsafe/", "r1", "x", "Key: k1\r\n"));
        CPPUNIT_ASSERT_MESSAGE(refused, contains(refused, "HTTP/1.1 429 ") && contains(refused, "Retry-After: 0.25"));
        quotas.answer = { QuotaOutcome::Unknown, milliseconds(250) };
        CPPUNIT_ASSERT(contains(this->sendRequest(post("/turn/", "r2", "x", "Key: k1\r\n")), "HTTP/1.1 503 "));
        CPPUNIT_ASSERT(contains(this->sendRequest(get("/safe/", "r3", "Key: k2\r\n")), "HTTP/1.1 200 "));
        quotas.answer = {};
        CPPUNIT_ASSERT(contains(this->sendRequest(get("/safe/", "r4", "Key: k1\r\n")), "HTTP/1.1 200 "));
        std::vector<std::string> expected { "acme begun", "acme new", "acme begun" };
        CPPUNIT_ASSERT(quotas.asked == expected);
        CPPUNIT_ASSERT_EQUAL(2, this->totalServerRequests());
    }

    std::mutex mutex;
    std::string seen; // heads of the requests that the server got
    std::uint64_t version = 1;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TenantTest);

} // namespace lovagecross
