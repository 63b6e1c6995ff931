#pragma once

// Connects SpillControl, which decides when calls of an entry node leave its data centre, with the node's directory and
// statistics; on record nodes, adds the loads of the data centres to the answers for entry nodes.
//
// Thread safety: every member may be called from any thread.

#include "lovagecross/gateway/Directory.h"
#include "lovagecross/gateway/ServerStatistics.h"
#include "lovagecross/sharing/DirectoryFollower.h"
#include "lovagecross/spill/LoadTable.h"
#include "lovagecross/spill/SpillControl.h"

namespace lovagecross {

// Returns the slots of the ready servers, by service and data centre.
SlotTable readySlotsOf(const DirectoryView& view);

// Records the load of the requesting node, and adds the loads of the data centres and the requester's rank to the
// answer. Does nothing for a node that doesn't report its load.
void addLoads(LoadTable& loads, const NodeLoad& load, DirectoryUpdate& update);

class Spill {
public:
    Spill(SpillNode node, const Clock& clock, Counters& counters, const Directory& ownDirectory,
        ServerStatistics& ownStatistics);

    // Makes the follower send the node's load with each fetch of the directory, and pass on the loads in the answer.
    void addTo(DirectoryFollowerSettings& settings);

    // Returns the delay until the next step.
    Duration step();

    SpillControl& control() { return this->decisions; }

    static constexpr Duration stepInterval = std::chrono::milliseconds(100);

private:
    const Directory& directory;
    ServerStatistics& statistics;
    SpillControl decisions;
};

} // namespace lovagecross
