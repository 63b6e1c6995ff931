#pragma once

// One connection of a caller: reads requests one after the other and runs each.
//
// Thread safety: `run` on one thread; `endIfIdle` may be called from any thread.

#include "lovagecross/gateway/GatewayParts.h"
#include "lovagecross/http/ByteStream.h"
#include "lovagecross/http/MessageHead.h"

#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <mutex>
#include <optional>
#include <string>

namespace lovagecross {

class CallerSession {
public:
    CallerSession(GatewayParts& shared, const Poco::Net::StreamSocket& socket);

    // Returns when the connection has ended.
    void run();

    // Closes the connection if no request has begun on it.
    void endIfIdle();

private:
    enum class ReadEnd {
        Ok,
        Ended, // the caller has closed, or an idle time has passed
        Refused, // an answer was sent and the connection must be closed
    };

    ReadEnd readHead(RequestHead& head);
    ReadEnd waitForRequest(const CallerLimits& limits);
    ReadEnd readBody(const RequestHead& head, std::string& body);
    bool setIdle(bool nowIdle);
    void refuse(int status, std::string_view reason);
    void closeGently();
    CallerLimits limits() const;

    GatewayParts& parts;
    ByteStream stream;
    TimePoint headArrivedAt;
    std::mutex idleMutex;
    bool idle = true;
    bool endWhenIdle = false;
    bool ended = false; // by endIfIdle
};

} // namespace lovagecross
