#include "lovagecross/testing/TcpForwarder.h"
#include "lovagecross/testing/ProcessHarness.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>
#include <array>
#include <chrono>
#include <utility>

namespace lovagecross::testing {

namespace {

constexpr int backlog = 128;
constexpr long pollMicros = 50'000; // how soon a thread sees that the forwarder stops
constexpr long acceptPollMicros = 5'000; // how soon connections are refused
constexpr int closedPollMillis = 5;
constexpr std::size_t pieceBytes = 16 * 1024;

void shutDown(Poco::Net::StreamSocket& socket)
{
    try {
        socket.shutdown();
    } catch (const Poco::Exception&) { // NOLINT(bugprone-empty-catch): the peer has closed it already
    }
}

} // namespace

TcpForwarder::TcpForwarder(std::string target)
    : target(std::move(target))
    , listenAddress(freeAddress())
    , listener(Poco::Net::SocketAddress(this->listenAddress), backlog)
    , acceptor([this] { this->acceptLoop(); })
{
}

TcpForwarder::~TcpForwarder()
{
    this->stopping = true;
    this->acceptor.join();
    this->closeAll();
    for (const auto& connection : this->connections) {
        connection->requests.join();
        connection->answers.join();
    }
}

void TcpForwarder::set(ForwarderState next)
{
    ForwarderState previous = this->state.exchange(next);
    bool closes = next == ForwarderState::Cut || next == ForwarderState::Refused;
    if (previous != next && (closes || previous != ForwarderState::Open))
        this->closeAll();
}

void TcpForwarder::closeAll()
{
    std::lock_guard lock(this->mutex);
    for (const auto& connection : this->connections) {
        shutDown(connection->client);
        shutDown(connection->server);
    }
}

void TcpForwarder::reap()
{
    std::lock_guard lock(this->mutex);
    std::erase_if(this->connections, [](const std::unique_ptr<Connection>& connection) {
        if (connection->running > 0)
            return false;
        connection->requests.join();
        connection->answers.join();
        return true;
    });
}

void TcpForwarder::acceptLoop()
{
    while (!this->stopping) {
        this->reap();
        if (!this->keepListening()) {
            std::this_thread::sleep_for(std::chrono::milliseconds(closedPollMillis));
            continue;
        }
        if (!this->listener.poll(Poco::Timespan(0, acceptPollMicros), Poco::Net::Socket::SELECT_READ))
            continue;
        try {
            this->accepted(this->listener.acceptConnection());
        } catch (const Poco::Exception&) { // NOLINT(bugprone-empty-catch): the client or the target has gone
        }
    }
}

// Closes the listener while connections are to be refused, and opens it again afterwards. Returns whether it is open.
bool TcpForwarder::keepListening()
{
    bool refused = this->state == ForwarderState::Refused;
    if (refused && this->listening) {
        this->listener.close();
        this->listening = false;
    } else if (!refused && !this->listening) {
        try {
            this->listener = Poco::Net::ServerSocket();
            this->listener.bind(Poco::Net::SocketAddress(this->listenAddress), true);
            this->listener.listen(backlog);
            this->listening = true;
        } catch (const Poco::Exception&) { // NOLINT(bugprone-empty-catch): tried again
        }
    }
    return this->listening;
}

void TcpForwarder::accepted(const Poco::Net::StreamSocket& client)
{
    if (this->closesConnections())
        return; // closes the connection
    auto connection = std::make_unique<Connection>();
    connection->client = client;
    connection->server.connect(Poco::Net::SocketAddress(this->target));
    connection->client.setNoDelay(true);
    connection->server.setNoDelay(true);
    std::lock_guard lock(this->mutex);
    Connection* opened = this->connections.emplace_back(std::move(connection)).get();
    opened->requests = std::thread([this, opened] { this->pump(*opened, false); });
    opened->answers = std::thread([this, opened] { this->pump(*opened, true); });
    if (this->closesConnections()) { // since the state changed meanwhile
        shutDown(opened->client);
        shutDown(opened->server);
    }
}

bool TcpForwarder::closesConnections() const
{
    return this->state == ForwarderState::Cut || this->state == ForwarderState::Refused;
}

// Passes one direction on until either side closes.
void TcpForwarder::pump(Connection& connection, bool answers)
{
    Poco::Net::StreamSocket& from = answers ? connection.server : connection.client;
    Poco::Net::StreamSocket& to = answers ? connection.client : connection.server;
    std::array<char, pieceBytes> piece {};
    try {
        while (!this->stopping) {
            if (!from.poll(Poco::Timespan(0, pollMicros), Poco::Net::Socket::SELECT_READ))
                continue;
            int length = from.receiveBytes(piece.data(), static_cast<int>(piece.size()));
            if (length <= 0)
                break;
            ForwarderState now = this->state;
            if (now == ForwarderState::Silent || (now == ForwarderState::AnswersLost && answers))
                continue;
            for (int sent = 0; sent < length;)
                sent += to.sendBytes(piece.data() + sent, length - sent);
        }
    } catch (const Poco::Exception&) { // NOLINT(bugprone-empty-catch): a closed connection ends both directions
    }
    shutDown(connection.client);
    shutDown(connection.server);
    --connection.running;
}

} // namespace lovagecross::testing
