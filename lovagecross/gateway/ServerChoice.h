#pragma once

// Chooses the backend server for one attempt of a call that passes through. Pure: the caller passes what is known of
// each server.
//
// Load patterns it answers:
//  - steady load: turns of a conversation go to the server that has read the conversation, from whichever entry node
//    they come, since the order of servers for a conversation is a hash that all nodes share;
//  - a burst: a full or busy server loses to another one when waiting costs more than reading the prompt again;
//  - slow or failing servers: times are scaled by the server's measured slowness, and suspended servers get one trial
//    call at a time;
//  - several data centres: the own one wins unless its servers are worse by more than the distance;
//  - many nodes that know the same, somewhat old loads: each call compares a few servers, others for each conversation,
//    so that the nodes don't all send to the one that was free; it looks at more only while these are slow or far
//    behind.
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
    double prefillTokensPerMilli = 80; // of an engine; below the slowest known engines, so that reuse is preferred
    double callMillis = 150; // of a slot, for a service without measured calls
    double otherDataCentreMillis = 4; // two crossings of a link and the price of bytes between data centres
    double fullBatchMillis = 24; // of an engine whose slots are all taken, against an idle one
    double coldMillis = 50; // of a server that has just started
    double stickyGainMillis = 10; // of a server that has handled the object lately
    double tieMillis = 1; // estimates are not better than this
    double farMillis = 8; // what a server of another data centre must be better by, beside the distance
    std::size_t nearCandidates = 2; // servers of the own data centre that are compared first
    std::size_t farCandidates = 1; // of other data centres
    double wideningSlowness = 1.5; // more servers are compared while the best one is slower than this,
    double wideningLoad = 2; // or has so many times as many calls as slots
};

struct ChoiceRequest {
    std::string_view dataCentre; // of this node
    bool engine = false;
    std::uint64_t promptTokens = 0;
    std::uint64_t affinityHash = 0; // of the conversation or object; 0: none
};

// What a node knows about one server.
struct ServerLoad {
    std::string_view id;
    std::string_view dataCentre;
    std::uint32_t slots = 1;
    std::uint32_t running = 0; // calls that run or wait there
    bool usable = true; // neither leaving, suspended nor tried before for this call
    bool cold = false;
    double slowness = 1; // measured times over those of the service
    double meanCallMillis = 0; // to the first byte; 0: not measured
    double meanHeldMillis = 0; // to the last byte, while a slot is taken; 0: not measured
    std::uint64_t cachedTokens = 0; // of the prompt, known to be in its memory
};

struct ServerChoice {
    std::optional<std::size_t> chosen;
    double costMillis = 0; // of the chosen one
    std::size_t usable = 0; // servers that could be chosen
};

// `tieBreak` is any random number; it spreads equal costs.
ServerChoice chooseServer(const ChoiceRequest& request, const std::vector<ServerLoad>& servers,
    const ChoiceSettings& settings, std::uint64_t tieBreak);

} // namespace lovagecross
