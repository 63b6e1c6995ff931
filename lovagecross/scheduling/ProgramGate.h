#pragma once

// Decides at an entry node whether a new program may begin, from the load of all engines together. Calls of programs
// that have begun are never held back: a program counts only as a whole, so the work of its earlier calls would be
// lost.
//
//     learnLoad(gate, load, now);                             // shared by all entry nodes, again and again
//     GateDecision decision = askToBegin(gate, program, now); // asked again after `askAgainIn` if it is to wait
//     stopWaiting(gate, program.id);                          // its caller has left
//
// Each class of programs may begin while the engines run fewer calls than its limit, a share of their slots. Engines
// slow down long before their slots are full, since reading one prompt delays all running calls. The number of calls
// that are missing to the limit is the room, which is divided equally between the entry nodes. So a node may hold back
// a program while another has room, but not beyond the next two loads that it learns.
//
// Load patterns:
//  - load below the limits: every program begins at once, also without any load known;
//  - a burst: less urgent programs wait, for a part of their time, and are then refused;
//  - a flood of one tenant: its programs beyond its share wait for those of all others.
// Among the programs that wait at a node, the class goes first, then the tenant with the least use for its weight, then
// the order of arrival.
//
// Thread safety: free functions over a plain struct.

#include "lovagecross/base/Clock.h"
#include "lovagecross/base/NameTable.h"
#include "lovagecross/scheduling/TenantUsage.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace lovagecross {

enum class ProgramClass {
    Urgent, // priority 0
    Other,
    Excess, // of a tenant that has begun more than its share, whatever the priority
};

inline constexpr std::size_t programClasses = 3;

inline constexpr NameTable<ProgramClass, programClasses> programClassNames { { {
    { ProgramClass::Urgent, "urgent" },
    { ProgramClass::Other, "other" },
    { ProgramClass::Excess, "excess" },
} } };

struct GateSettings {
    std::array<double, programClasses> limits { 0.45, 0.35, 0.25 }; // part of the slots, by class
    double waitShare = 0.12; // part of the program's time for which it may wait
    Duration loadInterval = std::chrono::milliseconds(250); // between two loads, for which the room of one is given
};

// Of the engines that this node's calls go to.
struct FleetLoad {
    double calls = 0; // running, of all entry nodes
    double slots = 0;
    std::size_t nodes = 1; // entry nodes among which the room is divided
    std::set<std::string> excessTenants; // that have begun more than their share at all entry nodes together
};

struct NewProgram {
    std::string id; // of its first call
    std::string tenant; // empty for a caller without one
    double weight = 1; // of the tenant; positive
    std::uint32_t priority = 0; // 0 is the most urgent
    Duration timeLeft { 0 }; // until the program's deadline, when it first asks
};

enum class GateOutcome {
    Begins,
    Waits,
    Refused,
};

struct GateDecision {
    GateOutcome outcome = GateOutcome::Begins;
    ProgramClass programClass = ProgramClass::Urgent;
    Duration askAgainIn { 0 }; // if it waits
    Duration roomIn { 0 }; // if it is refused: when programs of its class are expected to begin again
    double fill = 0; // running calls divided by slots; 0 if unknown
    double tenantUse = 0; // programs that the tenant has begun here lately, divided by its weight
};

struct ProgramGate {
    struct Waiting {
        NewProgram program;
        TimePoint since;
        TimePoint askedAt; // last
    };

    GateSettings settings;
    std::optional<FleetLoad> load;
    TimePoint loadAt;
    std::array<double, programClasses> room { 0, 0, 0 }; // programs that may begin until the next load, by class
    TenantUsage usage { {}, std::chrono::seconds(5) }; // programs that have begun
    std::map<std::string, Waiting> waiting; // by id
};

// An older load doesn't count: a node that is cut off from the record nodes must not refuse programs by it.
inline constexpr Duration loadLifetime = std::chrono::seconds(2);
inline constexpr Duration gateRetryInterval = std::chrono::milliseconds(20);
// A waiting program that hasn't asked for this long is forgotten, so that no other program waits behind it.
inline constexpr Duration maxSilence = std::chrono::milliseconds(500);
inline constexpr Duration minRoomIn = std::chrono::milliseconds(400); // least `GateDecision::roomIn`
inline constexpr Duration maxRoomIn = std::chrono::seconds(3); // greatest `GateDecision::roomIn`
inline constexpr std::size_t maxWaitingPrograms = 1000; // at a node; further ones are refused

// Loads that come sooner than `loadInterval` after each other give a part of their room, by the time in between: the
// same room must not be given once for each answer.
void learnLoad(ProgramGate& gate, const FleetLoad& load, TimePoint now);

GateDecision askToBegin(ProgramGate& gate, const NewProgram& program, TimePoint now);

// Has no effect for a program that doesn't wait.
void stopWaiting(ProgramGate& gate, const std::string& id);

} // namespace lovagecross
