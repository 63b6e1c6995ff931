#include "lovagecross/gateway/ConnectionPool.h"

#include <Poco/Net/ServerSocket.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

using std::chrono::milliseconds;

class ConnectionPoolTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConnectionPoolTest);
    CPPUNIT_TEST(connectionTooOldForOneCallServesAnother);
    CPPUNIT_TEST_SUITE_END();

    // Guards against connections that a call with IfRecentlyUsed closes although calls with Any could still use them.
    void connectionTooOldForOneCallServesAnother()
    {
        ManualClock clock;
        Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
        ServerEntry server;
        server.id = "s";
        server.address = listener.address().toString();
        ConnectionPool pool(clock, milliseconds(300));
        auto open = [&](const std::string& id, Reuse reuse) {
            return pool.open(server, id, reuse, clock.now() + std::chrono::seconds(1));
        };
        PooledConnection first = open("r1", Reuse::Any);
        CPPUNIT_ASSERT(first.stream && !first.reused);
        int descriptor = first.stream->descriptor();
        pool.keep(server, std::move(first), std::chrono::seconds(4));
        clock.advance(std::chrono::seconds(2));
        PooledConnection second = open("r2", Reuse::IfRecentlyUsed);
        CPPUNIT_ASSERT(second.stream && !second.reused);
        PooledConnection third = open("r3", Reuse::Any);
        CPPUNIT_ASSERT(third.stream && third.reused);
        CPPUNIT_ASSERT_EQUAL(descriptor, third.stream->descriptor());
        pool.keep(server, std::move(third), std::chrono::seconds(4));
        clock.advance(std::chrono::seconds(5));
        CPPUNIT_ASSERT(!open("r4", Reuse::Any).reused);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionPoolTest);

} // namespace lovagecross
