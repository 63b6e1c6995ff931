// Removal of expired records by a record node, with the consent of the other replicas.

#include "lovagecross/adapters/Log.h"
#include "lovagecross/records/ExpiryVotes.h"
#include "lovagecross/records/RecordNode.h"

#include <string_view>

namespace lovagecross {

namespace {

using std::chrono::milliseconds;

constexpr Duration confirmTimeout = milliseconds(500);
constexpr std::int64_t recheckMillis = 30'000; // after which the replicas are asked again about a record
constexpr std::size_t maxRecordsPerRound = 2000;
constexpr int maxRounds = 10; // of one call, so that the other tasks of the node are not delayed

} // namespace

RecordResponse RecordNode::handleConfirmExpiry(const ConfirmExpiryRequest& request)
{
    RecordResponse response;
    std::lock_guard lock(this->mutex);
    if (!this->acceptsEpoch(request.epoch, response))
        return response;
    auto mayConfirm = [this](std::string_view group) { return this->holdings.complete(group); };
    this->table.confirmExpiry(request.expired, this->parts.clock.unixMillis(), mayConfirm, response);
    response.status = RecordStatus::Ok;
    return response;
}

void RecordNode::removeExpired()
{
    for (int round = 0; round < maxRounds; ++round) {
        Roster roster;
        ExpiredRecords expired;
        {
            std::lock_guard lock(this->mutex);
            if (!this->holdings.isMember())
                return;
            roster = this->holdings.roster();
            expired = this->table.expired(this->parts.clock.unixMillis(), maxRecordsPerRound);
        }
        if (expired.empty())
            return;
        ExpiryVotes votes(roster, this->settings.tolerance, std::move(expired));
        bool allAnswered = this->askForExpiry(roster, votes);
        this->applyExpiry(votes, allAnswered);
        if (!allAnswered)
            return; // the next call asks again
    }
}

// Asks the replicas of the records, this node included. Returns false if more of them than tolerated don't answer.
bool RecordNode::askForExpiry(const Roster& roster, ExpiryVotes& votes)
{
    std::size_t silent = 0;
    for (const RosterMember& member : roster.members) {
        ExpiredRecords open = votes.openFor(member.node);
        if (open.empty())
            continue;
        ConfirmExpiryRequest request { roster.epoch, std::move(open) };
        auto response = member.node == this->settings.node ? this->handle(request)
                                                           : this->sendRequest(member.address, request, confirmTimeout);
        if (response && response->status == RecordStatus::Ok)
            votes.add(*response);
        else if (!response && ++silent > this->settings.tolerance.machines)
            return false;
    }
    return true;
}

void RecordNode::applyExpiry(const ExpiryVotes& votes, bool allAnswered)
{
    ExpiredRecords removed = votes.confirmed();
    ExpiredRecords kept = votes.unconfirmed();
    {
        std::lock_guard lock(this->mutex);
        auto discardAll = [this](const std::vector<LogLocation>& locations) {
            for (const LogLocation& at : locations)
                this->log.discard(at);
        };
        for (const ExpiringTurn& turn : removed.turns)
            discardAll(this->table.removeTurn(turn.id));
        for (const std::string& program : removed.programs)
            discardAll(this->table.removeProgram(program));
        std::int64_t until = this->parts.clock.unixMillis() + recheckMillis;
        for (const ExpiringTurn& turn : kept.turns)
            this->table.extendTurn(turn.id, until);
        for (const std::string& program : kept.programs)
            this->table.extendProgram(program, until);
    }
    LogLine(LogLevel::Info, "records_expired")
        .field("turns", removed.turns.size())
        .field("programs", removed.programs.size())
        .field("keptTurns", kept.turns.size())
        .field("keptPrograms", kept.programs.size())
        .field("allAnswered", allAnswered)
        .write();
}

} // namespace lovagecross
