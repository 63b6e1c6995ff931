#pragma once

// The cluster membership of the record nodes, stored in one object of the platform.
//
// Each roster change increments the epoch. A member that knows an epoch rejects writes for an older one. Each record
// belongs to a group (a program), and each group has a fixed set of replicas within an epoch. A token reservation needs
// a majority of the replicas, and any two majorities intersect. A kept turn needs enough copies (`enoughCopies`) to
// survive the loss of as many members as the deployment tolerates.
//
// Thread safety: plain values and free functions.

#include "lovagecross/base/Error.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lovagecross {

inline constexpr std::string_view rosterKey = "record-rosters/main"; // object key of the roster at the platform

struct RosterMember {
    std::string node;
    std::uint64_t disk = 0; // identity of its disk; a new disk under the same node name holds no earlier records
    std::string address; // peer address
    std::string dataCentre;

    bool operator==(const RosterMember&) const = default;
};

// How a roster differs from that of the epoch before.
struct RosterChange {
    std::uint64_t epoch = 0; // of the roster after the change
    std::vector<std::string> added; // node names
    std::vector<RosterMember> removed; // including those whose disk was replaced

    bool operator==(const RosterChange&) const = default;
};

struct Roster {
    std::uint64_t epoch = 0; // 0 if no roster is known
    std::vector<RosterMember> members; // sorted by node name
    // The latest changes, up to `epoch`, oldest first. Members need them to find the records of former epochs; empty
    // where only the members matter.
    std::vector<RosterChange> changes {};

    bool operator==(const Roster&) const = default;

    const RosterMember* find(std::string_view node) const;
    bool hasDisk(std::string_view node, std::uint64_t disk) const;
};

// Returns the rosters of the epochs before that of `roster`, as far as its changes go back, oldest first.
std::vector<Roster> formerRosters(const Roster& roster);

// Returns the roster without its changes.
Roster withoutChanges(const Roster& roster);

// Number of simultaneous failures that the deployment tolerates.
struct Tolerance {
    std::uint32_t machines = 1;
    std::uint32_t dataCentres = 1;
};

std::string printRoster(const Roster& roster);
Result<Roster> parseRoster(std::string_view json);

// Returns the replicas of a group: 2 * machines + 1 members, or all members if there are fewer. They are spread over
// data centres so that the loss of one leaves a majority if the roster allows it. The result is the same on every node.
// The pointers refer to `roster`, which must not be a temporary.
std::vector<const RosterMember*> replicasOf(const Roster& roster, std::string_view group, const Tolerance& tolerance);
std::vector<const RosterMember*> replicasOf(Roster&&, std::string_view, const Tolerance&) = delete;

// Returns the number of replicas of each group in a roster that has at least as many members.
std::size_t replicationFactor(const Tolerance& tolerance);

std::size_t majorityOf(std::size_t replicas);

// Returns whether the platform is an additional replica of every token budget. It is if the number of members is even
// and below the replication factor. Adding the platform then does not change the size of a majority.
bool platformVotes(const Roster& roster, const Tolerance& tolerance);

// Returns whether the holders of a kept turn are enough, and in enough data centres, for the turn to be acknowledged.
bool enoughCopies(const std::vector<const RosterMember*>& holders, const Tolerance& tolerance);

// Returns the next roster after `joining` joins with an empty or newer disk. It replaces its own earlier entry if there
// is one, or else one member of `unreachable`, preferably in its own data centre. Otherwise it is added.
Roster withMember(const Roster& roster, const RosterMember& joining, const std::vector<std::string>& unreachable);

Roster withoutMember(const Roster& roster, std::string_view node);

} // namespace lovagecross
