// Tests of streams that leave a silent server for another one, or wait for one: versions, permits, counts, and callers
// that leave meanwhile.

#include "lovagecross/gateway/GatewayFixture.h"

#include <atomic>
#include <stdexcept>

namespace lovagecross {

// Denies permits for one server while `denies` is set; counts those that were granted.
class DenyingPermits final : public ServerPermits {
public:
    void observe(const ServerEntry&, std::optional<double>, TimePoint) override { }
    PermitOutlook outlook(const std::vector<ServerEntry>&) override { return {}; }
    Permit acquire(const ServerEntry& server, TimePoint) override
    {
        if (server.id == this->limited && this->denies)
            return { false, milliseconds(100) };
        ++this->granted;
        return {};
    }
    std::string limited;
    std::atomic<bool> denies { false };
    std::atomic<int> granted { 0 };
};

// Stores what is reserved, but loses the answers while `losesAnswers` is set.
class LossyBudgets final : public TokenBudgets {
public:
    explicit LossyBudgets(FakeTurns& stored)
        : store(stored)
    {
    }
    Grant reserve(const GrantRequest& request, TimePoint deadline) override
    {
        Grant grant = this->store.reserve(request, deadline);
        if (this->losesAnswers && request.origin.revision > 1)
            return { GrantStatus::Unavailable, 0, milliseconds(70), {} };
        if (this->throws)
            throw std::runtime_error("unexpected error of a test");
        return grant;
    }
    void settle(const GrantRequest& request, std::uint64_t used) override { this->store.settle(request, used); }
    FakeTurns& store;
    std::atomic<bool> losesAnswers { false };
    std::atomic<bool> throws { false };
};

// A listening socket that accepts no further connection once its backlog is filled.
class BusyListener {
public:
    BusyListener()
    {
        this->socket.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
        this->socket.listen(1);
        this->target = this->socket.address();
    }

    std::string address() const { return this->target.toString(); }
    Poco::Net::StreamSocket accept() { return this->socket.acceptConnection(); }

    void fill()
    {
        for (int i = 0; i < 3; ++i) {
            this->fillers.emplace_back();
            this->fillers.back().connectNB(this->target);
        }
    }

    // Reads one request with the body "x".
    static void receiveRequest(Poco::Net::StreamSocket& connection)
    {
        std::string received;
        for (char byte = 0; !contains(received, "\r\n\r\nx") && connection.receiveBytes(&byte, 1) > 0;)
            received += byte;
    }

    static std::string wholeStream(const std::string& requestId)
    {
        return firstEvent(requestId) + std::string(lastChunk);
    }

    static std::string firstEvent(const std::string& requestId)
    {
        ScriptedRequest request;
        request.head = "\r\nId: " + requestId + "\r\nServer: listener\r\n";
        return streamHead(request) + printChunk(event(1));
    }

private:
    Poco::Net::ServerSocket socket;
    Poco::Net::SocketAddress target;
    std::vector<Poco::Net::StreamSocket> fillers;
};

class SuccessorTest : public GatewayFixture {
    CPPUNIT_TEST_SUITE(SuccessorTest);
    CPPUNIT_TEST(deniedSuccessorOfAnotherVersionIsNotMixedIn);
    CPPUNIT_TEST(lostAnswerOfTheOriginDoesNotMixVersions);
    CPPUNIT_TEST(waitingStreamDoesNotFloodFullServers);
    CPPUNIT_TEST(errorWhileReservingTakesBackTheRunningCall);
    CPPUNIT_TEST(callerThatLeavesDuringTheProbeStartsNoSecondRun);
    CPPUNIT_TEST(onlyServerThatAcceptsLateIsWaitedFor);
    CPPUNIT_TEST(callerThatLeavesDuringALongUploadIsNoticed);
    CPPUNIT_TEST(serverWithoutAPermitIsNoSuccessor);
    CPPUNIT_TEST(callLeavesAnUnreachableServerBeforeItsFirstEvent);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->denying.denies = false;
        this->denying.granted = 0;
        GatewayFixture::setUp();
        this->budgets = std::make_unique<LossyBudgets>(*this->turns);
        this->gateway->stop(std::chrono::seconds(5));
        this->gateway.reset();
        this->parts.reset(new GatewayContext { this->clock, *this->directory, *this->book, *this->pool, this->codec,
            *this->turns, *this->budgets, this->permits(), GatewayCounters(this->counters) });
        this->gateway = std::make_unique<Gateway>(GatewaySettings { this->address, 64 }, *this->parts);
        this->gateway->start();
        GatewayConfiguration patient = this->configuration();
        patient.version = 2;
        for (Route& each : patient.routes)
            each.timeout = milliseconds(4000);
        patient.routes[2].maxAttempts = 3;
        this->directory->applyConfiguration(std::move(patient));
    }

protected:
    ServerPermits& permits() override { return this->denying; }

private:
    void addVersion(const std::string& version, const std::string& dataCentre, Script script)
    {
        this->addServer(std::move(script));
        this->entries.back().softwareVersion = version;
        this->entries.back().dataCentre = dataCentre;
        this->directory->replaceServers(this->entries, 100 + this->entries.size());
    }

    // A server that the test answers for itself.
    void addEntry(const std::string& id, const std::string& address)
    {
        ServerEntry entry;
        entry.id = id;
        entry.service = "s";
        entry.address = address;
        entry.dataCentre = "a"; // preferred
        this->entries.push_back(entry);
        this->directory->replaceServers(this->entries, 100 + this->entries.size());
    }

    static Script goesOnAs(const std::string& version, int last = 4)
    {
        return [version, last](const ScriptedRequest& request, ScriptedConnection& connection) {
            std::string after = request.header("Last-Event-Id");
            connection.write(streamHead(request));
            for (int id = after.empty() ? 1 : std::stoi(after) + 1; id <= last; ++id)
                connection.write(printChunk("id: " + std::to_string(id) + "\ndata: " + version + "\n\n"));
            return connection.write(std::string(lastChunk));
        };
    }

    // Silent, then two events, then the connection ends.
    static Script silentThenBreaks(const std::string& version, Duration silence)
    {
        return [version, silence](const ScriptedRequest& request, ScriptedConnection& connection) {
            std::this_thread::sleep_for(silence);
            connection.write(streamHead(request) + printChunk("id: 1\ndata: " + version + "\n\n")
                + printChunk("id: 2\ndata: " + version + "\n\n"));
            std::this_thread::sleep_for(milliseconds(50));
            connection.reset();
            return false;
        };
    }

    // Guards against a stream whose events come from two versions.
    void deniedSuccessorOfAnotherVersionIsNotMixedIn()
    {
        this->denying.limited = "server2";
        this->denying.denies = true;
        this->addVersion("v1", "a", silentThenBreaks("one", milliseconds(1550)));
        this->addVersion("v2", "b", goesOnAs("two"));
        CallerSocket caller(this->address);
        caller.write(post("/stream/", "r", "x"));
        std::string response = caller.read([](const std::string& bytes) { return contains(bytes, "id: 1"); });
        this->denying.denies = false;
        response += caller.read([](const std::string& bytes) { return contains(bytes, "0\r\n\r\n"); });
        CPPUNIT_ASSERT_MESSAGE(response, !(contains(response, "one") && contains(response, "two")));
    }

    // Guards against a record that names another version than that of the events.
    void lostAnswerOfTheOriginDoesNotMixVersions()
    {
        this->budgets->losesAnswers = true;
        this->addVersion("v1", "a", silentThenBreaks("one", milliseconds(1550)));
        this->addVersion("v2", "b", goesOnAs("two"));
        std::string response = this->sendRequest(post("/stream/", "r", "x"));
        this->budgets->losesAnswers = false;
        response += this->sendRequest(post("/stream/", "r2", "x", "Resumes: r\r\nLast-Event-Id: 2\r\n"));
        CPPUNIT_ASSERT_MESSAGE(response, !(contains(response, "one") && contains(response, "two")));
    }

    // Guards against a stream that sends its request to full servers again and again.
    void waitingStreamDoesNotFloodFullServers()
    {
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            connection.write(streamHead(request) + printChunk(event(1)));
            std::this_thread::sleep_for(milliseconds(20));
            connection.reset();
            return false;
        });
        for (int i = 0; i < 4; ++i)
            this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
                return connection.write("HTTP/1.1 503 Full\r\nId: " + request.header("Id")
                    + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            });
        for (std::size_t i = 1; i < this->entries.size(); ++i)
            this->entries[i].dataCentre = "b";
        this->directory->replaceServers(this->entries, 100);
        this->sendRequest(post("/stream/", "r", "x", "Time: 3000\r\n"));
        CPPUNIT_ASSERT(this->totalServerRequests() <= 30);
    }

    // Guards against a server that counts as loaded for ever after an error.
    void errorWhileReservingTakesBackTheRunningCall()
    {
        this->addVersion("v1", "a", goesOnAs("one"));
        this->budgets->throws = true;
        for (int i = 0; i < 40; ++i)
            this->sendRequest(post("/stream/", "t" + std::to_string(i), "x"));
        this->budgets->throws = false;
        this->addVersion("v1", "a", goesOnAs("one"));
        for (int i = 0; i < 40; ++i)
            this->sendRequest(post("/stream/", "u" + std::to_string(i), "x"));
        CPPUNIT_ASSERT(this->servers[0]->requests() >= 5);
    }

    // Guards against a second run for a caller that left while this node tried to reach the first server.
    void callerThatLeavesDuringTheProbeStartsNoSecondRun()
    {
        BusyListener listener;
        std::atomic<bool> end { false };
        std::thread frozen([&] {
            Poco::Net::StreamSocket socket = listener.accept();
            listener.fill();
            BusyListener::receiveRequest(socket);
            ScriptedConnection connection(socket);
            connection.write(BusyListener::firstEvent("r"));
            while (!end)
                std::this_thread::sleep_for(milliseconds(20));
        });
        this->addEntry("frozen", listener.address());
        this->addVersion("", "b", goesOnAs("two"));
        {
            CallerSocket caller(this->address);
            caller.write(post("/stream/", "r", "x"));
            caller.read([](const std::string& bytes) { return contains(bytes, event(1)); });
            std::this_thread::sleep_for(milliseconds(640)); // the connection attempt has begun
            caller.close();
        }
        std::this_thread::sleep_for(milliseconds(1500));
        end = true;
        frozen.join();
        CPPUNIT_ASSERT_EQUAL(0, this->totalServerRequests());
    }

    // Guards against a 502 after a second for a call whose only server pauses and accepts no connection meanwhile.
    void onlyServerThatAcceptsLateIsWaitedFor()
    {
        BusyListener listener;
        std::thread pausing([&] {
            Poco::Net::StreamSocket socket = listener.accept();
            ScriptedConnection connection(socket);
            BusyListener::receiveRequest(socket);
            connection.write(BusyListener::wholeStream("r0"));
            BusyListener::receiveRequest(socket); // on the same connection
            listener.fill();
            std::this_thread::sleep_for(milliseconds(1300));
            connection.write(BusyListener::wholeStream("r"));
            std::this_thread::sleep_for(milliseconds(300));
        });
        this->addEntry("pausing", listener.address());
        this->sendRequest(post("/stream/", "r0", "x"));
        std::string response = this->sendRequest(post("/stream/", "r", "x"));
        pausing.join();
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, event(1)));
    }

    // Guards against a connection that stays open after the caller left, while a long body is sent to a silent server.
    void callerThatLeavesDuringALongUploadIsNoticed()
    {
        GatewayConfiguration large = this->configuration();
        large.version = 3;
        for (Route& each : large.routes)
            each.timeout = milliseconds(4000);
        large.limits.maxBodyBytes = 22 * 1024 * 1024;
        this->directory->applyConfiguration(std::move(large));
        Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
        ServerEntry entry;
        entry.id = "silent";
        entry.service = "s";
        entry.address = listener.address().toString();
        entry.dataCentre = "a";
        this->directory->replaceServers({ entry }, 100);
        {
            CallerSocket caller(this->address);
            caller.write(post("/stream/", "r", std::string(20 * 1024 * 1024, 'x')));
            std::this_thread::sleep_for(milliseconds(300));
            caller.close();
        }
        TimePoint start = this->clock.now();
        while (this->parts->running.load() > 0)
            std::this_thread::sleep_for(milliseconds(10));
        CPPUNIT_ASSERT(this->clock.now() - start < milliseconds(500));
    }

    // Guards against a stream that leaves its server for one whose rate limit is reached.
    void serverWithoutAPermitIsNoSuccessor()
    {
        this->denying.limited = "server2";
        this->denying.denies = true;
        this->addVersion("v1", "a", [](const ScriptedRequest& request, ScriptedConnection& connection) {
            connection.write(streamHead(request) + printChunk(event(1)));
            std::this_thread::sleep_for(milliseconds(1700));
            return connection.write(printChunk(event(2)) + std::string(lastChunk));
        });
        this->addVersion("v1", "b", goesOnAs("one"));
        std::string response = this->sendRequest(post("/stream/", "r", "x"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, event(2)) && contains(response, lastChunk.data()));
        CPPUNIT_ASSERT_EQUAL(1, this->servers[0]->requests());
        CPPUNIT_ASSERT_EQUAL(0, this->servers[1]->requests());
    }

    // Guards against a call that waits until its deadline at a server that is gone, because only servers of another
    // version are left.
    void callLeavesAnUnreachableServerBeforeItsFirstEvent()
    {
        BusyListener listener;
        std::atomic<bool> end { false };
        std::thread frozen([&] {
            Poco::Net::StreamSocket socket = listener.accept();
            BusyListener::receiveRequest(socket);
            ScriptedConnection connection(socket);
            connection.write(BusyListener::wholeStream("r0"));
            BusyListener::receiveRequest(socket); // on the same connection
            listener.fill();
            while (!end)
                std::this_thread::sleep_for(milliseconds(20));
        });
        this->addEntry("frozen", listener.address());
        this->sendRequest(post("/stream/", "r0", "x"));
        this->addVersion("v2", "b", goesOnAs("two"));
        TimePoint start = this->clock.now();
        std::string response = this->sendRequest(post("/stream/", "r", "x"));
        Duration taken = this->clock.now() - start;
        end = true;
        frozen.join();
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "data: two") && contains(response, lastChunk.data()));
        CPPUNIT_ASSERT(taken < milliseconds(2000));
    }

    DenyingPermits denying;
    std::unique_ptr<LossyBudgets> budgets;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SuccessorTest);

} // namespace lovagecross
