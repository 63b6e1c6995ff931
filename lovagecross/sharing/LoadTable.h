#pragma once

// Calls that run at each backend server, summed over the nodes that tell theirs. Kept by the node that the entry nodes
// of a data centre ask for the registry; such nodes tell each other the sums of their data centres.
//
//     answerLoads(table, fetch, update, now);   // notes what the asking node tells, and answers with the sums
//
// Load pattern it answers: many entry nodes, each with few of the calls. From its own calls alone a node takes every
// server for idle, while some have a queue and others are free.
//
// What a node told is forgotten after `memory`, so a node that is gone or cut off leaves no calls behind.
//
// Thread safety: every member may be called from any thread.

#include "lovagecross/base/Clock.h"
#include "lovagecross/ports/Peer.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace lovagecross {

class LoadTable {
public:
    static constexpr Duration memory = std::chrono::milliseconds(1500);

    void note(const std::string& node, bool forDataCentre, std::vector<ServerRunning> running, TimePoint now);

    // Of all nodes, in the order of server ids.
    std::vector<ServerRunning> total(TimePoint now) const;

    // Of the nodes that told theirs here.
    std::vector<ServerRunning> ofDataCentre(TimePoint now) const;

private:
    struct Told {
        bool forDataCentre = false;
        std::vector<ServerRunning> running;
        TimePoint at;
    };

    std::vector<ServerRunning> sum(bool withOtherDataCentres, TimePoint now) const;

    mutable std::mutex mutex;
    std::map<std::string, Told> byNode;
};

void answerLoads(LoadTable& table, const DirectoryFetch& fetch, DirectoryUpdate& update, TimePoint now);

} // namespace lovagecross
