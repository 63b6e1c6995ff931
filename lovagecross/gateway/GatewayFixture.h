#pragma once

// Test fixture: a gateway between scripted backend servers and raw caller connections.
//
// Thread safety: not synchronized; runs one test at a time.

#include "lovagecross/gateway/Gateway.h"
#include "lovagecross/http/BodyDecoder.h"
#include "lovagecross/testing/ProcessHarness.h"
#include "lovagecross/testing/ScriptedServer.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <stdexcept>
#include <thread>

namespace lovagecross {

using std::chrono::milliseconds;
using testing::Script;
using testing::ScriptedConnection;
using testing::ScriptedRequest;
using testing::ScriptedServer;

// A codec with short header names, in place of a platform's.
class TestCodec final : public CallCodec {
public:
    Call decodeCall(const HeaderList& headers) const override
    {
        if (headers.has("Undecodable"))
            throw std::runtime_error("unexpected error of a test");
        Call call;
        call.requestId = this->text(headers, "Id");
        if (const std::string* key = headers.find("Key")) {
            auto digest = digestOfKey(*key);
            call.credential
                = digest ? Credential { CredentialKind::Key, *digest } : Credential { CredentialKind::Malformed, {} };
        }
        call.program = this->text(headers, "Program");
        call.session = this->text(headers, "Session");
        call.previousTurn = this->text(headers, "Previous");
        call.lastEventId = parseUnsigned(this->text(headers, "Last-Event-Id"));
        call.resumes = this->text(headers, "Resumes");
        call.affinityKey = this->text(headers, "Affinity");
        if (auto millis = parseUnsigned(this->text(headers, "Time")))
            call.timeLeft = milliseconds(*millis);
        call.tokenBudget = parseUnsigned(this->text(headers, "Budget"));
        call.promptTokens = parseUnsigned(this->text(headers, "Prompt-Tokens")).value_or(0);
        call.maxOutputTokens = parseUnsigned(this->text(headers, "Max")).value_or(0);
        return call;
    }
    HeaderList encodeServerRequest(const HeaderList& callerHeaders, const ServerRequestFields& order) const override
    {
        HeaderList headers;
        for (const HeaderField& field : callerHeaders.fields()) {
            bool identity = equalsIgnoringCase(field.name, "Key") || equalsIgnoringCase(field.name, "Tenant");
            if (!isHopByHopField(field.name, callerHeaders) && !equalsIgnoringCase(field.name, "Time")
                && !(order.identifiesTenant && identity))
                headers.add(field.name, field.value);
        }
        headers.add("Time", std::to_string(toMillis(order.timeLeft)));
        headers.add("Server", order.serverId);
        if (!order.tenant.empty())
            headers.add("Tenant", order.tenant);
        headers.add("Priority", std::to_string(order.priority));
        if (order.resumeAfter)
            headers.set("Last-Event-Id", std::to_string(*order.resumeAfter));
        return headers;
    }
    HeaderList encodeRelayedRequest(const HeaderList& callerHeaders, Duration timeLeft, bool withoutKey) const override
    {
        HeaderList headers;
        for (const HeaderField& field : callerHeaders.fields()) {
            if (!isHopByHopField(field.name, callerHeaders) && !equalsIgnoringCase(field.name, "Time")
                && !(withoutKey && equalsIgnoringCase(field.name, "Key")))
                headers.add(field.name, field.value);
        }
        headers.add("Time", std::to_string(toMillis(timeLeft)));
        return headers;
    }
    ResponseMetadata decodeResponseMetadata(int, const HeaderList& headers) const override
    {
        if (headers.has("Undecodable"))
            throw std::runtime_error("unexpected error of a test");
        ResponseMetadata metadata;
        metadata.requestId = this->text(headers, "Id");
        metadata.signedByServer = headers.has("Signed");
        metadata.notExecuted = headers.has("Not-Executed");
        metadata.leaving = headers.has("Leaving");
        if (headers.has("Limit"))
            metadata.requestsPerSecond = std::stod(this->text(headers, "Limit"));
        return metadata;
    }
    HeaderList encodeResponseHeaders(const Call& call, std::optional<Duration> retryAfter) const override
    {
        HeaderList headers;
        headers.add("Id", call.requestId);
        if (retryAfter)
            headers.add("Retry-After", std::to_string(std::chrono::duration<double>(*retryAfter).count()));
        return headers;
    }

private:
    static std::string text(const HeaderList& headers, const char* name)
    {
        const std::string* value = headers.find(name);
        return value != nullptr ? *value : std::string();
    }
};

class FakeTurns final : public TurnStore, public TokenBudgets {
public:
    std::size_t maxTurnBytes() const override { return this->longestTurn; }

    Conversation readConversation(
        const std::string& id, const std::string&, TimePoint, const ReserveMemory& reserve) override
    {
        std::lock_guard lock(this->mutex);
        if (this->failsToRead)
            throw std::runtime_error("unexpected error of a test");
        if (!this->available)
            return { ConversationStatus::Unavailable, {}, 0, milliseconds(70) };
        if (this->tooLong)
            return { ConversationStatus::TooLong, {}, 0, Duration(0) };
        auto found = this->kept.find(id);
        if (found == this->kept.end())
            return { ConversationStatus::Absent, {}, 0, Duration(0) };
        const TurnRecord& turn = found->second;
        if (!reserve(2 * (turn.input.size() + turn.output.size())))
            return { ConversationStatus::NoMemory, {}, 0, Duration(0) };
        return { ConversationStatus::Found, turn.input + turn.output, 1, Duration(0),
            turn.group.empty() ? turn.program : turn.group };
    }
    bool keep(TurnRecord record, TimePoint) override
    {
        std::lock_guard lock(this->mutex);
        if (this->failsToKeep)
            throw std::runtime_error("unexpected error of a test");
        if (!this->available)
            return false;
        std::string id = record.id;
        this->kept[id] = std::move(record);
        return true;
    }
    Grant reserve(const GrantRequest& request, TimePoint) override
    {
        if (this->onReserve)
            this->onReserve();
        std::lock_guard lock(this->mutex);
        if (!this->available)
            return { GrantStatus::Unavailable, this->used, milliseconds(70), {} };
        if (request.turnBytes > this->roomBytes)
            return { GrantStatus::NoRoom, this->used, milliseconds(90), {} };
        StreamOrigin& origin = this->origins[request.requestId];
        if (request.origin.revision > origin.revision)
            origin = request.origin;
        StreamOrigin resumed = this->origins[request.resumes];
        if (this->reserved.count(request.requestId) > 0)
            return { GrantStatus::Granted, this->used, Duration(0), resumed };
        if (this->used + request.tokens > request.budget)
            return { GrantStatus::Exhausted, this->used, Duration(0), {} };
        this->used += request.tokens;
        this->reserved.insert(request.requestId);
        return { GrantStatus::Granted, this->used, Duration(0), resumed };
    }
    void settle(const GrantRequest& request, std::uint64_t usedTokens) override
    {
        std::lock_guard lock(this->mutex);
        this->used -= request.tokens - usedTokens;
    }

    // Takes over what another one holds, as after a restart of the node that used it.
    void takeOver(FakeTurns& other)
    {
        std::scoped_lock lock(this->mutex, other.mutex);
        this->kept = other.kept;
        this->used = other.used;
        this->reserved = other.reserved;
        this->origins = other.origins;
    }

    std::mutex mutex;
    bool available = true;
    std::size_t longestTurn = std::numeric_limits<std::size_t>::max();
    std::size_t roomBytes = std::numeric_limits<std::size_t>::max(); // for each further turn
    bool tooLong = false;
    bool failsToRead = false; // with an exception
    bool failsToKeep = false;
    std::function<void()> onReserve; // called before each reservation
    std::map<std::string, TurnRecord> kept;
    std::uint64_t used = 0;
    std::set<std::string> reserved; // request ids
    std::map<std::string, StreamOrigin> origins; // by request id
};

// No server has a limit.
class UnlimitedServers final : public ServerPermits {
public:
    void observe(const ServerEntry&, std::optional<double>, TimePoint) override { }
    PermitOutlook outlook(const std::vector<ServerEntry>&) override { return {}; }
    Permit acquire(const ServerEntry&, TimePoint) override { return {}; }
};

inline std::string signedResponse(const ScriptedRequest& request, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nId: " + request.header("Id")
        + "\r\nSigned: x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string streamHead(const ScriptedRequest& request)
{
    return "HTTP/1.1 200 OK\r\nId: " + request.header("Id") + "\r\nSigned: " + request.header("Server")
        + "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

inline std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
}

// A caller's connection.
class CallerSocket {
public:
    explicit CallerSocket(const std::string& address)
        : socket(Poco::Net::SocketAddress(address))
    {
        this->socket.setReceiveTimeout(Poco::Timespan(5, 0));
    }

    void write(const std::string& bytes) { this->socket.sendBytes(bytes.data(), static_cast<int>(bytes.size())); }
    void close() { this->socket.close(); }

    // Reads until `complete` returns true or the connection ends. In the latter case, appends how it ended.
    std::string read(const std::function<bool(const std::string&)>& complete)
    {
        std::string bytes;
        char buffer[4096];
        try {
            while (!complete(bytes)) {
                int count = this->socket.receiveBytes(buffer, sizeof(buffer));
                if (count <= 0)
                    return bytes + "<closed>";
                bytes.append(buffer, static_cast<std::size_t>(count));
            }
        } catch (const Poco::TimeoutException&) {
            return bytes + "<timeout>";
        } catch (const Poco::Exception&) {
            return bytes + "<reset>";
        }
        return bytes;
    }

    // Reads one response with a Content-Length or chunked body.
    std::string readResponse()
    {
        return this->read([](const std::string& bytes) {
            std::size_t end = bytes.find("\r\n\r\n");
            if (end == std::string::npos)
                return false;
            std::size_t at = bytes.find("Content-Length: ");
            if (at < end)
                return bytes.size() >= end + 4 + std::stoul(bytes.substr(at + 16));
            return bytes.size() >= 5 && bytes.substr(bytes.size() - 5) == "0\r\n\r\n";
        });
    }

private:
    Poco::Net::StreamSocket socket;
};

inline bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

class GatewayFixture : public CppUnit::TestFixture {
public:
    void setUp() override
    {
        this->directory = std::make_unique<Directory>(this->clock);
        this->book = std::make_unique<ServerStatistics>(this->clock, "a");
        this->pool = std::make_unique<ConnectionPool>(this->clock, milliseconds(300));
        this->turns = std::make_unique<FakeTurns>();
        this->parts.reset(new GatewayContext { this->clock, *this->directory, *this->book, *this->pool, this->codec,
            *this->turns, *this->turns, this->permits(), GatewayCounters(this->counters) });
        this->address = testing::freeAddress();
        this->gateway = std::make_unique<Gateway>(GatewaySettings { this->address, 64 }, *this->parts);
        this->gateway->start();
        this->directory->applyConfiguration(this->configuration());
    }

    void tearDown() override
    {
        this->gateway->stop(std::chrono::seconds(5));
        this->gateway.reset();
        this->servers.clear();
        this->entries.clear();
    }

protected:
    virtual ServerPermits& permits() { return this->unlimitedServers; }

    static Route route(const std::string& prefix, RouteKind kind, std::uint32_t attempts)
    {
        Route result;
        result.name = prefix;
        result.host = "h";
        result.pathPrefix = prefix;
        result.kind = kind;
        result.services = { { "s", 1 } };
        result.timeout = milliseconds(1500);
        result.targetLatency = milliseconds(100);
        result.targetEventGap = milliseconds(100);
        result.maxAttempts = attempts;
        return result;
    }

    GatewayConfiguration configuration() const
    {
        GatewayConfiguration result;
        result.version = 1;
        result.routes = { route("/safe/", RouteKind::Safe, 2), route("/unsafe/", RouteKind::Unsafe, 2),
            route("/stream/", RouteKind::Streaming, 2), route("/turn/", RouteKind::Streaming, 2),
            route("/split/", RouteKind::Streaming, 2) };
        result.routes[2].resumable = true;
        result.routes[3].storesTurns = true;
        result.routes[4].resumable = true;
        result.routes[4].services = { { "s", 1 }, { "s2", 1 }, { "s3", 1 } };
        ServiceSpec service;
        service.name = "s";
        service.engine = EngineTraits {};
        service.engine->tokensPerEvent = 4;
        result.services["s"] = service;
        result.limits.maxHeadBytes = 2000;
        result.limits.maxBodyBytes = 100'000;
        result.limits.headTimeout = milliseconds(300);
        return result;
    }

    void addServer(Script script)
    {
        this->servers.push_back(std::make_unique<ScriptedServer>(std::move(script)));
        ServerEntry entry;
        entry.id = "server" + std::to_string(this->servers.size());
        entry.service = "s";
        entry.address = this->servers.back()->address();
        entry.dataCentre = "a";
        entry.slots = 8;
        this->entries.push_back(entry);
        this->directory->replaceServers(this->entries, this->entries.size());
    }

    // Adds `count` servers with the same script.
    void addServers(int count, const Script& script)
    {
        for (int i = 0; i < count; ++i)
            this->addServer(script);
    }

    int totalServerRequests() const
    {
        int total = 0;
        for (const auto& server : this->servers)
            total += server->requests();
        return total;
    }

    static std::string get(const std::string& path, const std::string& id, const std::string& more = {})
    {
        return "GET " + path + " HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n" + more + "\r\n";
    }
    static std::string post(
        const std::string& path, const std::string& id, const std::string& body, const std::string& more = {})
    {
        return "POST " + path + " HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n" + more
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    std::string sendRequest(const std::string& request)
    {
        CallerSocket caller(this->address);
        caller.write(request);
        return caller.readResponse();
    }

    SystemClock clock;
    Counters counters;
    std::unique_ptr<Directory> directory;
    std::unique_ptr<ServerStatistics> book;
    std::unique_ptr<ConnectionPool> pool;
    TestCodec codec;
    std::unique_ptr<FakeTurns> turns;
    UnlimitedServers unlimitedServers;
    std::unique_ptr<GatewayContext> parts;
    std::unique_ptr<Gateway> gateway;
    std::string address;
    std::vector<std::unique_ptr<ScriptedServer>> servers;
    std::vector<ServerEntry> entries;
};

} // namespace lovagecross
