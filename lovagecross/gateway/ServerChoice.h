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
//  - several data centres: the own one wins unless its servers are worse by more than the distance.
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
    double loadMillisPerCall = 1; // each running call slows the others of a batch
    double coldMillis = 50; // of a server that has just started
    double stickyGainMillis = 10; // of a server that has handled the object lately
    double tieMillis = 1; // estimates are not better than this
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
    std::uint32_t running = 0; // calls of this node that run there
    bool usable = true; // neither leaving, suspended nor tried before for this call
    bool cold = false;
    double slowness = 1; // measured times over those of the service
    double meanCallMillis = 0; // 0: not measured
    std::uint64_t cachedTokens = 0; // of the prompt, known to be in its memory
};

struct ServerChoice {
    std::optional<std::size_t> chosen;
    std::size_t usable = 0; // servers that could be chosen
};

// `tieBreak` is any random number; it spreads equal costs.
ServerChoice chooseServer(const ChoiceRequest& request, const std::vector<ServerLoad>& servers,
    const ChoiceSettings& settings, std::uint64_t tieBreak);

} // namespace lovagecross
