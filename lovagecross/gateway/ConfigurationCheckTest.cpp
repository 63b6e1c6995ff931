#include "lovagecross/gateway/ConfigurationCheck.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

using std::chrono::milliseconds;

class ConfigurationCheckTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConfigurationCheckTest);
    CPPUNIT_TEST(soundConfigurationHasNoFindings);
    CPPUNIT_TEST(entriesThatNeverMatchAreFound);
    CPPUNIT_TEST(contradictionsAreFound);
    CPPUNIT_TEST(differencesNameTheEntryAndNoKey);
    CPPUNIT_TEST(versionThatIsNotHigherIsAnError);
    CPPUNIT_TEST_SUITE_END();

    static GatewayConfiguration sound()
    {
        GatewayConfiguration configuration;
        configuration.version = 7;
        Route chat;
        chat.host = "h";
        chat.pathPrefix = "/chat/";
        chat.kind = RouteKind::Streaming;
        chat.services = { { "engines", 1 } };
        chat.timeout = milliseconds(5000);
        chat.targetLatency = milliseconds(250);
        Route order = chat;
        order.pathPrefix = "/order/";
        order.kind = RouteKind::Unsafe;
        order.services = { { "app", 1 } };
        configuration.routes = { chat, order };
        ServiceSpec engines;
        engines.name = "engines";
        engines.maxConnections = 100;
        engines.engine = EngineTraits { 16, 100'000, 4, false, Duration(0) };
        ServiceSpec app;
        app.name = "app";
        configuration.services = { { "engines", engines }, { "app", app } };
        configuration.tenants = TenantTable({ { "acme", { *digestOfKey("key-1") }, {}, { 10, 10 } } });
        return configuration;
    }

    // Returns the sound configuration after the change.
    static GatewayConfiguration with(const auto& change)
    {
        GatewayConfiguration configuration = sound();
        change(configuration);
        return configuration;
    }

    static std::string print(const std::vector<ConfigurationFinding>& findings)
    {
        std::string text;
        for (const ConfigurationFinding& finding : findings)
            text += std::string(findingKindNames.name(finding.kind)) + ' ' + finding.path + ": " + finding.message
                + '\n';
        return text;
    }

    // Asserts that the configuration has exactly one finding, and that it is about this entry.
    static void assertOne(const GatewayConfiguration& configuration, FindingKind kind, const std::string& path)
    {
        std::vector<ConfigurationFinding> findings = checkConfiguration(configuration);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(print(findings), std::size_t(1), findings.size());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(print(findings), path, findings[0].path);
        CPPUNIT_ASSERT_MESSAGE(print(findings), findings[0].kind == kind);
    }

    // Guards against warnings about configurations that are in order, which operators would learn to ignore.
    void soundConfigurationHasNoFindings()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), print(checkConfiguration(sound())));
        CPPUNIT_ASSERT_EQUAL(std::string(), print(checkConfiguration({})));
    }

    // Guards against a route, service or tenant that an operator believes to be in use.
    void entriesThatNeverMatchAreFound()
    {
        assertOne(with([](auto& c) { c.routes.push_back(c.routes[0]); }), FindingKind::NeverMatches, "routes[2]");
        assertOne(with([](auto& c) { c.routes[1].host.clear(); }), FindingKind::NeverMatches, "routes[1]");
        assertOne(with([](auto& c) { c.routes[1].pathPrefix = "order/"; }), FindingKind::NeverMatches, "routes[1]");
        assertOne(with([](auto& c) {
            c.routes[1].services = { { "app", 1 }, { "engines", 0 } };
        }),
            FindingKind::NeverMatches, "routes[1]");
        assertOne(with([](auto& c) {
            c.services["spare"] = { "spare", "", 0, {} };
        }),
            FindingKind::NeverMatches, "services[spare]");
        assertOne(with([](auto& c) {
            c.tenants = TenantTable({ { "keyless", {}, {}, {} } });
        }),
            FindingKind::NeverMatches, "tenants[keyless]");
        assertOne(with([](auto& c) { c.routes[0].isPublic = c.routes[1].isPublic = true; }), FindingKind::NeverMatches,
            "tenants");
    }

    // Guards against limits that an operator sets and that can't hold together.
    void contradictionsAreFound()
    {
        constexpr FindingKind contradiction = FindingKind::Contradiction;
        assertOne(with([](auto& c) { c.routes[0].targetLatency = milliseconds(6000); }), contradiction, "routes[0]");
        assertOne(with([](auto& c) { c.routes[0].targetEventGap = milliseconds(6000); }), contradiction, "routes[0]");
        assertOne(with([](auto& c) { c.routes[0].storesTurns = true; }), contradiction, "routes[0]");
        assertOne(with([](auto& c) { c.routes[1].resumable = true; }), contradiction, "routes[1]");
        assertOne(with([](auto& c) { c.routes[1].priority = 10; }), contradiction, "routes[1]");
        assertOne(with([](auto& c) { c.routes[1].services.push_back({ "gone", 1 }); }), contradiction, "routes[1]");
        assertOne(with([](auto& c) { c.services["engines"].maxConnections = 8; }), contradiction, "services[engines]");
        assertOne(with([](auto& c) { c.limits.headTimeout = Duration(0); }), contradiction, "limits");
        for (TenantQuota quota : { TenantQuota { 0, 5 }, TenantQuota { 5, 0.5 } })
            assertOne(with([&](auto& c) {
                c.tenants = TenantTable({ { "t", { *digestOfKey("k") }, {}, quota } });
            }),
                contradiction, "tenants[t]");
    }

    // Guards against a change that an operator overlooks, and against keys on a terminal.
    void differencesNameTheEntryAndNoKey()
    {
        GatewayConfiguration next = sound();
        next.version = 8;
        next.routes[0].timeout = milliseconds(4000);
        next.routes[1].pathPrefix = "/orders/";
        next.services["engines"].maxConnections = 200;
        next.limits.maxBodyBytes = 1000;
        next.tenants = TenantTable({ { "acme", { *digestOfKey("key-2") }, 1, { 20, 10 } }, { "new", {}, {}, {} } });
        std::string text = print(compareConfigurations(sound(), next));
        for (const char* expected : { "h/chat/: timeout: 5000 ms -> 4000 ms\n", "h/orders/: added\n",
                 "h/order/: removed\n", "services[engines]: connections: 100 -> 200\n",
                 "tenants[acme]: keys added: 1; keys revoked: 1; rate: ", "priority: of the route -> 1",
                 "tenants[new]: added\n", "limits: body bytes: 4194304 -> 1000\n" })
            CPPUNIT_ASSERT_MESSAGE(text + expected, text.find(expected) != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(text, text.find("key-") == std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(text, text.find("version") == std::string::npos);
    }

    // Guards against a configuration that nodes ignore without a word to the operator.
    void versionThatIsNotHigherIsAnError()
    {
        std::vector<ConfigurationFinding> findings = compareConfigurations(sound(), sound());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(print(findings), std::size_t(1), findings.size());
        CPPUNIT_ASSERT(findings[0].kind == FindingKind::Error && findings[0].path == "version");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationCheckTest);

} // namespace lovagecross
