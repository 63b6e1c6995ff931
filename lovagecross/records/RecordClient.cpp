#include "lovagecross/records/RecordClient.h"

#include "lovagecross/adapters/Log.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace lovagecross {

namespace {

using std::chrono::milliseconds;

constexpr Duration rosterInterval = std::chrono::seconds(10); // changes also come with the answers of members
constexpr Duration rosterRetryInterval = milliseconds(300); // while none is known
constexpr Duration inspectTimeout = milliseconds(500);
constexpr Duration voteTimeout = milliseconds(300); // of one round; a lost packet comes again after 200 ms
constexpr Duration platformVoteTimeout = milliseconds(100); // of a round after which the platform is asked
constexpr Duration hurriedVoteTimeout = milliseconds(15); // the same, shortly after a replica was silent
constexpr Duration platformPause = milliseconds(300); // after a vote that the platform did not give
constexpr Duration hurryTime = std::chrono::seconds(1);
constexpr Duration longestReserve = milliseconds(900);
constexpr Duration probeTimeout = milliseconds(200);
constexpr Duration probeInterval = milliseconds(150); // while no majority answers
constexpr Duration storeTimeout = milliseconds(300); // before the platform is asked to keep the turn
constexpr Duration longestKeep = milliseconds(1500);
constexpr Duration nearReadTimeout = milliseconds(120);
constexpr Duration readTimeout = milliseconds(500);
constexpr Duration retryPause = milliseconds(20);
constexpr std::size_t maxChainTurns = 4096;

// A record outlives its retention by this much: clocks differ, and a turn that is being continued must not vanish.
constexpr std::int64_t expiryMarginMillis = 60'000;

std::int64_t expiryOf(Duration retention, const Clock& clock)
{
    return clock.unixMillis() + 2 * toMillis(retention) + expiryMarginMillis;
}

} // namespace

RecordClient::RecordClient(RecordClientSettings clientSettings, RecordNodeParts clientParts)
    : settings(std::move(clientSettings))
    , parts(clientParts)
    , cache(this->settings.cacheBytes)
    , platform(clientParts.store, clientParts.counters)
{
}

RecordClient::~RecordClient()
{
    this->stop();
}

void RecordClient::start()
{
    this->thread = std::thread([this] { this->run(); });
}

void RecordClient::stop()
{
    {
        std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->wake.notify_all();
    if (this->thread.joinable())
        this->thread.join();
}

Roster RecordClient::roster() const
{
    std::lock_guard lock(this->mutex);
    return this->current;
}

bool RecordClient::shouldTurnAway() const
{
    std::lock_guard lock(this->mutex);
    return this->tracker.shouldTurnAway();
}

Reach RecordClient::reach() const
{
    std::lock_guard lock(this->mutex);
    return this->tracker.reach();
}

Duration RecordClient::pauseForCaller() const
{
    std::lock_guard lock(this->mutex);
    return this->tracker.retryAfter(this->parts.clock.now());
}

// --- Roster

void RecordClient::run()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        TimePoint now = this->parts.clock.now();
        bool missing = this->tracker.reach() == Reach::Doubtful || this->tracker.reach() == Reach::Cut;
        bool follow = now >= this->nextFollow;
        lock.unlock();
        if (follow)
            this->followRoster();
        if (missing)
            this->probe();
        lock.lock();
        now = this->parts.clock.now();
        if (follow)
            this->nextFollow = now + (this->current.epoch == 0 ? rosterRetryInterval : rosterInterval);
        auto state = this->tracker.reach();
        Duration pause = missing ? std::min<Duration>(probeInterval, this->nextFollow - now) : this->nextFollow - now;
        this->wake.wait_for(lock, pause, [this, state] { return this->stopping || this->tracker.reach() != state; });
    }
}

// Asks the record nodes for a sign of life while no majority of them answers.
void RecordClient::probe()
{
    Roster roster = this->roster();
    std::vector<const RosterMember*> members;
    for (const RosterMember& member : roster.members)
        members.push_back(&member);
    bool platformHelps = platformVotes(roster, this->settings.tolerance);
    std::size_t majority = majorityOf(members.size()) - (platformHelps ? 1 : 0);
    Answers answers = this->askReplicas(roster, members, InspectRequest {}, probeTimeout,
        [majority](const Answers& so) { return so.accepted.size() >= majority; });
    bool enough = answers.accepted.size() >= majority;
    this->noteRound(answers, enough, true);
    if (!enough)
        this->askOpinions(roster);
}

// Asks other entry nodes whether they reach the record nodes.
void RecordClient::askOpinions(const Roster& known)
{
    std::vector<std::string> seeds;
    for (const std::string& seed : this->settings.seeds) {
        if (seed != this->settings.ownAddress)
            seeds.push_back(seed);
    }
    auto results = this->parts.peers.requestAll(
        seeds, RecordCall { encodeRecordRequest(InspectRequest {}) }, probeTimeout, [](const auto&) { return false; });
    PeerOpinions opinions;
    opinions.asked = seeds.size();
    Roster newest = known;
    for (const PeerResult& result : results) {
        auto response = recordResponseOf(result);
        if (!response)
            continue;
        ++(response->complete ? opinions.reaching : opinions.cut);
        if (response->roster && response->roster->epoch > newest.epoch)
            newest = *response->roster;
    }
    this->takeRoster(newest);
    std::lock_guard lock(this->mutex);
    this->tracker.heard(opinions);
}

// Asks a member for the roster, then the platform, and while that can't be reached all members and seeds.
void RecordClient::followRoster()
{
    Roster known = this->roster(); // the replicas point into it
    std::vector<std::string> members;
    for (const RosterMember* member : replicasOf(known, this->settings.ownAddress, this->settings.tolerance))
        members.push_back(member->address);
    if (!members.empty() && this->askForRoster({ members.front() }))
        return;
    StoreResult stored = this->parts.store.get(rosterKey);
    if (stored.status == StoreStatus::NotFound)
        return;
    if (!stored.ok()) {
        members.insert(members.end(), this->settings.seeds.begin(), this->settings.seeds.end());
        this->askForRoster(members);
        return;
    }
    handle(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(roster, parseRoster(stored.object.value));
            this->takeRoster(roster);
            return true;
        },
        [&](const Error& error) {
            LogLine(LogLevel::Error, "roster_unreadable").field("field", error.field).write();
            return false;
        });
}

// Whether any of them told a roster.
bool RecordClient::askForRoster(const std::vector<std::string>& addresses)
{
    auto results = this->parts.peers.requestAll(addresses, RecordCall { encodeRecordRequest(InspectRequest {}) },
        inspectTimeout, [](const auto&) { return false; });
    bool told = false;
    for (const PeerResult& result : results) {
        auto response = recordResponseOf(result);
        if (!response || !response->roster)
            continue;
        told = true;
        this->takeRoster(*response->roster);
    }
    return told;
}

void RecordClient::takeRoster(const Roster& roster)
{
    {
        std::lock_guard lock(this->mutex);
        if (roster.epoch <= this->current.epoch)
            return;
        this->current = roster;
    }
    LogLine(LogLevel::Info, "roster_known")
        .field("epoch", roster.epoch)
        .field("members", roster.members.size())
        .write();
}

// --- Asking replicas

void RecordClient::addAnswer(Answers& answers, const RosterMember& member, const PeerResult& result)
{
    auto response = recordResponseOf(result);
    if (!response)
        return;
    ++answers.answered;
    answers.complete += response->complete ? 1 : 0;
    if (response->roster && response->roster->epoch > answers.newest.epoch)
        answers.newest = *response->roster;
    if (response->status == RecordStatus::Ok)
        answers.accepted.push_back(&member);
    if (response->status == RecordStatus::Ok || response->status == RecordStatus::Exhausted)
        answers.responses.push_back(std::move(*response));
    answers.exhausted = answers.exhausted || answers.responses.size() > answers.accepted.size();
}

RecordClient::Answers RecordClient::askReplicas(const Roster& known, const std::vector<const RosterMember*>& replicas,
    const RecordRequest& request, Duration timeout, const std::function<bool(const Answers&)>& enough)
{
    std::vector<std::string> addresses;
    addresses.reserve(replicas.size());
    for (const RosterMember* replica : replicas)
        addresses.push_back(replica->address);
    Answers answers;
    answers.newest.epoch = known.epoch;
    std::vector<bool> counted(replicas.size(), false);
    auto count = [&](const std::vector<const PeerResult*>& arrived) {
        for (std::size_t i = 0; i < arrived.size(); ++i) {
            if (counted[i] || arrived[i] == nullptr)
                continue;
            counted[i] = true;
            addAnswer(answers, *replicas[i], *arrived[i]);
        }
        answers.oldEpoch = answers.newest.epoch > known.epoch;
        return answers.oldEpoch || enough(answers);
    };
    auto results = this->parts.peers.requestAll(addresses, RecordCall { encodeRecordRequest(request) }, timeout, count);
    std::vector<const PeerResult*> arrived;
    arrived.reserve(results.size());
    for (const PeerResult& result : results)
        arrived.push_back(result.status == PeerStatus::Ok ? &result : nullptr);
    count(arrived);
    if (answers.oldEpoch)
        this->takeRoster(answers.newest);
    return answers;
}

void RecordClient::noteRound(const Answers& answers, bool enough, bool isProbe)
{
    bool near = std::any_of(answers.accepted.begin(), answers.accepted.end(),
        [this](const RosterMember* member) { return member->dataCentre == this->settings.dataCentre; });
    Reach before {};
    Reach after {};
    std::uint64_t epoch = 0;
    {
        std::lock_guard lock(this->mutex);
        before = this->tracker.reach();
        this->tracker.round(enough, near, isProbe, this->parts.clock.now());
        after = this->tracker.reach();
        epoch = this->current.epoch;
    }
    if (before == after)
        return;
    this->wake.notify_all();
    if (before != Reach::Cut && after != Reach::Cut)
        return;
    LogLine(after == Reach::Cut ? LogLevel::Warning : LogLevel::Info,
        after == Reach::Cut ? "dependency_lost" : "dependency_regained")
        .field("dependency", "record_nodes")
        .field("epoch", epoch)
        .field("nearAnswered", near)
        .write();
}

// --- Token budgets

Grant RecordClient::reserve(const GrantRequest& request, TimePoint deadline)
{
    Reservation reservation { request.program, request.requestId, request.tokens, false,
        expiryOf(request.retention, this->parts.clock) };
    TimePoint until = std::min(deadline, this->parts.clock.now() + longestReserve);
    bool sent = false;
    while (this->reach() != Reach::Cut && this->parts.clock.now() < until) {
        Roster roster = this->roster();
        auto replicas = replicasOf(roster, request.program, this->settings.tolerance);
        std::size_t majority = majorityOf(replicas.size());
        if (replicas.empty())
            break;
        Duration timeout = this->voteWait(roster, until);
        sent = true;
        Answers answers
            = this->askReplicas(roster, replicas, ReserveRequest { roster.epoch, reservation, request.budget }, timeout,
                [majority](const Answers& so) { return so.accepted.size() >= majority || so.exhausted; });
        ProgramReservations others;
        for (const RecordResponse& response : answers.responses) {
            for (const Reservation& other : response.reservations)
                mergeReservation(others, other);
        }
        std::uint64_t used = usedTokens(others, request.requestId);
        bool voted = answers.accepted.size() >= majority;
        if (answers.exhausted || (voted && used + request.tokens > request.budget)) {
            this->settle(request, 0);
            return { GrantStatus::Exhausted, used, Duration(0) };
        }
        if (answers.answered >= majority)
            this->noteRound(answers, true, false);
        if (voted)
            return { GrantStatus::Granted, used, Duration(0) };
        if (answers.oldEpoch)
            continue;
        PlatformVote vote = this->askPlatform(roster, answers, others, reservation, request.budget);
        if (vote != PlatformVote::Unavailable)
            this->noteRound(answers, true, false);
        if (vote == PlatformVote::Accepted)
            return { GrantStatus::Granted, used, Duration(0) };
        if (vote == PlatformVote::Exhausted) {
            this->settle(request, 0);
            return { GrantStatus::Exhausted, used, Duration(0) };
        }
        if (answers.answered < majority)
            this->noteRound(answers, false, false);
        std::this_thread::sleep_for(retryPause);
    }
    if (sent)
        this->settle(request, 0);
    return { GrantStatus::Unavailable, 0, this->pauseForCaller() };
}

// How long a round of votes may take. Where the platform votes too, a replica that was silent lately is not waited for.
Duration RecordClient::voteWait(const Roster& known, TimePoint until) const
{
    TimePoint now = this->parts.clock.now();
    Duration longest = std::min<Duration>(until - now, voteTimeout);
    if (!platformVotes(known, this->settings.tolerance))
        return longest;
    std::lock_guard lock(this->mutex);
    return std::min(longest, now < this->hurryUntil ? hurriedVoteTimeout : platformVoteTimeout);
}

// The platform's vote, where it is a replica and its vote makes a majority with those of the members. They must have
// what former majorities have accepted: a member that has not fetched it yet knows too little for that.
PlatformVote RecordClient::askPlatform(const Roster& known, const Answers& answers, const ProgramReservations& others,
    const Reservation& reservation, std::uint64_t budget)
{
    bool filled = std::all_of(answers.responses.begin(), answers.responses.end(),
        [&](const RecordResponse& response) { return response.filledEpoch >= known.epoch; });
    bool decides = answers.accepted.size() + 1 >= majorityOf(known.members.size());
    if (!platformVotes(known, this->settings.tolerance) || answers.accepted.empty() || !filled || !decides)
        return PlatformVote::Unavailable;
    {
        std::lock_guard lock(this->mutex);
        if (this->parts.clock.now() < this->platformAwayUntil)
            return PlatformVote::Unavailable;
    }
    PlatformVote vote = this->platform.reserve(reservation, others, budget);
    LogLine(LogLevel::Info, "platform_vote")
        .field("request", reservation.requestId)
        .field("program", reservation.program)
        .field("vote", platformVoteNames.name(vote))
        .field("epoch", known.epoch)
        .field("answered", answers.answered)
        .write();
    TimePoint now = this->parts.clock.now();
    std::lock_guard lock(this->mutex);
    this->hurryUntil = now + hurryTime;
    if (vote == PlatformVote::Unavailable)
        this->platformAwayUntil = now + platformPause;
    return vote;
}

void RecordClient::settle(const GrantRequest& request, std::uint64_t usedTokens)
{
    Reservation reservation { request.program, request.requestId, usedTokens, true,
        expiryOf(request.retention, this->parts.clock) };
    RecordCall call { encodeRecordRequest(SettleRequest { std::move(reservation) }) };
    Roster roster = this->roster();
    for (const RosterMember* replica : replicasOf(roster, request.program, this->settings.tolerance))
        this->parts.peers.notify(replica->address, call);
}

// --- Kept turns

bool RecordClient::keep(const TurnRecord& record, TimePoint deadline)
{
    StoredTurn turn { record.id, record.previous, record.input, record.output, record.program,
        expiryOf(record.retention, this->parts.clock) };
    TimePoint until = std::min(deadline, this->parts.clock.now() + longestKeep);
    bool kept = false;
    while (!kept) {
        Roster roster = this->roster();
        auto replicas = replicasOf(roster, record.program, this->settings.tolerance);
        auto enough = [this](const Answers& so) { return enoughCopies(so.accepted, this->settings.tolerance); };
        Duration timeout = std::min<Duration>(until - this->parts.clock.now(), storeTimeout);
        Answers answers = this->askReplicas(roster, replicas, StoreTurnRequest { roster.epoch, turn }, timeout, enough);
        kept = enough(answers);
        if (answers.answered < majorityOf(replicas.size()))
            this->noteRound(answers, false, false);
        if (!kept && answers.oldEpoch && this->parts.clock.now() < until)
            continue;
        if (!kept)
            kept = this->platform.keepTurn(turn);
        if (this->parts.clock.now() >= until || this->reach() == Reach::Cut)
            break; // the caller's next try reaches another node
    }
    if (kept)
        this->cache.add({ record.id, record.previous, record.input + record.output });
    return kept;
}

Chain RecordClient::chain(const std::string& id, TimePoint deadline)
{
    Chain result;
    std::vector<std::string> texts; // the newest first
    std::map<std::string, StoredTurn> fetched;
    std::string next = id;
    while (!next.empty() && texts.size() < maxChainTurns) {
        if (auto cached = this->cache.find(next)) {
            texts.push_back(std::move(cached->text));
            next = cached->previous;
            continue;
        }
        auto found = fetched.find(next);
        if (found != fetched.end()) {
            StoredTurn& turn = found->second;
            this->cache.add({ turn.id, turn.previous, turn.input + turn.output });
            texts.push_back(turn.input + turn.output);
            next = turn.previous;
            continue;
        }
        bool absent = false;
        if (this->readMissing(next, deadline, fetched, absent))
            continue;
        // Only the turn that the caller names may be unknown; a gap behind it is a copy that can't be reached now.
        result.status = absent && next == id ? ChainStatus::Absent : ChainStatus::Unavailable;
        result.retryAfter = this->pauseForCaller();
        LogLine(LogLevel::Info, "turn_not_found")
            .field("turn", next)
            .field("previous", id)
            .field("absent", absent)
            .field("epoch", this->roster().epoch)
            .write();
        return result;
    }
    result.status = ChainStatus::Found;
    result.turns = texts.size();
    for (auto text = texts.rbegin(); text != texts.rend(); ++text)
        result.text += *text;
    return result;
}

// Reads the turn `id` and what it continues, from the nearest node first, then from all, then from the platform.
// `absent` is set when every place that could hold it says that it does not.
bool RecordClient::readMissing(
    const std::string& id, TimePoint deadline, std::map<std::string, StoredTurn>& found, bool& absent)
{
    Roster roster = this->roster();
    std::vector<const RosterMember*> near;
    std::vector<const RosterMember*> all;
    for (const RosterMember& member : roster.members) {
        all.push_back(&member);
        if (member.dataCentre == this->settings.dataCentre)
            near.push_back(&member);
    }
    if (!near.empty())
        this->readFrom(roster, near, id, nearReadTimeout, found);
    if (found.count(id) > 0)
        return true;
    Duration timeout = std::min<Duration>(deadline - this->parts.clock.now(), readTimeout);
    Answers answers = this->readFrom(roster, all, id, timeout, found);
    if (found.count(id) > 0)
        return true;
    StoredTurn turn;
    TurnRead read = this->platform.readTurn(id, turn);
    if (read == TurnRead::Found) {
        found.emplace(id, std::move(turn));
        return true;
    }
    absent = read == TurnRead::Absent && !all.empty() && answers.complete == all.size();
    return false;
}

// Asks the members for a turn until one has it, and adds what they return to `found`.
RecordClient::Answers RecordClient::readFrom(const Roster& known, const std::vector<const RosterMember*>& members,
    const std::string& id, Duration timeout, std::map<std::string, StoredTurn>& found)
{
    auto anyFound = [](const Answers& so) { return !so.accepted.empty(); };
    Answers answers = this->askReplicas(known, members, ReadChainRequest { id }, timeout, anyFound);
    for (const RecordResponse& response : answers.responses) {
        for (const StoredTurn& turn : response.turns)
            found.emplace(turn.id, turn);
    }
    return answers;
}

} // namespace lovagecross
