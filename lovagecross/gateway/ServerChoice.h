#pragma once

// Chooses the backend server for one attempt of a proxied call, as a pure function of the state of each server.
//
// Behaviour by load pattern:
//  - steady load: all turns of a program, and of its sub-agents, go to the engine that has its prompt cached, whichever
//    entry node receives them, because all nodes rank the engines of a program by the same hash. The highest ranks
//    belong to a few engines that the prompt's first part determines, so that each shared part is read by few of them;
//  - bursts: another server is chosen once waiting for a full or busy one costs more than processing the prompt again.
//    All nodes then choose the next one in rank;
//  - slow or failing servers: estimates are scaled by the server's measured slowness, and suspended servers receive one
//    trial call at a time;
//  - several data centres: a call goes to the wanted data centre, and to the own one if that has no usable server. With
//    none wanted, servers of the own data centre are preferred unless their estimates are worse by more than the cost
//    of crossing data centres.
//
// Thread safety: free functions over plain structs.

#include "lovagecross/base/Clock.h"
#include "lovagecross/base/NameTable.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagecross {

struct ChoiceSettings {
    double prefillTokensPerMilli = 80;
    double prefillWeight = 3; // the prefill of one call also delays the streams that run on the engine
    double defaultCallMillis = 150; // time of a call in one slot, for a service without measured calls
    double otherDataCentreMillis = 4; // round trip on the link, and the cost of transferring bytes between data centres
    double engineOtherDataCentreMillis = 200; // the same for an engine, where the next turns have to follow
    double loadMillisPerCall = 20; // each running call delays the steps of an engine, and its prefill all the others
    double rankToleranceMillis = 20; // an engine of higher rank is left only for one that is better by more than this
    // Of the engines of a data centre, those that prompts with the same first part are sent to. Fewer read a first part
    // less often, more share its load evenly.
    double prefixEngineShare = 0.3;
    std::size_t minPrefixEngines = 3;
    double coldPenaltyMillis = 50; // added for a server that has just started
    double stickyBonusMillis = 10; // subtracted for the server that recently handled the same object
    double connectedBonusMillis = 5; // subtracted for a plain server that probably has a usable connection
    double tieMillis = 1; // precision of the estimates: smaller differences count as equal
};

// Why a server was chosen.
enum class ChoiceReason {
    Preferred, // it has the program's prompt, or the first rank for it
    NextInRank, // waiting at the engines before it costs more
    Cheapest, // the call has no preferred server, or that one costs more
    OnlyUsable,
};

inline constexpr NameTable<ChoiceReason, 4> choiceReasonNames { { {
    { ChoiceReason::Preferred, "preferred" },
    { ChoiceReason::NextInRank, "next_in_rank" },
    { ChoiceReason::Cheapest, "cheapest" },
    { ChoiceReason::OnlyUsable, "only_usable" },
} } };

struct ChoiceRequest {
    std::string_view dataCentre; // of this node
    bool engine = false;
    std::uint64_t promptTokens = 0;
    std::uint64_t affinityHash = 0; // of the program or object; 0 if the call has none
    std::uint64_t prefixHash = 0; // of the prompt's first part, which other programs share; 0 if the call has none
    std::uint64_t prefixTokens = 0; // of that part
    std::uint64_t historyTokens = 0; // of all parts but the last, which is new
    bool usableOnly = false; // choose none rather than a full or suspended server
    // Data centre in which the call is to run. Servers of others are used only if it has none; empty: any by cost.
    std::string_view wantedDataCentre;
};

// State of one server as this node knows it.
struct ServerLoad {
    std::string_view id;
    std::string_view dataCentre;
    std::uint32_t slots = 1;
    std::uint32_t running = 0; // running calls from this node
    bool usable = true; // false while the server is full or its circuit breaker is open
    bool suspended = false; // its circuit breaker is open
    bool cold = false;
    bool connected = false; // a call of this node ended there a moment ago, so that an idle connection is usable
    double slowness = 1; // measured response time relative to the service's mean
    double meanCallMillis = 0; // mean of the service; 0 if not measured
    std::uint64_t cachedTokens = 0; // prompt tokens that the server has cached
};

struct ServerChoice {
    std::optional<std::size_t> chosen;
    std::size_t usable = 0; // number of usable servers that were considered
    ChoiceReason reason = ChoiceReason::Cheapest;
};

// `tieBreak` is a random number that selects among servers of equal cost.
ServerChoice chooseServer(const ChoiceRequest& request, const std::vector<ServerLoad>& servers,
    const ChoiceSettings& settings, std::uint64_t tieBreak);

} // namespace lovagecross
