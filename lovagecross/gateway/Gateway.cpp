#include "lovagecross/gateway/Gateway.h"

#include "lovagecross/adapters/Log.h"
#include "lovagecross/gateway/CallerSession.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Runnable.h>
#include <Poco/Timespan.h>
#include <exception>
#include <memory>
#include <sys/socket.h>

namespace lovagecross {

namespace {

constexpr int minThreads = 4;
constexpr int threadIdleSeconds = 30;
constexpr int stackBytes = 160 * 1024;
constexpr int listenBacklog = 1024;
// Bounds what callers can send while their node does not read, such as further requests while one is running.
constexpr int receiveBufferBytes = 64 * 1024;
constexpr int sendBufferBytes = 64 * 1024; // bounds what callers leave unread
const Poco::Timespan acceptTimeout(0, 200'000); // until the acceptor checks for a stop
constexpr Duration acceptRetryInterval = std::chrono::milliseconds(20);
constexpr Duration stopPollInterval = std::chrono::milliseconds(20);
constexpr Duration minWaitToClose = std::chrono::milliseconds(100); // of a connection that is closed for another one
constexpr Duration closeReportInterval = std::chrono::seconds(1);

} // namespace

GatewayCounters::GatewayCounters(Counters& counters)
    : calls(counters.counter("gateway.calls"))
    , answered(counters.counter("gateway.answered"))
    , refused(counters.counter("gateway.refused"))
    , failed(counters.counter("gateway.failed"))
    , callersLeft(counters.counter("gateway.callersLeft"))
    , sends(counters.counter("gateway.sends"))
    , streamsResumed(counters.counter("gateway.resumed"))
    , silentServers(counters.counter("gateway.silentServers"))
    , serversLeaving(counters.counter("gateway.serversLeaving"))
    , quarantined(counters.counter("gateway.quarantined"))
    , unauthorized(counters.counter("gateway.unauthorized"))
    , overQuota(counters.counter("gateway.overQuota"))
    , programsHeldBack(counters.counter("gateway.programsHeldBack"))
    , programsRefused(counters.counter("gateway.programsRefused"))
    , stoppedEarly(counters.counter("gateway.stoppedEarly"))
    , relayedAway(counters.counter("gateway.relayedAway"))
    , relayedHere(counters.counter("gateway.relayedHere"))
    , relaysDeclined(counters.counter("gateway.relaysDeclined"))
    , connectionsOpened(counters.counter("gateway.connectionsOpened"))
    , preferredEngine(counters.counter("gateway.placedPreferred"))
    , otherEngine(counters.counter("gateway.placedElsewhere"))
    , bodyBytes(counters.counter("gateway.bodyBytes"))
    , outOfMemory(counters.counter("gateway.outOfMemory"))
    , closedForOthers(counters.counter("gateway.connectionsClosed"))
    , timeToFirstSend(counters.histogram("gateway.toFirstSend"))
    , completionDelay(counters.histogram("gateway.atEnd"))
    , tokenReservation(counters.histogram("gateway.reserve"))
    , conversationRead(counters.histogram("gateway.chain"))
    , turnWrite(counters.histogram("gateway.keep"))
    , callDuration(counters.histogram("gateway.whole"))
{
    for (const auto& [cause, name] : breakCauseNames.entries)
        this->brokenOff[cause] = &counters.counter("gateway.brokenOff." + std::string(name));
    for (const auto& [cause, name] : leaveCauseNames.entries)
        this->leftDataCentre[cause] = &counters.counter("gateway.leftDataCentre." + std::string(name));
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

// Serves one caller connection on a thread of the pool, then deletes itself.
class CallerTask final : public Poco::Runnable {
public:
    CallerTask(const Poco::Net::StreamSocket& connected, Gateway& owner, GatewayContext& shared)
        : socket(connected)
        , gateway(owner)
        , parts(shared)
        , connection(owner.table, [fd = connected.impl()->sockfd()] { ::shutdown(fd, SHUT_RDWR); })
    {
    }
    ~CallerTask() override = default;
    CallerTask(const CallerTask&) = delete;
    CallerTask& operator=(const CallerTask&) = delete;

    void run() override
    {
        std::unique_ptr<CallerTask> self(this);
        try {
            CallerSession session(this->parts, this->socket, this->connection, this->gateway.settings.origin);
            SessionRegistration guard(this->gateway, session);
            session.run();
        } catch (const std::exception& error) {
            LogLine(LogLevel::Error, "caller_connection").field("error", error.what()).write();
        }
    }

private:
    Poco::Net::StreamSocket socket; // open until `connection` is gone
    Gateway& gateway;
    GatewayContext& parts;
    TrackedConnection connection;
};

Gateway::Gateway(GatewaySettings gatewaySettings, GatewayContext& shared)
    : settings(std::move(gatewaySettings))
    , parts(shared)
    , threads("callers", minThreads, this->settings.maxConnections + minThreads, threadIdleSeconds, stackBytes)
    , table(shared.clock, static_cast<std::size_t>(this->settings.maxConnections), minWaitToClose)
{
}

Gateway::~Gateway()
{
    this->stop(Duration(0));
}

void Gateway::start()
{
    this->listener.bind(Poco::Net::SocketAddress(this->settings.address), true, false);
    this->listener.setReceiveBufferSize(receiveBufferBytes); // accepted sockets inherit it
    this->listener.setSendBufferSize(sendBufferBytes);
    this->listener.listen(listenBacklog);
    this->acceptor = std::thread([this] { this->acceptConnections(); });
}

// Accepts connections until `stop`. Those that callers have opened by then are accepted too: closing the listener would
// reset them, although their callers may have sent a request.
void Gateway::acceptConnections()
{
    for (;;) {
        bool lastRound = this->stopping;
        try {
            if (this->listener.poll(lastRound ? Poco::Timespan(0) : acceptTimeout, Poco::Net::Socket::SELECT_READ)) {
                bool hasRoom = this->table.makeRoom();
                Poco::Net::StreamSocket socket = this->listener.acceptConnection();
                if (hasRoom)
                    this->serve(socket);
                else
                    this->refuse();
            } else if (lastRound)
                break;
            this->reportClosedConnections();
        } catch (const std::exception& error) { // out of file descriptors, or the caller has already left
            LogLine(LogLevel::Warning, "accept_failed").field("error", error.what()).write();
            if (lastRound)
                break;
            std::this_thread::sleep_for(acceptRetryInterval);
        }
    }
    this->listener.close();
}

void Gateway::serve(const Poco::Net::StreamSocket& socket)
{
    auto task = std::make_unique<CallerTask>(socket, *this, this->parts);
    try {
        this->threads.start(*task);
        [[maybe_unused]] CallerTask* running = task.release(); // deletes itself
    } catch (const Poco::NoThreadAvailableException&) {
        this->refuse();
    }
}

// The new connection is closed unread, so that the caller may repeat any request on another node.
void Gateway::refuse()
{
    LogLine(LogLevel::Warning, "connection_limit").field("connections", this->connections()).write();
}

// Logs at most one line in `closeReportInterval`, since a crowd may connect again at once.
void Gateway::reportClosedConnections()
{
    TimePoint now = this->parts.clock.now();
    std::uint64_t closed = this->table.closedForOthers();
    if (closed == this->closedForOthers || now < this->nextReport)
        return;
    LogLine(LogLevel::Info, "connections_closed_for_others")
        .field("closed", closed - this->closedForOthers)
        .field("connections", this->connections())
        .write();
    this->parts.counters.closedForOthers.add(closed - this->closedForOthers);
    this->closedForOthers = closed;
    this->nextReport = now + closeReportInterval;
}

void Gateway::drain()
{
    this->parts.draining = true;
}

void Gateway::stop(Duration timeout)
{
    if (!this->acceptor.joinable())
        return;
    TimePoint end = this->parts.clock.now() + timeout;
    this->parts.stopsAt = end;
    this->stopping = true;
    this->acceptor.join();
    while (this->connections() > 0 && this->parts.clock.now() < end) {
        this->closeIdleConnections();
        std::this_thread::sleep_for(stopPollInterval);
    }
    this->closeIdleConnections();
    std::size_t left = this->connections();
    if (left > 0)
        LogLine(LogLevel::Warning, "calls_cut_at_stop").field("connections", left).write();
    std::lock_guard lock(this->mutex);
    for (const CallerSession* session : this->sessions)
        session->logCutCall();
}

void Gateway::closeIdleConnections()
{
    std::lock_guard lock(this->mutex);
    for (CallerSession* session : this->sessions)
        session->closeIfIdle();
}

} // namespace lovagecross
