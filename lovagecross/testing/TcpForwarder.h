#pragma once

// Forwards TCP connections between two loopback addresses and can be cut, so that a test can separate processes that
// would otherwise reach each other.
//
//     TcpForwarder forwarder(cluster.platformUrl().substr(7));
//     ... "platformAddress": forwarder.address() ...
//     forwarder.set(ForwarderState::Cut);
//     forwarder.set(ForwarderState::Open);
//
// Thread safety: every member may be called from any thread.

#include <atomic>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

namespace lovagecross::testing {

enum class ForwarderState {
    Open,
    Cut, // connections are closed, and new ones as soon as they are accepted
    Silent, // connections stay open and nothing passes, in either direction
    AnswersLost, // requests pass, answers do not
    Refused, // connections are closed, and new ones are refused, as at the address of a process that has ended
};

class TcpForwarder {
public:
    // Listens on a free port of 127.0.0.1. `target` is host:port; it is connected to with each accepted connection.
    explicit TcpForwarder(std::string target);
    ~TcpForwarder();
    TcpForwarder(const TcpForwarder&) = delete;
    TcpForwarder& operator=(const TcpForwarder&) = delete;

    std::string address() const { return this->listenAddress; }

    // A change to Cut or Refused closes every open connection. After Silent or AnswersLost, what was held back is lost:
    // the connections of that time are closed when the state changes.
    void set(ForwarderState state);

private:
    struct Connection {
        Poco::Net::StreamSocket client;
        Poco::Net::StreamSocket server;
        std::thread requests;
        std::thread answers;
        std::atomic<int> running { 2 };
    };

    void acceptLoop();
    bool keepListening();
    bool closesConnections() const;
    void accepted(const Poco::Net::StreamSocket& client);
    void pump(Connection& connection, bool answers);
    void closeAll();
    void reap();

    std::string target;
    const std::string listenAddress;
    Poco::Net::ServerSocket listener;
    bool listening = true; // used by the acceptor only
    std::atomic<ForwarderState> state { ForwarderState::Open };
    std::atomic<bool> stopping { false };
    std::mutex mutex;
    std::list<std::unique_ptr<Connection>> connections;
    std::thread acceptor;
};

} // namespace lovagecross::testing
