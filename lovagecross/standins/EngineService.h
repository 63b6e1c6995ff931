#pragma once

// A model engine over HTTP (docs/backend-protocols.md), with faults. `EngineModel` decides when each token is ready.
//
// Thread safety: requests are served on many threads; the model is behind one lock. One thread of the service advances
// the model step by step and wakes the streams that have new tokens.

#include "lovagecross/base/Clock.h"
#include "lovagecross/standins/EngineModel.h"
#include "lovagecross/standins/EngineReports.h"
#include "lovagecross/standins/FaultTable.h"
#include "lovagecross/standins/HttpService.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace lovagecross::standins {

struct EngineFaults {
    bool refuse = false; // 503
    std::string crashOnText; // the process exits when a prompt contains it; empty: off
    std::int64_t silentAfterTokens = 0; // stops sending after so many tokens, keeps the connection; 0: off
    std::int64_t dropAfterTokens = 0; // closes the connection after so many tokens; 0: off
    std::int64_t loadLagMs = 200;
    std::int64_t eventLagMs = 200;
    std::int64_t eventLossPercent = 0;
    std::int64_t delayMs = 0;
};

struct EngineServiceOptions {
    EngineOptions engine;
    EngineFaults faults; // in force at the start and after a reset
    double kvTransferTokensPerSecond = 60000; // for export and import of KV caches
    std::function<void()> crash; // called for crashOnText; the default ends the process
};

class EngineService final : public HttpService {
public:
    explicit EngineService(EngineServiceOptions options);
    ~EngineService() override;

    EngineService(const EngineService&) = delete;
    EngineService& operator=(const EngineService&) = delete;

protected:
    void serve(Exchange& exchange) override;
    std::string applyFaults(const std::string& json) override;
    void resetState() override;
    void addStats(Poco::JSON::Object& stats) override;

private:
    struct StreamWaiters {
        std::condition_variable changed;
        std::size_t count = 0;
    };

    // How one connection sends a stream.
    struct SendPlan {
        std::string streamId;
        std::uint32_t offset = 0;
        bool asEvents = true;
        bool withFaults = true; // silentAfterTokens and dropAfterTokens apply
    };

    bool passesFaults(Exchange& exchange);
    void serveCompletion(Exchange& exchange);
    void serveStream(Exchange& exchange, const std::string& streamId);
    void serveSession(Exchange& exchange, const std::string& session);
    void serveSessions(Exchange& exchange);
    void serveLoad(Exchange& exchange);
    void serveCacheEvents(Exchange& exchange);
    void serveOrder(Exchange& exchange);
    void serveKv(Exchange& exchange, const std::string& session);
    void exportKv(Exchange& exchange, const std::string& session);
    void importKv(Exchange& exchange, const std::string& session);
    void transferKv(Exchange& exchange, std::uint32_t tokens) const;

    void crashIfAsked(const EngineRequest& request);
    SubmitStatus submit(const EngineRequest& request);
    void cancel(const std::string& streamId);
    void sendStream(Exchange& exchange, const SendPlan& plan);
    void sendEvents(Exchange& exchange, const SendPlan& plan);
    void sendWhole(Exchange& exchange, const SendPlan& plan);

    // Waits until the stream has more than `tokens` tokens or has ended; nullopt when it is cancelled, the client is
    // gone or the service stops.
    std::optional<StreamProgress> waitForTokens(Exchange& exchange, const std::string& streamId, std::uint32_t tokens);

    // True when a fault has ended the connection.
    bool endsByFault(Exchange& exchange, const SendPlan& plan, std::uint32_t sent);

    void runModel();
    void advanceLocked();

    const SystemClock clock;
    const EngineServiceOptions options;
    FaultTable<EngineFaults> faults;
    std::mutex mutex; // guards everything below
    std::unique_ptr<EngineModel> model;
    LaggingLoad loads;
    CacheEventLog events;
    std::map<std::string, StreamWaiters> waiters;
    std::condition_variable modelChanged;
    std::uint64_t unnamedStreams = 0;
    bool stopping = false;
    std::thread modelThread;
};

} // namespace lovagecross::standins
