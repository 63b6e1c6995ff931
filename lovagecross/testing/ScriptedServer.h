#pragma once

// A TCP server whose answers a test writes byte by byte: late, doubled, cut or malformed ones too.
//
//     ScriptedServer server([](const ScriptedRequest& request, ScriptedConnection& connection) {
//         connection.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
//         return true;   // read the next request of this connection
//     });
//
// Thread safety: the script runs on one thread for each connection, several at once.

#include <Poco/Net/StreamSocket.h>
#include <functional>
#include <memory>
#include <string>

namespace lovagecross::testing {

struct ScriptedRequest {
    std::string head; // with its empty line
    std::string body;
    int number = 0; // of the connection's requests, from 1
    int connection = 0; // of the server's connections, from 1

    // The value of a header, or an empty string.
    std::string header(const std::string& name) const;
};

class ScriptedConnection {
public:
    explicit ScriptedConnection(const Poco::Net::StreamSocket& connected)
        : socket(connected)
    {
    }

    // False once the other side is gone.
    bool write(const std::string& bytes);

    // Ends the connection with a reset instead of in order.
    void reset();

    // Waits until the other side closes; false when it has not within five seconds.
    bool waitForClose();

private:
    Poco::Net::StreamSocket socket;
};

// Returns whether the connection stays open for another request.
using Script = std::function<bool(const ScriptedRequest& request, ScriptedConnection& connection)>;

class ScriptedServer {
public:
    explicit ScriptedServer(Script script);
    ~ScriptedServer();
    ScriptedServer(const ScriptedServer&) = delete;
    ScriptedServer& operator=(const ScriptedServer&) = delete;

    std::string address() const; // 127.0.0.1:port
    int requests() const;

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace lovagecross::testing
