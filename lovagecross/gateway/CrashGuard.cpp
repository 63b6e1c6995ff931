#include "lovagecross/gateway/CrashGuard.h"

#include "lovagecross/adapters/Log.h"
#include "lovagecross/crashes/CallFingerprint.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <thread>
#include <utility>

namespace lovagecross {

namespace {

constexpr Duration clarityPollInterval = std::chrono::milliseconds(10);
constexpr Duration expiryInterval = std::chrono::seconds(10);

// The registry's entry with this id among the servers of the service.
std::optional<ServerEntry> listedEntry(const DirectoryView& view, const ServerEntry& server)
{
    for (const ServerEntry& entry : view.serversOf(server.service)) {
        if (entry.id == server.id)
            return entry;
    }
    return std::nullopt;
}

} // namespace

CrashGuard::CrashGuard(const Clock& givenClock, CrashLedger& sharedLedger, const Directory& servers,
    ConnectionPool& connections, std::string ownNode)
    : clock(givenClock)
    , ledger(sharedLedger)
    , directory(servers)
    , pool(connections)
    , node(std::move(ownNode))
{
}

bool CrashGuard::mustStop(const std::string& fingerprint) const
{
    TimePoint until = this->clock.now() + clarityTime;
    EndCount count = this->countEnds(fingerprint);
    while (count.ended < endsToStop && count.ended + count.unclear >= endsToStop && this->clock.now() < until) {
        std::this_thread::sleep_for(clarityPollInterval);
        this->probeUnclear(fingerprint);
        count = this->countEnds(fingerprint);
    }
    return count.ended >= endsToStop;
}

CrashGuard::EndCount CrashGuard::countEnds(const std::string& fingerprint) const
{
    EndCount count { this->ledger.find(fingerprint).ends, 0 };
    std::lock_guard lock(this->mutex);
    TimePoint now = this->clock.now();
    for (const WatchedLoss& loss : this->watched) {
        if (loss.fingerprint != fingerprint)
            continue;
        LostRun run = this->describe(loss, now);
        if (looksEnded(run))
            ++count.ended;
        else if (!run.answered && run.kind == LossKind::Closed)
            ++count.unclear;
    }
    return count;
}

// Opens one more connection to each server that was lost under the call and accepted the last one.
void CrashGuard::probeUnclear(const std::string& fingerprint) const
{
    std::vector<ServerEntry> servers;
    {
        std::lock_guard lock(this->mutex);
        for (const WatchedLoss& loss : this->watched) {
            bool unclear = loss.kind == LossKind::Closed && !looksEnded(this->describe(loss, this->clock.now()));
            if (loss.fingerprint == fingerprint && unclear)
                servers.push_back(loss.server);
        }
    }
    for (const ServerEntry& server : servers)
        this->pool.findContact(server, this->clock.now(), this->clock.now() + probeTime);
}

void CrashGuard::lost(const std::string& fingerprint, const LostConnection& loss, TimePoint deadline)
{
    auto entry = listedEntry(*this->directory.view(), loss.server);
    bool leaves = !entry || entry->state != ServerState::Ready;
    if (leaves)
        return;
    if (loss.kind == LossKind::Closed)
        this->pool.findContact(loss.server, loss.at, std::min(deadline, this->clock.now() + probeTime));
    std::lock_guard lock(this->mutex);
    if (this->watched.size() >= maxWatched)
        return;
    // Callers that leave are many: mostly the server is heard again before the last probe.
    std::size_t probes = loss.kind == LossKind::Abandoned ? probeTimes.size() - 1 : 1;
    this->watched.push_back({ fingerprint, loss.server, loss.at, loss.kind, probes });
    this->watchedCount = this->watched.size();
}

void CrashGuard::heard(const ServerEntry& server, TimePoint sentAt)
{
    if (this->watchedCount == 0)
        return;
    std::lock_guard lock(this->mutex);
    TimePoint& last = this->signsOfLife[server.id].requestSentAt;
    last = std::max(last, sentAt);
}

void CrashGuard::heardMore(const ServerEntry& server)
{
    if (this->watchedCount == 0)
        return;
    std::lock_guard lock(this->mutex);
    this->signsOfLife[server.id].bytesAt = this->clock.now();
}

bool CrashGuard::release(const std::string& fingerprint, CrashSource source)
{
    std::vector<CrashNotice> news = this->ledger.learn({ releaseNotice(fingerprint, this->node) }, source);
    bool isNews = !news.empty();
    std::lock_guard lock(this->mutex);
    std::erase_if(this->watched, [&](const WatchedLoss& loss) { return loss.fingerprint == fingerprint; });
    this->watchedCount = this->watched.size();
    std::move(news.begin(), news.end(), std::back_inserter(this->unreported));
    return isNews;
}

std::vector<CrashNotice> CrashGuard::step()
{
    if (!this->knowsAny())
        return {};
    std::vector<CrashNotice> found;
    std::vector<CrashNotice> news;
    std::optional<WatchedLoss> unconfirmed;
    for (const ServerEntry& server : this->takeDueProbes())
        this->pool.findContact(server, this->clock.now(), this->clock.now() + probeTime);
    {
        std::lock_guard lock(this->mutex);
        news = std::exchange(this->unreported, {});
        TimePoint now = this->clock.now();
        if (now - this->expiredAt >= expiryInterval) {
            this->expiredAt = now;
            this->ledger.removeExpired();
        }
        for (auto it = this->watched.begin(); it != this->watched.end();) {
            LostRun run = this->describe(*it, now);
            EndEvidence evidence = endEvidence(run);
            if (evidence == EndEvidence::Pending) {
                if (looksEnded(run) && !run.othersReached)
                    unconfirmed = *it;
                ++it;
                continue;
            }
            this->logDecision(*it, run, evidence);
            if (evidence == EndEvidence::Ended)
                found.push_back({ it->server.id, it->server.startedUnixMillis, it->server.softwareVersion, this->node,
                    { it->fingerprint }, run.age });
            it = this->watched.erase(it);
        }
        this->watchedCount = this->watched.size();
        if (this->watched.empty())
            this->signsOfLife.clear();
    }
    if (unconfirmed)
        this->reachAnotherServer(*unconfirmed);
    std::vector<CrashNotice> ends = this->ledger.learn(found, CrashSource::Own);
    std::move(ends.begin(), ends.end(), std::back_inserter(news));
    return news;
}

// The servers to which to open one more connection, each once.
std::vector<ServerEntry> CrashGuard::takeDueProbes()
{
    std::map<std::string, ServerEntry> due;
    std::lock_guard lock(this->mutex);
    TimePoint now = this->clock.now();
    for (WatchedLoss& loss : this->watched) {
        if (loss.probes == probeTimes.size() || now - loss.lostAt < probeTimes[loss.probes])
            continue;
        ++loss.probes;
        LostRun run = this->describe(loss, now);
        if (!run.refused && !run.answered && run.kind != LossKind::Silent)
            due.emplace(loss.server.id, loss.server);
    }
    std::vector<ServerEntry> servers;
    servers.reserve(due.size());
    for (const auto& [id, server] : due)
        servers.push_back(server);
    return servers;
}

// Opens a connection to the next server, another one at each call.
void CrashGuard::reachAnotherServer(const WatchedLoss& loss)
{
    auto view = this->directory.view();
    std::vector<const ServerEntry*> others;
    for (const auto& [service, servers] : view->servers) {
        for (const ServerEntry& server : servers) {
            if (server.id != loss.server.id && server.state == ServerState::Ready)
                others.push_back(&server);
        }
    }
    if (!others.empty())
        this->pool.findContact(
            *others[this->serversTried++ % others.size()], loss.lostAt, this->clock.now() + probeTime);
}

LostRun CrashGuard::describe(const WatchedLoss& loss, TimePoint now) const
{
    LostRun run;
    run.age = now - loss.lostAt;
    run.kind = loss.kind;
    run.refused = this->pool.refusedSince(loss.server, loss.lostAt);
    run.closesNewConnections = this->pool.contactSince(loss.server, loss.lostAt) == ServerContact::Accepts
        && this->pool.closedAllIdle(loss.server.id);
    auto sign = this->signsOfLife.find(loss.server.id);
    run.answered = sign != this->signsOfLife.end()
        && (sign->second.requestSentAt >= loss.lostAt || sign->second.bytesAt >= loss.lostAt + readDelay);
    run.restarted = this->restarted(loss.server);
    run.othersReached = this->othersAnswered(loss.server.id, loss.lostAt)
        || this->pool.otherServerOpenedSince(loss.server.id, loss.lostAt);
    return run;
}

bool CrashGuard::restarted(const ServerEntry& server) const
{
    auto entry = listedEntry(*this->directory.view(), server);
    return entry && entry->startedUnixMillis > server.startedUnixMillis;
}

bool CrashGuard::othersAnswered(const std::string& serverId, TimePoint since) const
{
    return std::any_of(this->signsOfLife.begin(), this->signsOfLife.end(),
        [&](const auto& entry) { return entry.first != serverId && entry.second.requestSentAt >= since; });
}

void CrashGuard::logDecision(const WatchedLoss& loss, const LostRun& run, EndEvidence evidence) const
{
    LogLine(LogLevel::Info, "lost_run")
        .field("call", printFingerprint(loss.fingerprint))
        .field("server", loss.server.id)
        .field("started", loss.server.startedUnixMillis)
        .field("evidence", endEvidenceNames.name(evidence))
        .field("loss", lossKindNames.name(run.kind))
        .field("refused", run.refused)
        .field("closesNewConnections", run.closesNewConnections)
        .field("answered", run.answered)
        .field("restarted", run.restarted)
        .field("othersReached", run.othersReached)
        .field("ageMs", toMillis(run.age))
        .write();
}

} // namespace lovagecross
