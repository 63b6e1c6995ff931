#include "lovagecross/gateway/Route.h"

#include "lovagecross/base/Hash.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

namespace {

Route routeTo(const std::string& host, const std::string& prefix, const std::string& service)
{
    Route route;
    route.host = host;
    route.pathPrefix = prefix;
    route.services = { { service, 1 } };
    return route;
}

} // namespace

class RouteTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RouteTest);
    CPPUNIT_TEST(longestPrefixWins);
    CPPUNIT_TEST(splitsFollowTheirWeights);
    CPPUNIT_TEST(onlySafeAndResumableCallsAreRepeatable);
    CPPUNIT_TEST_SUITE_END();

    void longestPrefixWins()
    {
        std::vector<Route> routes { routeTo("a.example", "/", "all"), routeTo("a.example", "/x/", "x"),
            routeTo("a.example", "/x/y/", "xy"), routeTo("b.example", "/x/", "b") };
        RouteTable table(routes);
        auto serviceOf = [&](const char* host, const char* path) {
            const Route* route = table.find(host, path);
            return route == nullptr ? std::string() : route->services[0].service;
        };
        CPPUNIT_ASSERT_EQUAL(std::string("xy"), serviceOf("a.example", "/x/y/z"));
        CPPUNIT_ASSERT_EQUAL(std::string("x"), serviceOf("A.Example:8080", "/x/yz"));
        CPPUNIT_ASSERT_EQUAL(std::string("all"), serviceOf("a.example", "/xy/"));
        CPPUNIT_ASSERT_EQUAL(std::string(), serviceOf("b.example", "/y/"));
        CPPUNIT_ASSERT_EQUAL(std::string(), serviceOf("c.example", "/x/"));
        CPPUNIT_ASSERT_EQUAL(std::string(), serviceOf("b.example", "/x"));
    }

    void splitsFollowTheirWeights()
    {
        Route route;
        route.services = { { "most", 90 }, { "few", 10 } };
        int few = 0;
        for (int i = 0; i < 10000; ++i)
            few += pickService(route, stableHash(std::to_string(i))) == "few" ? 1 : 0;
        CPPUNIT_ASSERT(few > 850 && few < 1150);
        route.services = { { "only", 0 } };
        CPPUNIT_ASSERT_EQUAL(std::string("only"), pickService(route, 7));
    }

    // Retrying a non-idempotent call could run it twice.
    void onlySafeAndResumableCallsAreRepeatable()
    {
        Route route;
        route.kind = RouteKind::Unsafe;
        route.resumable = true;
        CPPUNIT_ASSERT(!route.repeatable());
        route.kind = RouteKind::Streaming;
        CPPUNIT_ASSERT(route.repeatable());
        route.resumable = false;
        CPPUNIT_ASSERT(!route.repeatable());
        route.kind = RouteKind::Safe;
        CPPUNIT_ASSERT(route.repeatable());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteTest);

} // namespace lovagecross
