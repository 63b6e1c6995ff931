#pragma once

// One caller connection: reads requests one after the other and runs each.
//
// Thread safety: `run` is called on one thread; the other members may be called from any thread.

#include "lovagecross/gateway/CallRunner.h"
#include "lovagecross/gateway/GatewayContext.h"
#include "lovagecross/http/BodyDecoder.h"
#include "lovagecross/http/ByteStream.h"
#include "lovagecross/http/ConnectionTable.h"
#include "lovagecross/http/MessageHead.h"

#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <mutex>
#include <optional>
#include <string>

namespace lovagecross {

class CallerSession {
public:
    // `trackedConnection` must outlive the session.
    CallerSession(GatewayContext& shared, const Poco::Net::StreamSocket& socket, TrackedConnection& trackedConnection,
        CallOrigin callOrigin);

    ~CallerSession();
    CallerSession(const CallerSession&) = delete;
    CallerSession& operator=(const CallerSession&) = delete;

    // Serves requests until the connection is closed.
    void run();

    // Closes the connection if no request has begun on it. A new connection is left open for a short time, in which its
    // first request may arrive.
    void closeIfIdle();

    // Logs the call that is running, if there is one, as cut off because the node stops.
    void logCutCall() const;

private:
    enum class ReadResult {
        Ok,
        Closed, // by the caller, or after the idle timeout
        Refused, // an error response was sent and the connection must be closed
    };

    ReadResult readHead(RequestHead& head);
    ReadResult waitForRequest(const CallerLimits& limits);
    AfterCall serve(const RequestHead& head);
    ReadResult readBody(const RequestHead& head, std::string& body, BufferReservation& reservation);
    ReadResult decodeBody(
        BodyDecoder& decoder, const RequestHead& head, std::string& body, BufferReservation& reservation);
    ReadResult refuseBody(int status, std::string_view reason, std::string& body, BufferReservation& reservation);
    ReadResult refuseForMemory(const RequestHead& head, std::string& body, BufferReservation& reservation);
    AfterCall runCall(const RequestHead& head, std::string body);
    bool setIdle(bool nowIdle);
    void setRunningRequest(const std::string& id);
    void refuse(int status, std::string_view reason, HeaderList headers = {});
    void lingeringClose();
    CallerLimits limits() const;

    GatewayContext& parts;
    TrackedConnection& connection;
    const CallOrigin origin;
    ByteStream stream;
    const TimePoint openedAt;
    TimePoint headArrivedAt;
    mutable std::mutex idleMutex;
    std::string runningRequest; // id of the call that is running
    bool idle = true;
    bool closeWhenIdle = false;
    bool closedWhileIdle = false; // by `closeIfIdle`
};

} // namespace lovagecross
