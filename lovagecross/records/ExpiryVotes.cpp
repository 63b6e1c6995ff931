#include "lovagecross/records/ExpiryVotes.h"

#include <utility>

namespace lovagecross {

ExpiryVotes::ExpiryVotes(const Roster& roster, const Tolerance& tolerance, ExpiredRecords expiredRecords)
    : records(std::move(expiredRecords))
    , turnVotes(this->records.turns.size(), 0)
    , programVotes(this->records.programs.size(), 0)
{
    auto addGroup = [&](const std::string& group) {
        if (this->replicas.count(group) > 0)
            return;
        Replicas& entry = this->replicas[group];
        for (const RosterMember* member : replicasOf(roster, group, tolerance))
            entry.nodes.insert(member->node);
        entry.majority = majorityOf(entry.nodes.size());
    };
    for (const ExpiringTurn& turn : this->records.turns)
        addGroup(turn.group);
    for (const std::string& program : this->records.programs)
        addGroup(program);
}

ExpiredRecords ExpiryVotes::openFor(const std::string& node)
{
    this->askedTurns.clear();
    this->askedPrograms.clear();
    ExpiredRecords open;
    for (std::size_t i = 0; i < this->records.turns.size(); ++i) {
        const ExpiringTurn& turn = this->records.turns[i];
        if (!this->isOpen(turn.group, this->turnVotes[i], node))
            continue;
        this->askedTurns.push_back(i);
        open.turns.push_back(turn);
    }
    for (std::size_t i = 0; i < this->records.programs.size(); ++i) {
        const std::string& program = this->records.programs[i];
        if (!this->isOpen(program, this->programVotes[i], node))
            continue;
        this->askedPrograms.push_back(i);
        open.programs.push_back(program);
    }
    return open;
}

void ExpiryVotes::add(const RecordResponse& response)
{
    for (std::size_t i = 0; i < this->askedTurns.size() && i < response.turnsConfirmed.size(); ++i)
        this->turnVotes[this->askedTurns[i]] += response.turnsConfirmed[i] ? 1 : 0;
    for (std::size_t i = 0; i < this->askedPrograms.size() && i < response.programsConfirmed.size(); ++i)
        this->programVotes[this->askedPrograms[i]] += response.programsConfirmed[i] ? 1 : 0;
}

bool ExpiryVotes::isOpen(const std::string& group, std::size_t votes, const std::string& node) const
{
    return this->replicas.at(group).nodes.count(node) > 0 && !this->isConfirmed(group, votes);
}

bool ExpiryVotes::isConfirmed(const std::string& group, std::size_t votes) const
{
    return votes >= this->replicas.at(group).majority;
}

ExpiredRecords ExpiryVotes::select(bool withMajority) const
{
    ExpiredRecords selected;
    for (std::size_t i = 0; i < this->records.turns.size(); ++i) {
        const ExpiringTurn& turn = this->records.turns[i];
        if (this->isConfirmed(turn.group, this->turnVotes[i]) == withMajority)
            selected.turns.push_back(turn);
    }
    for (std::size_t i = 0; i < this->records.programs.size(); ++i) {
        const std::string& program = this->records.programs[i];
        if (this->isConfirmed(program, this->programVotes[i]) == withMajority)
            selected.programs.push_back(program);
    }
    return selected;
}

} // namespace lovagecross
