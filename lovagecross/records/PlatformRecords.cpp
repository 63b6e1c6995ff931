#include "lovagecross/records/PlatformRecords.h"

#include "lovagecross/adapters/Base64.h"
#include "lovagecross/adapters/Log.h"

#include <algorithm>
#include <utility>

namespace lovagecross {

namespace {

constexpr std::string_view keptTurnPrefix = "kept-turns/";
constexpr std::string_view budgetPrefix = "token-budgets/";
constexpr int maxVoteAttempts = 4; // other entry nodes may concurrently update the same program's object

// Returns an object key with the id in hexadecimal: object names allow few characters, while callers' ids may contain
// any byte.
std::string keyOf(std::string_view prefix, std::string_view id)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string key(prefix);
    for (char character : id) {
        auto byte = static_cast<unsigned char>(character);
        key += digits[byte >> 4U];
        key += digits[byte & 15U];
    }
    return key;
}

// Returns {"records":"BASE64"}, where BASE64 encodes a serialized RecordResponse.
std::string printRecords(const RecordResponse& records)
{
    return "{\"records\":\"" + encodeBase64(encodeRecordResponse(records)) + "\"}";
}

std::optional<RecordResponse> parseRecords(std::string_view value)
{
    std::size_t start = value.find(":\"");
    std::size_t end = value.rfind('"');
    if (start == std::string_view::npos || end <= start + 2)
        return std::nullopt;
    auto bytes = decodeBase64(std::string(value.substr(start + 2, end - start - 2)));
    return bytes ? decodeRecordResponse(*bytes) : std::nullopt;
}

bool anyNeeded(
    const RecordResponse& records, std::int64_t nowUnixMillis, const std::function<bool(const std::string&)>& isInUse)
{
    return std::any_of(records.reservations.begin(), records.reservations.end(), [&](const Reservation& record) {
        return record.expiresUnixMillis >= nowUnixMillis || isInUse(record.program);
    });
}

} // namespace

std::optional<Roster> rosterOf(const StoreResult& stored)
{
    if (!stored.ok())
        return std::nullopt;
    return handle(
        [&]() -> Result<std::optional<Roster>> {
            BOOST_LEAF_AUTO(roster, parseRoster(stored.object.value));
            return std::optional<Roster>(withoutChanges(roster));
        },
        [](const Error& error) {
            LogLine(LogLevel::Error, "roster_unreadable").field("field", error.field).write();
            return std::optional<Roster>();
        });
}

PlatformRecords::PlatformRecords(ObjectStore& objectStore, Counters& counters)
    : store(objectStore)
    , turnsKept(counters.counter("records.platformTurns"))
    , votes(counters.counter("records.platformVotes"))
    , removed(counters.counter("records.platformRemoved"))
{
}

bool PlatformRecords::keepTurn(const StoredTurn& turn)
{
    RecordResponse records;
    records.turns.push_back(turn);
    StoreResult stored = this->store.create(keyOf(keptTurnPrefix, turn.id), printRecords(records));
    bool kept = stored.ok() || stored.status == StoreStatus::Conflict; // already stored by an earlier attempt
    this->turnsKept.add(kept ? 1 : 0);
    LogLine(LogLevel::Info, "turn_kept_at_platform")
        .field("request", turn.id)
        .field("status", storeStatusNames.name(stored.status))
        .write();
    return kept;
}

TurnRead PlatformRecords::readTurn(const std::string& id, StoredTurn& turn)
{
    StoreResult stored = this->store.get(keyOf(keptTurnPrefix, id));
    if (stored.status == StoreStatus::NotFound)
        return TurnRead::Absent;
    auto records = stored.ok() ? parseRecords(stored.object.value) : std::nullopt;
    if (!records || records->turns.empty() || records->turns.front().id != id)
        return TurnRead::Unavailable;
    turn = std::move(records->turns.front());
    return TurnRead::Found;
}

PlatformAnswer PlatformRecords::vote(const ReserveRequest& request, const ProgramReservations& known)
{
    PlatformAnswer answer;
    answer.vote = this->reserve(request.reservation, known, request.budget, &answer.reservations);
    if (answer.vote != PlatformVote::Accepted)
        return answer;
    auto roster = rosterOf(this->store.get(rosterKey)); // after the write: see the top of the header
    if (roster && roster->epoch == request.epoch)
        return answer;
    bool outdated = roster && roster->epoch > request.epoch;
    answer.vote = outdated ? PlatformVote::OldEpoch : PlatformVote::Unavailable;
    if (outdated)
        answer.newerRoster = std::move(*roster);
    return answer;
}

PlatformVote PlatformRecords::reserve(
    const Reservation& reservation, ProgramReservations known, std::uint64_t budget, ProgramReservations* all)
{
    std::string key = keyOf(budgetPrefix, reservation.program);
    for (int attempt = 0; attempt < maxVoteAttempts; ++attempt) {
        StoreResult stored = this->store.get(key);
        bool exists = stored.ok();
        if (!exists && stored.status != StoreStatus::NotFound)
            return PlatformVote::Unavailable;
        RecordResponse records;
        if (exists) {
            auto parsed = parseRecords(stored.object.value);
            if (!parsed)
                return PlatformVote::Unavailable;
            records = std::move(*parsed);
        }
        ProgramReservations merged;
        for (const Reservation& other : records.reservations) {
            mergeReservation(known, other);
            mergeReservation(merged, other);
        }
        if (usedTokens(known, reservation.requestId) + reservation.tokens > budget)
            return PlatformVote::Exhausted;
        if (all != nullptr)
            *all = known;
        if (!mergeReservation(merged, reservation)) // an earlier attempt has stored it
            return PlatformVote::Accepted;
        records.reservations.clear();
        for (const auto& [requestId, other] : merged)
            records.reservations.push_back(other);
        std::string value = printRecords(records);
        StoreResult written
            = exists ? this->store.update(key, value, stored.object.version) : this->store.create(key, value);
        if (written.ok()) {
            this->votes.add();
            return PlatformVote::Accepted;
        }
        if (written.status != StoreStatus::Conflict)
            return PlatformVote::Unavailable;
    }
    return PlatformVote::Unavailable;
}

bool PlatformRecords::visit(std::string_view prefix, const std::function<void(ListedObject object)>& visitObject)
{
    StoreStatus status = this->store.visit(prefix, [&visitObject](StoredObject object) {
        auto records = parseRecords(object.value);
        if (!records)
            LogLine(LogLevel::Error, "platform_record_unreadable").field("key", object.key).write();
        visitObject({ std::move(object.key), object.version, std::move(records) });
    });
    return status == StoreStatus::Ok;
}

std::optional<std::vector<Reservation>> PlatformRecords::reservations()
{
    std::vector<Reservation> all;
    bool allReadable = true;
    bool answered = this->visit(budgetPrefix, [&](const ListedObject& entry) {
        allReadable = allReadable && entry.records;
        if (entry.records)
            all.insert(all.end(), entry.records->reservations.begin(), entry.records->reservations.end());
    });
    return answered && allReadable ? std::optional(std::move(all)) : std::nullopt;
}

bool PlatformRecords::visitTurns(const std::function<void(StoredTurn turn)>& visitTurn)
{
    return this->visit(keptTurnPrefix, [&visitTurn](ListedObject entry) {
        if (!entry.records)
            return;
        for (StoredTurn& turn : entry.records->turns)
            visitTurn(std::move(turn));
    });
}

void PlatformRecords::removeTurn(const std::string& id)
{
    StoreResult result = this->store.remove(keyOf(keptTurnPrefix, id), 0);
    this->removed.add(result.ok() ? 1 : 0);
}

void PlatformRecords::removeExpiredBudgets(
    std::int64_t nowUnixMillis, const std::function<bool(const std::string&)>& isInUse)
{
    // What isn't read now is read by the next call.
    this->visit(budgetPrefix, [&](const ListedObject& entry) {
        if (entry.records && !anyNeeded(*entry.records, nowUnixMillis, isInUse))
            this->removed.add(this->store.remove(entry.key, entry.version).ok() ? 1 : 0);
    });
}

} // namespace lovagecross
