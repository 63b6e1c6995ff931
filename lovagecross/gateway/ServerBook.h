#pragma once

// What this node has learned about each backend server from its own calls: how many run there, how fast it answers,
// and whether it fails. Gives the inputs of `chooseServer`.
//
//     auto server = book.choose(view.serversOf(service), request, prompt, tried);
//     ... send the call ...
//     book.finished(*server, CallEnd::Answered, taken, prompt);
//
// What is learned is bounded and forgotten: slowness decays towards 1 within seconds without samples, suspensions end
// by themselves, and a server that starts again begins without a past.
//
// Thread safety: every member may be called from any thread.

#include "lovagecross/base/Clock.h"
#include "lovagecross/gateway/Call.h"
#include "lovagecross/gateway/ServerChoice.h"
#include "lovagecross/gateway/ServerEntry.h"
#include "lovagecross/retry/RetryPolicy.h"

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lovagecross {

enum class CallEnd {
    Answered,
    Refused, // the server was full or leaving and did not run the call
    Failed, // no connection, silence, a cut or garbled answer
    Abandoned, // the caller left; says nothing about the server
};

inline constexpr NameTable<CallEnd, 4> callEndNames { { {
    { CallEnd::Answered, "answered" },
    { CallEnd::Refused, "refused" },
    { CallEnd::Failed, "failed" },
    { CallEnd::Abandoned, "abandoned" },
} } };

class ServerBook {
public:
    ServerBook(const Clock& clock, std::string ownDataCentre, ChoiceSettings choiceSettings = {});

    // Chooses among the ready servers that were not tried yet and counts a running call there; nullopt when there is
    // none. `prompt` is what the call would have cached.
    std::optional<ServerEntry> choose(const std::vector<ServerEntry>& servers, const ChoiceRequest& request,
        const std::vector<PromptPart>& prompt, const std::set<std::string>& tried);

    // Ends a running call. `taken` is the time to the first byte of content, for Answered.
    void finished(const ServerEntry& server, CallEnd end, Duration taken, const std::vector<PromptPart>& prompt);

    // Forgets servers that are not listed any more.
    void retain(const std::set<std::string>& serverIds);

    // Single lost answers don't open it; a server that is down is found with two calls and tried again soon.
    static constexpr BreakerSettings serverBreaker { 2, std::chrono::milliseconds(300), std::chrono::seconds(2),
        std::chrono::seconds(1) };

private:
    struct Record {
        std::int64_t startedUnixMillis = 0;
        std::uint32_t running = 0;
        CircuitBreaker breaker { serverBreaker };
        TimePoint fullUntil;
        double meanMillis = 0;
        TimePoint sampledAt;
        std::map<std::string, TimePoint> cachedParts; // when each was sent last
    };

    // Of all servers of a service.
    struct ServiceRecord {
        double meanMillis = 0;
    };

    Record& recordOf(const ServerEntry& server);
    ServerLoad loadOf(const ServerEntry& server, Record& record, const ServiceRecord& service,
        const std::vector<PromptPart>& prompt, TimePoint now) const;
    void addSample(Record& record, ServiceRecord& service, Duration taken, TimePoint now) const;
    void rememberPrompt(Record& record, const std::vector<PromptPart>& prompt, TimePoint now) const;

    const Clock& clock;
    const std::string dataCentre;
    const ChoiceSettings settings;
    mutable std::mutex mutex;
    std::map<std::string, Record> records; // by server id
    std::map<std::string, ServiceRecord> services;
    std::uint64_t random = 0x9e3779b97f4a7c15ULL;
};

} // namespace lovagecross
