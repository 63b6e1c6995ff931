#pragma once

// The nodes that hold records, as agreed in one object of the platform.
//
// A change of the roster has a new epoch. A member that knows an epoch accepts nothing for an older one. Each record
// belongs to a group (a program), and each group has a fixed set of members for an epoch, its replicas. A reservation
// of tokens needs a majority of them, a kept turn needs `copiesNeeded` of them; so any two majorities meet, and a turn
// survives the loss of as many members as the deployment tolerates.
//
// Thread safety: plain values and free functions.

#include "lovagecross/base/Error.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lovagecross {

struct RosterMember {
    std::string node;
    std::uint64_t disk = 0; // identity of its disk: another one under the same name holds nothing of before
    std::string address; // peer address
    std::string dataCentre;

    bool operator==(const RosterMember&) const = default;
};

struct Roster {
    std::uint64_t epoch = 0; // 0: none is known
    std::vector<RosterMember> members; // in the order of their names

    bool operator==(const Roster&) const = default;

    const RosterMember* find(std::string_view node) const;
};

// What may be lost at once.
struct Tolerance {
    std::uint32_t machines = 1;
    std::uint32_t dataCentres = 1;
};

std::string printRoster(const Roster& roster);
Result<Roster> parseRoster(std::string_view json);

// The members that hold the records of a group: 2 * machines + 1 of them where there are as many, spread over data
// centres so that the loss of one leaves a majority where the roster allows it. The same on every node.
// They point into `roster`, which must not be a temporary.
std::vector<const RosterMember*> replicasOf(const Roster& roster, std::string_view group, const Tolerance& tolerance);
std::vector<const RosterMember*> replicasOf(Roster&&, std::string_view, const Tolerance&) = delete;

// Of each group, where the roster has as many members.
std::size_t mostReplicas(const Tolerance& tolerance);

std::size_t majorityOf(std::size_t replicas);

// Whether the platform is one more replica of every token budget: while an even number of members is left that is too
// small for the tolerance. A majority of the members and the platform is then as large as one of the members alone.
bool platformVotes(const Roster& roster, const Tolerance& tolerance);

// Copies that a kept turn needs before its answer is final, and whether they are in enough data centres.
bool enoughCopies(const std::vector<const RosterMember*>& holders, const Tolerance& tolerance);

// The next roster after `joining` has come with an empty or newer disk. It replaces its own earlier entry; otherwise
// one member of `unreachable`, if any, of its own data centre rather than of another; otherwise it is added.
Roster withMember(const Roster& roster, const RosterMember& joining, const std::vector<std::string>& unreachable);

Roster withoutMember(const Roster& roster, std::string_view node);

} // namespace lovagecross
