#pragma once

// A model engine as a cost model: continuous batching over a fixed number of slots, chunked prefill, a limited prefix
// cache, priorities, sessions and epochs. It computes when each token is ready; the server sends them.
//
//     EngineModel engine({}, clock.now());
//     engine.submit(request, clock.now());
//     clock.advance(...);
//     engine.advance(clock.now());
//     engine.progress("stream-1")->readyTokens;
//
// Time passes in steps. A step prefills a chunk of the running prompts, in order of priority, and decodes one token of
// each stream whose prompt is prefilled; it takes the chunk's tokens / prefill rate, plus 1 / decode rate when it
// decodes. Requests that arrive during a step join at the next one.
//
// Thread safety: none; the owner locks.

#include "lovagecross/base/Clock.h"
#include "lovagecross/ports/Backend.h"
#include "lovagecross/standins/PrefixCache.h"
#include "lovagecross/standins/Prompt.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lovagecross::standins {

struct EngineOptions {
    std::vector<std::string> models { "model" };
    std::uint32_t slots = 8;
    std::uint32_t kvTokens = 200000;
    double prefillTokensPerSecond = 8000;
    double decodeTokensPerSecond = 60; // of one stream
    bool checkEpoch = false;
    std::uint32_t maxQueue = 256; // requests that wait for a slot
    std::int64_t modelLoadMs = 0; // from an order to load until the model answers
};

struct EngineRequest {
    std::string streamId;
    std::string session;
    std::string model;
    std::vector<PromptMessage> messages; // at least one
    std::uint32_t maxTokens = 0;
    std::uint32_t priority = 0; // higher runs first
    std::uint64_t epoch = 0;
};

enum class SubmitStatus {
    Accepted,
    UnknownModel,
    OldEpoch,
    QueueFull,
    DuplicateStream,
    TooLarge, // prompt and answer exceed the KV memory
};

struct StreamProgress {
    PlannedAnswer answer;
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0;
    std::uint32_t readyTokens = 0;
    bool finished = false;
};

// What the engine has done since it started, for checks of budgets and of wasted cache.
struct EngineTotals {
    std::uint64_t requests = 0; // accepted
    std::uint64_t promptTokens = 0; // of streams that started, cached ones included
    std::uint64_t cachedTokens = 0;
    std::uint64_t generatedTokens = 0;
};

enum class OrderKind {
    Load,
    Unload,
    Role,
};

inline constexpr NameTable<OrderKind, 3> orderKindNames { { {
    { OrderKind::Load, "load" },
    { OrderKind::Unload, "unload" },
    { OrderKind::Role, "role" },
} } };

struct EngineOrder {
    OrderKind kind = OrderKind::Load;
    std::string model;
    std::string adapter; // served as `model:adapter`
    std::string role;
    std::uint64_t epoch = 0;
};

class EngineModel {
public:
    EngineModel(EngineOptions options, TimePoint now);

    // Runs every step that ends by `now`. Returns the streams that have new tokens or have ended. Every other member
    // that takes a time advances to it first; its streams come with the next call.
    std::vector<std::string> advance(TimePoint now);

    // End of the running step; nullopt when nothing runs.
    std::optional<TimePoint> nextStepEnd() const;

    SubmitStatus submit(const EngineRequest& request, TimePoint now);

    // nullopt for a stream that is unknown, cancelled, or ended more than `keepEndedStreams` ago.
    std::optional<StreamProgress> progress(const std::string& streamId) const;
    void cancel(const std::string& streamId, TimePoint now);

    // Cancels the session's streams and frees its memory. False for an old epoch.
    bool releaseSession(const std::string& session, std::uint64_t epoch, TimePoint now);

    // Sessions that hold memory or have streams under way.
    std::vector<SessionTokens> sessions() const;

    bool order(const EngineOrder& order, TimePoint now); // false for an old epoch
    bool serves(const std::string& model) const;
    const std::string& role() const { return this->currentRole; }

    std::vector<std::vector<PrefixBlock>> exportSession(const std::string& session) const;
    bool importSession(const std::string& session, const std::vector<PrefixBlock>& prefix, TimePoint now);

    EngineLoad load() const; // the present load, without a lag
    const EngineTotals& totals() const { return this->work; }
    std::vector<CacheChange> takeCacheChanges() { return this->cache.takeChanges(); }

    static constexpr Duration keepEndedStreams = std::chrono::seconds(60);

private:
    enum class StreamState {
        Queued,
        Prefill,
        Decode,
        Ended,
    };

    struct Stream {
        EngineRequest request;
        std::uint64_t arrival = 0;
        StreamState state = StreamState::Queued;
        std::vector<PrefixBlock> blocks;
        PlannedAnswer answer;
        std::uint32_t promptTokens = 0;
        std::uint32_t cachedTokens = 0;
        std::uint32_t prefillLeft = 0; // estimated at arrival, exact from the start on
        std::uint32_t prefillInStep = 0;
        std::uint32_t ready = 0;
        std::uint32_t reservedTokens = 0; // KV memory outside the cache
        std::size_t pinnedBlocks = 0;
        TimePoint endedAt;
    };
    using Streams = std::map<std::string, Stream>;

    // Highest priority first, then in order of arrival.
    struct QueueOrder {
        bool operator()(const Stream* left, const Stream* right) const;
    };
    using StreamSet = std::set<Stream*, QueueOrder>;

    void runUntil(TimePoint now);
    bool acceptEpoch(std::map<std::string, std::uint64_t>& epochs, const std::string& key, std::uint64_t epoch) const;
    void startQueued();
    bool startStream(Stream& stream);
    void beginStep();
    void finishStep();
    void finishPrefill(Stream& stream);
    void addToken(Stream& stream);
    void endStream(Stream& stream);
    void releaseMemory(Stream& stream);
    void dropEndedStreams();
    void applyLoadedModels();

    const EngineOptions options;
    PrefixCache cache;
    TimePoint time; // reached by the simulation
    std::optional<TimePoint> stepEnd;
    Streams streams;
    StreamSet queued;
    StreamSet running;
    std::vector<std::string> progressed;
    std::vector<std::string> endedStreams; // in order of their end
    std::uint32_t reserved = 0;
    std::uint64_t arrivals = 0;
    EngineTotals work;
    std::set<std::string> models;
    std::map<std::string, TimePoint> loadingModels; // model, time when it is loaded
    std::string currentRole = "mixed";
    std::map<std::string, std::uint64_t> sessionEpochs;
    std::map<std::string, std::uint64_t> orderEpochs;
};

} // namespace lovagecross::standins
