#include "lovagecross/gateway/Gateway.h"

#include "lovagecross/adapters/Log.h"
#include "lovagecross/gateway/CallerSession.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <exception>
#include <thread>

namespace lovagecross {

namespace {

constexpr int minThreads = 4;
constexpr int threadIdleSeconds = 30;
constexpr int stackBytes = 160 * 1024;
constexpr int listenBacklog = 1024;
constexpr Duration stopPollInterval = std::chrono::milliseconds(20);

} // namespace

GatewayCounters::GatewayCounters(Counters& counters)
    : calls(counters.counter("gateway.calls"))
    , answered(counters.counter("gateway.answered"))
    , refused(counters.counter("gateway.refused"))
    , failed(counters.counter("gateway.failed"))
    , callersLeft(counters.counter("gateway.callersLeft"))
    , sends(counters.counter("gateway.sends"))
    , streamsResumed(counters.counter("gateway.resumed"))
    , bodyBytes(counters.counter("gateway.bodyBytes"))
    , timeToFirstSend(counters.histogram("gateway.toFirstSend"))
    , completionDelay(counters.histogram("gateway.atEnd"))
    , tokenReservation(counters.histogram("gateway.reserve"))
    , conversationRead(counters.histogram("gateway.chain"))
    , turnWrite(counters.histogram("gateway.keep"))
    , callDuration(counters.histogram("gateway.whole"))
{
}

// Registers a session with the gateway while it runs, so that `Gateway::stop` can close its connection.
class SessionRegistration {
public:
    SessionRegistration(Gateway& owner, CallerSession& listed)
        : gateway(owner)
        , session(listed)
    {
        std::lock_guard lock(this->gateway.mutex);
        this->gateway.sessions.insert(&this->session);
    }
    ~SessionRegistration()
    {
        std::lock_guard lock(this->gateway.mutex);
        this->gateway.sessions.erase(&this->session);
    }
    SessionRegistration(const SessionRegistration&) = delete;
    SessionRegistration& operator=(const SessionRegistration&) = delete;

private:
    Gateway& gateway;
    CallerSession& session;
};

namespace {

class CallerConnection final : public Poco::Net::TCPServerConnection {
public:
    CallerConnection(const Poco::Net::StreamSocket& socket, Gateway& owner, GatewayContext& shared)
        : Poco::Net::TCPServerConnection(socket)
        , gateway(owner)
        , parts(shared)
    {
    }

    void run() override
    {
        try {
            CallerSession session(this->parts, this->socket());
            SessionRegistration guard(this->gateway, session);
            session.run();
        } catch (const std::exception& error) {
            LogLine(LogLevel::Error, "caller_connection").field("error", error.what()).write();
        }
    }

private:
    Gateway& gateway;
    GatewayContext& parts;
};

class ConnectionFactory final : public Poco::Net::TCPServerConnectionFactory {
public:
    ConnectionFactory(Gateway& owner, GatewayContext& shared)
        : gateway(owner)
        , parts(shared)
    {
    }

    Poco::Net::TCPServerConnection* createConnection(const Poco::Net::StreamSocket& socket) override
    {
        return new CallerConnection(socket, this->gateway, this->parts);
    }

private:
    Gateway& gateway;
    GatewayContext& parts;
};

} // namespace

Gateway::Gateway(GatewaySettings gatewaySettings, GatewayContext& shared)
    : settings(std::move(gatewaySettings))
    , parts(shared)
    , threads("callers", minThreads, this->settings.maxConnections + minThreads, threadIdleSeconds, stackBytes)
{
}

Gateway::~Gateway()
{
    this->stop(Duration(0));
}

void Gateway::start()
{
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress(this->settings.address), true, false);
    socket.listen(listenBacklog);
    Poco::Net::TCPServerParams::Ptr params = new Poco::Net::TCPServerParams;
    params->setMaxThreads(this->settings.maxConnections);
    params->setMaxQueued(this->settings.maxConnections);
    this->server = std::make_unique<Poco::Net::TCPServer>(
        new ConnectionFactory(*this, this->parts), this->threads, socket, params);
    this->server->start();
}

void Gateway::drain()
{
    this->parts.draining = true;
}

void Gateway::stop(Duration timeout)
{
    if (!this->server)
        return;
    this->server->stop();
    TimePoint end = this->parts.clock.now() + timeout;
    while (this->connections() > 0 && this->parts.clock.now() < end) {
        this->closeIdleConnections();
        std::this_thread::sleep_for(stopPollInterval);
    }
    this->closeIdleConnections();
    std::size_t left = this->connections();
    if (left > 0)
        LogLine(LogLevel::Warning, "calls_cut_at_stop").field("connections", left).write();
}

std::size_t Gateway::connections() const
{
    std::lock_guard lock(this->mutex);
    return this->sessions.size();
}

void Gateway::closeIdleConnections()
{
    std::lock_guard lock(this->mutex);
    for (CallerSession* session : this->sessions)
        session->closeIfIdle();
}

} // namespace lovagecross
