#include "lovagecross/adapters/SocketPoller.h"

#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <sys/eventfd.h>
#include <unistd.h>

namespace lovagecross::detail {

using std::chrono::milliseconds;

class SocketPollerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SocketPollerTest);
    CPPUNIT_TEST(messageOnOneOfManySocketsIsFoundWithoutQueryingTheOthers);
    CPPUNIT_TEST(messageIsFoundAfterAnotherCallHasConsumedItsSignal);
    CPPUNIT_TEST(removedSocketIsNotReported);
    CPPUNIT_TEST(wakeDescriptorEndsTheWait);
    CPPUNIT_TEST_SUITE_END();

    zmq::context_t context;
    zmq::socket_t router { this->context, zmq::socket_type::router };
    std::deque<zmq::socket_t> dealers;
    int wakeFd = -1;

public:
    void setUp() override
    {
        this->wakeFd = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
        this->router.set(zmq::sockopt::linger, 0);
        this->router.bind("tcp://127.0.0.1:0");
    }
    void tearDown() override
    {
        this->dealers.clear();
        ::close(this->wakeFd);
    }

private:
    // Adds `count` connected sockets named by their number, each of which has sent one message to the router.
    void connect(SocketPoller& poller, int count)
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), poller.open(this->wakeFd));
        std::string endpoint = this->router.get(zmq::sockopt::last_endpoint);
        for (int i = 0; i < count; ++i) {
            zmq::socket_t& dealer = this->dealers.emplace_back(this->context, zmq::socket_type::dealer);
            dealer.set(zmq::sockopt::linger, 0);
            dealer.connect(endpoint);
            dealer.send(zmq::str_buffer("hello"));
            poller.add(std::to_string(i), dealer);
        }
    }

    // Receives one message on the router and sends an answer.
    void answerNext()
    {
        zmq::message_t requester;
        zmq::message_t text;
        CPPUNIT_ASSERT(this->router.recv(requester) && this->router.recv(text));
        this->router.send(requester, zmq::send_flags::sndmore);
        this->router.send(zmq::str_buffer("answer"));
    }

    static std::vector<std::string> waitForMessage(SocketPoller& poller)
    {
        std::vector<std::string> ready;
        for (int i = 0; i < 500 && ready.empty(); ++i)
            ready = poller.wait(milliseconds(20));
        return ready;
    }

    // Guards against a cost of each message that grows with the number of connections.
    void messageOnOneOfManySocketsIsFoundWithoutQueryingTheOthers()
    {
        constexpr int idleSockets = 200;
        SocketPoller poller;
        this->connect(poller, idleSockets);
        for (int i = 0; i < 5; ++i)
            poller.wait(milliseconds(20)); // the signals of the new connections
        std::uint64_t before = poller.queries();
        this->answerNext();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), waitForMessage(poller).size());
        CPPUNIT_ASSERT(poller.queries() - before < idleSockets / 4);
    }

    // Guards against a message that stays unread: a send may process the arrival and clear its signal.
    void messageIsFoundAfterAnotherCallHasConsumedItsSignal()
    {
        SocketPoller poller;
        this->connect(poller, 1);
        this->answerNext();
        while ((this->dealers[0].get(zmq::sockopt::events) & ZMQ_POLLIN) == 0) { } // consumes the signal
        poller.touch("0");
        CPPUNIT_ASSERT(poller.wait(milliseconds(0)) == std::vector<std::string> { "0" });
        zmq::message_t text;
        CPPUNIT_ASSERT(this->dealers[0].recv(text, zmq::recv_flags::dontwait));
        CPPUNIT_ASSERT(poller.wait(milliseconds(0)).empty());
    }

    void removedSocketIsNotReported()
    {
        SocketPoller poller;
        this->connect(poller, 1);
        this->answerNext();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), waitForMessage(poller).size());
        poller.remove("0");
        CPPUNIT_ASSERT(poller.wait(milliseconds(20)).empty());
    }

    void wakeDescriptorEndsTheWait()
    {
        SocketPoller poller;
        this->connect(poller, 0);
        std::uint64_t one = 1;
        CPPUNIT_ASSERT_EQUAL(ssize_t(sizeof(one)), ::write(this->wakeFd, &one, sizeof(one)));
        auto start = std::chrono::steady_clock::now();
        CPPUNIT_ASSERT(poller.wait(std::chrono::minutes(1)).empty());
        CPPUNIT_ASSERT(poller.woken());
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start < std::chrono::seconds(30));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SocketPollerTest);

} // namespace lovagecross::detail
