#include "lovagecross/records/RecordClient.h"

#include "lovagecross/adapters/GuardedStep.h"
#include "lovagecross/adapters/Log.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <optional>
#include <utility>

namespace lovagecross {

namespace {

using std::chrono::milliseconds;

constexpr Duration rosterInterval = std::chrono::seconds(10); // responses of members also carry newer rosters
constexpr Duration rosterRetryInterval = milliseconds(300); // while no roster is known
constexpr Duration inspectTimeout = milliseconds(500);
constexpr Duration voteTimeout = milliseconds(300); // for one round; a lost packet is retransmitted after 200 ms
constexpr Duration firstVotesTimeout = milliseconds(15); // for a near majority, before the other replicas vote too
constexpr Duration platformVoteTimeout = milliseconds(100); // for a round after which the platform can vote
constexpr Duration shortPlatformVoteTimeout = milliseconds(15); // same, shortly after a platform vote was needed
constexpr Duration platformBackoff = milliseconds(300); // after a failed vote of the platform
constexpr Duration shortTimeoutPeriod = std::chrono::seconds(1);
constexpr Duration maxReserveDuration = milliseconds(900);
constexpr Duration probeTimeout = milliseconds(200);
constexpr Duration probeInterval = milliseconds(150); // while no majority answers
constexpr Duration storeTimeout = milliseconds(300); // before the platform is asked to keep the turn
constexpr Duration minKeepRetryInterval = milliseconds(50); // doubled after each attempt to store a turn
constexpr Duration maxKeepRetryInterval = milliseconds(400);
constexpr Duration maxKeepDurationIfPartitioned = milliseconds(1500); // longer than the pauses of sound record nodes
constexpr Duration replicaReadTimeout = milliseconds(120); // before other members are asked too
constexpr Duration readTimeout = milliseconds(500);
constexpr Duration retryInterval = milliseconds(20);
constexpr Duration noRoomRetryAfter = std::chrono::seconds(1); // room becomes free as turns expire
// Limit for the text of a conversation, with an overhead for each turn. An entry node holds it twice while it passes
// the request on.
constexpr std::size_t maxConversationBytes = 16 * 1024 * 1024;
// With its other fields, a turn must fit into one message to the record nodes, of 1 MB and 64 KB.
constexpr std::size_t maxStoredTurnBytes = (1024 + 32) * 1024;
constexpr std::size_t turnOverheadBytes = 64;
constexpr int maxRosterChangesPerRead = 3; // then the caller is asked to retry

// Margin added to the expiry of a record, since clocks differ and a turn must not expire while it is being continued.
constexpr std::int64_t expiryMarginMillis = 60'000;

std::int64_t expiryOf(Duration retention, const Clock& clock)
{
    return clock.unixMillis() + 2 * toMillis(retention) + expiryMarginMillis;
}

// Returns the text of a turn in a buffer of its size, since it may stay in the cache.
std::string textOf(const StoredTurn& turn)
{
    std::string text;
    text.reserve(turn.input.size() + turn.output.size());
    return text.append(turn.input).append(turn.output);
}

StreamOrigin originOf(const ProgramReservations& reservations, const std::string& requestId)
{
    auto found = reservations.find(requestId);
    return found == reservations.end() ? StreamOrigin {} : found->second.origin;
}

} // namespace

RecordClient::RecordClient(RecordClientSettings clientSettings, RecordNodeParts clientParts)
    : settings(std::move(clientSettings))
    , parts(clientParts)
    , cache(clientParts.clock, this->settings.cacheBytes)
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

bool RecordClient::shouldLeaveRotation() const
{
    std::lock_guard lock(this->mutex);
    return this->tracker.shouldLeaveRotation();
}

Reachability RecordClient::reachability() const
{
    std::lock_guard lock(this->mutex);
    return this->tracker.reachability();
}

Duration RecordClient::callerRetryDelay() const
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
        bool unreachable = this->tracker.reachability() == Reachability::Suspected
            || this->tracker.reachability() == Reachability::Partitioned;
        bool refresh = now >= this->nextRosterRefresh;
        lock.unlock();
        runGuarded("record_client", [&] {
            if (refresh)
                this->updateRoster();
            if (unreachable)
                this->probe();
        });
        lock.lock();
        now = this->parts.clock.now();
        if (refresh)
            this->nextRosterRefresh = now + (this->current.epoch == 0 ? rosterRetryInterval : rosterInterval);
        auto state = this->tracker.reachability();
        Duration pause = unreachable ? std::min<Duration>(probeInterval, this->nextRosterRefresh - now)
                                     : this->nextRosterRefresh - now;
        this->wake.wait_for(
            lock, pause, [this, state] { return this->stopping || this->tracker.reachability() != state; });
    }
}

// Checks whether a majority of the record nodes responds again.
void RecordClient::probe()
{
    Roster roster = this->roster();
    std::vector<const RosterMember*> members;
    for (const RosterMember& member : roster.members)
        members.push_back(&member);
    bool platformCanVote = platformVotes(roster, this->settings.tolerance);
    std::size_t majority = majorityOf(members.size()) - (platformCanVote ? 1 : 0);
    Answers answers = this->askReplicas(roster, members, InspectRequest {}, Fanout { probeTimeout },
        [majority](const Answers& answersSoFar) { return answersSoFar.accepted.size() >= majority; });
    bool enough = answers.accepted.size() >= majority;
    this->recordRoundResult(answers, enough, true);
    if (!enough)
        this->queryPeerReachability(roster);
}

// Asks other entry nodes whether they can reach the record nodes.
void RecordClient::queryPeerReachability(const Roster& known)
{
    std::vector<std::string> seeds;
    for (const std::string& seed : this->settings.seeds) {
        if (seed != this->settings.ownAddress)
            seeds.push_back(seed);
    }
    auto results = this->parts.peers.requestAll(seeds, RecordCall { encodeRecordRequest(InspectRequest {}) },
        Fanout { probeTimeout }, [](const auto&) { return false; });
    PeerReachability reported;
    reported.asked = seeds.size();
    Roster newest = known;
    for (const PeerResult& result : results) {
        auto response = recordResponseOf(result);
        if (!response)
            continue;
        ++(response->complete ? reported.reachable : reported.partitioned);
        if (response->roster && response->roster->epoch > newest.epoch)
            newest = *response->roster;
    }
    this->adoptIfNewer(newest);
    std::lock_guard lock(this->mutex);
    this->tracker.recordPeerReachability(reported);
}

// Requests the roster from a member, then from the platform, and if that is unavailable from several members and all
// seeds.
void RecordClient::updateRoster()
{
    Roster known = this->roster(); // the replicas point into it
    std::vector<std::string> members;
    for (const RosterMember* member : replicasOf(known, this->settings.ownAddress, this->settings.tolerance))
        members.push_back(member->address);
    if (!members.empty() && this->requestRoster({ members.front() }))
        return;
    StoreResult stored = this->parts.store.get(rosterKey);
    if (stored.status == StoreStatus::NotFound)
        return;
    if (!stored.ok()) {
        members.insert(members.end(), this->settings.seeds.begin(), this->settings.seeds.end());
        this->requestRoster(members);
        return;
    }
    if (auto roster = rosterOf(stored))
        this->adoptIfNewer(*roster);
}

// Requests the roster from all addresses. Returns whether any response had one.
bool RecordClient::requestRoster(const std::vector<std::string>& addresses)
{
    auto results = this->parts.peers.requestAll(addresses, RecordCall { encodeRecordRequest(InspectRequest {}) },
        Fanout { inspectTimeout }, [](const auto&) { return false; });
    bool received = false;
    for (const PeerResult& result : results) {
        auto response = recordResponseOf(result);
        if (!response || !response->roster)
            continue;
        received = true;
        this->adoptIfNewer(*response->roster);
    }
    return received;
}

void RecordClient::adoptIfNewer(const Roster& roster)
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
    answers.full += response->full ? 1 : 0;
    if (response->roster && response->roster->epoch > answers.newestRoster.epoch)
        answers.newestRoster = *response->roster;
    if (response->status == RecordStatus::Ok)
        answers.accepted.push_back(&member);
    if (response->status == RecordStatus::Ok || response->status == RecordStatus::Exhausted)
        answers.responses.push_back(std::move(*response));
    answers.exhausted = answers.exhausted || answers.responses.size() > answers.accepted.size();
}

RecordClient::Answers RecordClient::askReplicas(const Roster& known, const std::vector<const RosterMember*>& replicas,
    const RecordRequest& request, const Fanout& fanout, const std::function<bool(const Answers&)>& enough)
{
    std::vector<std::string> addresses;
    addresses.reserve(replicas.size());
    for (const RosterMember* replica : replicas)
        addresses.push_back(replica->address);
    Answers answers;
    answers.newestRoster.epoch = known.epoch;
    std::vector<bool> counted(replicas.size(), false);
    auto count = [&](const std::vector<const PeerResult*>& arrived) {
        for (std::size_t i = 0; i < arrived.size(); ++i) {
            if (counted[i] || arrived[i] == nullptr)
                continue;
            counted[i] = true;
            addAnswer(answers, *replicas[i], *arrived[i]);
        }
        answers.epochOutdated = answers.newestRoster.epoch > known.epoch;
        return answers.epochOutdated || enough(answers);
    };
    auto results = this->parts.peers.requestAll(addresses, RecordCall { encodeRecordRequest(request) }, fanout, count);
    std::vector<const PeerResult*> arrived;
    arrived.reserve(results.size());
    for (const PeerResult& result : results) {
        arrived.push_back(result.status == PeerStatus::Ok ? &result : nullptr);
        bool beyondFirstWave = arrived.size() > fanout.firstWave;
        answers.askedBeyondFirstWave
            = answers.askedBeyondFirstWave || (beyondFirstWave && result.status != PeerStatus::Rejected);
    }
    count(arrived);
    if (answers.epochOutdated)
        this->adoptIfNewer(answers.newestRoster);
    return answers;
}

void RecordClient::recordRoundResult(const Answers& answers, bool enough, bool isProbe)
{
    bool nearAnswered = std::any_of(answers.accepted.begin(), answers.accepted.end(),
        [this](const RosterMember* member) { return member->dataCentre == this->settings.dataCentre; });
    Reachability before {};
    Reachability after {};
    std::uint64_t epoch = 0;
    {
        std::lock_guard lock(this->mutex);
        before = this->tracker.reachability();
        this->tracker.recordRound(enough, nearAnswered, isProbe, this->parts.clock.now());
        after = this->tracker.reachability();
        epoch = this->current.epoch;
    }
    if (before == after)
        return;
    this->wake.notify_all();
    if (before != Reachability::Partitioned && after != Reachability::Partitioned)
        return;
    LogLine(after == Reachability::Partitioned ? LogLevel::Warning : LogLevel::Info,
        after == Reachability::Partitioned ? "dependency_lost" : "dependency_regained")
        .field("dependency", "record_nodes")
        .field("epoch", epoch)
        .field("nearAnswered", nearAnswered)
        .write();
}

// --- Token budgets

Grant RecordClient::reserve(const GrantRequest& request, TimePoint deadline)
{
    Reservation reservation { request.program, request.requestId, request.tokens, false,
        expiryOf(request.retention, this->parts.clock), request.origin };
    TimePoint until = std::min(deadline, this->parts.clock.now() + maxReserveDuration);
    bool sent = false;
    while (this->reachability() != Reachability::Partitioned && this->parts.clock.now() < until) {
        Roster roster = this->roster();
        auto replicas = this->replicasNearFirst(roster, request.program);
        std::size_t majority = majorityOf(replicas.size());
        if (replicas.empty())
            break;
        Fanout fanout { this->voteRoundTimeout(roster, until), majority, firstVotesTimeout };
        const ReserveRequest message { roster.epoch, reservation, request.budget, request.turnBytes,
            request.continuesTurn };
        std::size_t replicaCount = replicas.size();
        auto hasNoRoom = [majority, replicaCount](
                             const Answers& answersSoFar) { return replicaCount - answersSoFar.full < majority; };
        Answers answers = this->askReplicas(roster, replicas, message, fanout, [&](const Answers& answersSoFar) {
            return answersSoFar.accepted.size() >= majority || answersSoFar.exhausted || hasNoRoom(answersSoFar);
        });
        bool firstWaveOnly = !sent && !answers.askedBeyondFirstWave;
        sent = true;
        ProgramReservations others;
        for (const RecordResponse& response : answers.responses) {
            for (const Reservation& other : response.reservations)
                mergeReservation(others, other);
        }
        std::uint64_t used = usedTokens(others, request.requestId);
        bool hasMajority = answers.accepted.size() >= majority;
        if (answers.exhausted || (hasMajority && used + request.tokens > request.budget)) {
            this->settle(request, 0);
            return { GrantStatus::Exhausted, used, Duration(0), {} };
        }
        if (answers.answered >= majority)
            this->recordRoundResult(answers, true, false);
        if (!hasMajority && hasNoRoom(answers)) {
            this->settle(request, 0);
            return { GrantStatus::NoRoom, used, noRoomRetryAfter, {} };
        }
        if (hasMajority) {
            if (firstWaveOnly
                && request.origin.revision <= 1) // a later revision may find others that were asked before
                this->addFirstWaveGrant(request.requestId, roster.epoch);
            else
                this->takeFirstWaveGrant(request.requestId);
            return { GrantStatus::Granted, used, Duration(0), originOf(others, request.resumes) };
        }
        if (answers.epochOutdated)
            continue;
        PlatformVote vote = this->requestPlatformVote(answers, others, message, roster);
        if (vote == PlatformVote::OldEpoch)
            continue; // the newer roster was adopted
        if (vote != PlatformVote::Unavailable)
            this->recordRoundResult(answers, true, false);
        if (vote == PlatformVote::Accepted)
            return { GrantStatus::Granted, used, Duration(0), originOf(others, request.resumes) };
        if (vote == PlatformVote::Exhausted) {
            this->settle(request, 0);
            return { GrantStatus::Exhausted, used, Duration(0), {} };
        }
        if (answers.answered < majority)
            this->recordRoundResult(answers, false, false);
        std::this_thread::sleep_for(retryInterval);
    }
    if (sent)
        this->settle(request, 0);
    return { GrantStatus::Unavailable, 0, this->callerRetryDelay(), {} };
}

// Returns the timeout for a round of votes. If the platform can vote too, it is shorter, and still shorter for a while
// after a platform vote was needed because a replica did not respond.
Duration RecordClient::voteRoundTimeout(const Roster& known, TimePoint until) const
{
    TimePoint now = this->parts.clock.now();
    Duration maxTimeout = std::min<Duration>(until - now, voteTimeout);
    if (!platformVotes(known, this->settings.tolerance))
        return maxTimeout;
    std::lock_guard lock(this->mutex);
    return std::min(maxTimeout, now < this->shortTimeoutUntil ? shortPlatformVoteTimeout : platformVoteTimeout);
}

// Requests the platform's vote if it is a replica and its vote would complete a majority. The responding members must
// have fetched everything that former majorities accepted, since otherwise their reservations may be incomplete.
PlatformVote RecordClient::requestPlatformVote(
    const Answers& answers, ProgramReservations& others, const ReserveRequest& request, const Roster& known)
{
    bool filled = std::all_of(answers.responses.begin(), answers.responses.end(),
        [&](const RecordResponse& response) { return response.filledEpoch >= known.epoch; });
    bool completesMajority = answers.accepted.size() + 1 >= majorityOf(known.members.size());
    if (!platformVotes(known, this->settings.tolerance) || answers.accepted.empty() || !filled || !completesMajority)
        return PlatformVote::Unavailable;
    {
        std::lock_guard lock(this->mutex);
        if (this->parts.clock.now() < this->platformBackoffUntil)
            return PlatformVote::Unavailable;
    }
    PlatformAnswer answer = this->platform.vote(request, others);
    if (answer.vote == PlatformVote::Accepted)
        others = std::move(answer.reservations);
    this->adoptIfNewer(answer.newerRoster);
    LogLine(LogLevel::Info, "platform_vote")
        .field("request", request.reservation.requestId)
        .field("program", request.reservation.program)
        .field("vote", platformVoteNames.name(answer.vote))
        .field("epoch", known.epoch)
        .field("answered", answers.answered)
        .write();
    TimePoint now = this->parts.clock.now();
    std::lock_guard lock(this->mutex);
    this->shortTimeoutUntil = now + shortTimeoutPeriod;
    if (answer.vote == PlatformVote::Unavailable)
        this->platformBackoffUntil = now + platformBackoff;
    return answer.vote;
}

void RecordClient::settle(const GrantRequest& request, std::uint64_t usedTokens)
{
    Reservation reservation { request.program, request.requestId, usedTokens, true,
        expiryOf(request.retention, this->parts.clock), request.origin };
    RecordCall call { encodeRecordRequest(SettleRequest { std::move(reservation) }) };
    Roster roster = this->roster();
    auto replicas = this->replicasNearFirst(roster, request.program);
    std::uint64_t grantEpoch = this->takeFirstWaveGrant(request.requestId);
    if (grantEpoch != 0 && grantEpoch == roster.epoch)
        replicas.resize(majorityOf(replicas.size()));
    for (const RosterMember* replica : replicas)
        this->parts.peers.notify(replica->address, call);
}

// Returns the replicas of a program, those in the own data centre first. A majority of them is asked for a vote before
// the others are.
std::vector<const RosterMember*> RecordClient::replicasNearFirst(const Roster& known, const std::string& program) const
{
    auto replicas = replicasOf(known, program, this->settings.tolerance);
    std::stable_partition(replicas.begin(), replicas.end(),
        [this](const RosterMember* member) { return member->dataCentre == this->settings.dataCentre; });
    return replicas;
}

void RecordClient::addFirstWaveGrant(const std::string& requestId, std::uint64_t epoch)
{
    std::lock_guard lock(this->mutex);
    this->firstWaveGrants[requestId] = epoch;
}

// Returns the epoch of a grant that only the first majority of replicas was asked for, and forgets it. Returns 0 if
// other replicas may have the reservation too.
std::uint64_t RecordClient::takeFirstWaveGrant(const std::string& requestId)
{
    std::lock_guard lock(this->mutex);
    auto found = this->firstWaveGrants.extract(requestId);
    return found.empty() ? 0 : found.mapped();
}

// --- Kept turns

std::size_t RecordClient::maxTurnBytes() const
{
    return maxStoredTurnBytes;
}

bool RecordClient::keep(TurnRecord record, TimePoint deadline)
{
    std::string group = record.group.empty() ? record.program : std::move(record.group);
    StoreTurnRequest request { 0,
        { std::move(record.id), std::move(record.previous), std::move(record.input), std::move(record.output),
            std::move(group), expiryOf(record.retention, this->parts.clock) } };
    StoredTurn& turn = request.turn;
    TimePoint start = this->parts.clock.now();
    Duration pause = minKeepRetryInterval;
    while (!this->storeOnDisks(request, deadline) && !this->platform.keepTurn(turn)) {
        TimePoint now = this->parts.clock.now();
        // Record nodes that pause are back by then; if only this node is cut off, the caller is served sooner
        // elsewhere.
        bool cutOff = this->reachability() == Reachability::Partitioned && now - start >= maxKeepDurationIfPartitioned;
        if (cutOff || now >= deadline)
            return false;
        std::this_thread::sleep_for(std::min<Duration>(pause, deadline - now));
        pause = std::min(pause * 2, maxKeepRetryInterval);
    }
    this->cache.add({ turn.id, turn.previous, textOf(turn), turn.group });
    return true;
}

// Returns whether enough disks have the turn. Tries again at once if this node's roster was outdated.
bool RecordClient::storeOnDisks(StoreTurnRequest& request, TimePoint deadline)
{
    auto enough
        = [this](const Answers& answersSoFar) { return enoughCopies(answersSoFar.accepted, this->settings.tolerance); };
    for (TimePoint now = this->parts.clock.now(); now < deadline; now = this->parts.clock.now()) {
        Roster roster = this->roster();
        request.epoch = roster.epoch;
        auto replicas = replicasOf(roster, request.turn.group, this->settings.tolerance);
        Duration timeout = std::min<Duration>(deadline - now, storeTimeout);
        Answers answers = this->askReplicas(roster, replicas, request, Fanout { timeout }, enough);
        if (answers.answered < majorityOf(replicas.size()))
            this->recordRoundResult(answers, false, false);
        if (enough(answers))
            return true;
        if (!answers.epochOutdated)
            return false;
    }
    return false;
}

Conversation RecordClient::readConversation(
    const std::string& id, const std::string& program, TimePoint deadline, const ReserveMemory& reserve)
{
    Conversation result;
    std::vector<std::string> texts; // newest first
    std::map<std::string, StoredTurn> fetched;
    std::string next = id;
    std::size_t bytes = 0;
    while (!next.empty()) {
        auto turn = this->cache.find(next);
        if (auto found = fetched.extract(next); !turn && !found.empty()) {
            StoredTurn stored = std::move(found.mapped());
            std::string text = textOf(stored);
            turn = CachedTurn { std::move(stored.id), std::move(stored.previous), std::move(text),
                std::move(stored.group) };
            this->cache.add(*turn);
        }
        if (turn) {
            if (!reserve(2 * turn->text.size())) {
                result.status = ConversationStatus::NoMemory;
                return result;
            }
            bytes += turn->text.size() + turnOverheadBytes;
            if (bytes > maxConversationBytes) {
                result.status = ConversationStatus::TooLong;
                return result;
            }
            if (next == id)
                result.group = turn->group;
            texts.push_back(std::move(turn->text));
            next = turn->previous;
            continue;
        }
        bool absent = false;
        const std::string& group = result.group.empty() ? program : result.group;
        if (this->readMissing(next, group, deadline, fetched, absent))
            continue;
        // Only the requested turn may be reported as absent. A missing earlier turn is a copy that is currently
        // unreachable.
        result.status = absent && next == id ? ConversationStatus::Absent : ConversationStatus::Unavailable;
        result.retryAfter = this->callerRetryDelay();
        LogLine(LogLevel::Info, "turn_not_found")
            .field("turn", next)
            .field("previous", id)
            .field("absent", absent)
            .field("epoch", this->roster().epoch)
            .write();
        return result;
    }
    result.status = ConversationStatus::Found;
    result.turns = texts.size();
    result.text.reserve(bytes - texts.size() * turnOverheadBytes);
    for (; !texts.empty(); texts.pop_back())
        result.text += texts.back();
    return result;
}

// Reads the turn `id` and the turns that it continues, first from the replicas of `group`, the near ones before the
// others, then from all members, then from the platform. Sets `absent` if every possible holder reports that it does
// not have the turn.
bool RecordClient::readMissing(const std::string& id, const std::string& group, TimePoint deadline,
    std::map<std::string, StoredTurn>& found, bool& absent)
{
    for (int round = 0; round < maxRosterChangesPerRead; ++round) {
        Roster roster = this->roster();
        auto replicas = replicasOf(roster, group, this->settings.tolerance);
        std::vector<const RosterMember*> nearReplicas;
        std::copy_if(replicas.begin(), replicas.end(), std::back_inserter(nearReplicas),
            [this](const RosterMember* member) { return member->dataCentre == this->settings.dataCentre; });
        for (const auto& members : { nearReplicas, replicas }) {
            if (!members.empty())
                this->readFrom(roster, members, id, replicaReadTimeout, found);
            if (found.count(id) > 0)
                return true;
        }
        std::vector<const RosterMember*> all;
        for (const RosterMember& member : roster.members)
            all.push_back(&member);
        Duration timeout = std::min<Duration>(deadline - this->parts.clock.now(), readTimeout);
        Answers answers = this->readFrom(roster, all, id, timeout, found);
        if (found.count(id) > 0)
            return true;
        if (answers.epochOutdated)
            continue; // members that joined since may hold the turn
        StoredTurn turn;
        TurnRead read = this->platform.readTurn(id, turn);
        if (read == TurnRead::Found) {
            found.emplace(id, std::move(turn));
            return true;
        }
        if (read != TurnRead::Absent || all.empty() || answers.complete != all.size())
            return false;
        // The members that answered may be as outdated as this node.
        auto newest = rosterOf(this->parts.store.get(rosterKey));
        absent = newest && newest->epoch == roster.epoch;
        if (absent || !newest)
            return false;
        this->adoptIfNewer(*newest);
    }
    return false;
}

// Requests a turn from the members until one returns it, and adds all returned turns to `found`.
RecordClient::Answers RecordClient::readFrom(const Roster& known, const std::vector<const RosterMember*>& members,
    const std::string& id, Duration timeout, std::map<std::string, StoredTurn>& found)
{
    auto anyFound = [](const Answers& answersSoFar) { return !answersSoFar.accepted.empty(); };
    Answers answers = this->askReplicas(known, members, ReadChainRequest { id }, Fanout { timeout }, anyFound);
    for (RecordResponse& response : answers.responses) {
        for (StoredTurn& turn : response.turns) {
            std::string turnId = turn.id;
            found.emplace(std::move(turnId), std::move(turn));
        }
    }
    return answers;
}

} // namespace lovagecross
