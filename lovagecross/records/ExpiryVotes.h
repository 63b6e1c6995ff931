#pragma once

// Counts the replicas that confirm that expired records are no longer needed. Does no I/O.
//
//     ExpiryVotes votes(roster, tolerance, table.expired(now, maxRecords));
//     for (const RosterMember& member : roster.members) {
//         ExpiredRecords open = votes.openFor(member.node);
//         ... send it to the member unless it is empty ...
//         votes.add(response);
//     }
//     ExpiredRecords removable = votes.confirmed();
//
// A record may be removed once a majority of the replicas of its group confirms that. A turn that continues it is on a
// majority too, and so is each reservation that counts against a budget, so one of those that are asked knows of it.
//
// Thread safety: not synchronized; used by one thread.

#include "lovagecross/records/RecordMessages.h"
#include "lovagecross/records/Roster.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lovagecross {

class ExpiryVotes {
public:
    ExpiryVotes(const Roster& roster, const Tolerance& tolerance, ExpiredRecords expiredRecords);

    // Returns the records of which the node is a replica and that lack a majority so far.
    ExpiredRecords openFor(const std::string& node);

    // Adds the node's response to the records of the last call of `openFor`.
    void add(const RecordResponse& response);

    ExpiredRecords confirmed() const { return this->select(true); }
    ExpiredRecords unconfirmed() const { return this->select(false); }

private:
    struct Replicas {
        std::set<std::string> nodes;
        std::size_t majority = 0;
    };

    bool isOpen(const std::string& group, std::size_t votes, const std::string& node) const;
    bool isConfirmed(const std::string& group, std::size_t votes) const;
    ExpiredRecords select(bool withMajority) const;

    const ExpiredRecords records;
    std::map<std::string, Replicas> replicas; // by group
    std::vector<std::size_t> turnVotes; // parallel to `records.turns`
    std::vector<std::size_t> programVotes; // parallel to `records.programs`
    std::vector<std::size_t> askedTurns; // indices of the last `openFor`
    std::vector<std::size_t> askedPrograms;
};

} // namespace lovagecross
