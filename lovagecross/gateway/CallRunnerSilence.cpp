#include "lovagecross/gateway/CallRunner.h"

// Streams whose server sends nothing, and streams that have begun and have no server. Such a stream stays open until
// the call's deadline unless a server is found that may continue it.

#include "lovagecross/adapters/Log.h"
#include "lovagecross/gateway/SilencePolicy.h"

#include <algorithm>
#include <thread>

namespace lovagecross {

namespace {

using std::chrono::milliseconds;

constexpr Duration maxServerRetryInterval = milliseconds(800); // of a stream that waits for a server
constexpr Duration callerCheckInterval = milliseconds(50);
// Age of the server list up to which a stream is continued by the versions in it. Older lists are of a node that is out
// of step with the others, which may have seen servers come back with another version.
constexpr Duration maxListAgeToContinue = std::chrono::seconds(2);

} // namespace

// Called when the stream has made progress.
void CallRunner::noteProgress(TimePoint now)
{
    this->silentSince = now;
    this->silenceLogged = false;
    this->nextSilenceCheck = now + untilNextSilenceCheck({ Duration(0), this->usualSilence(), ServerContact::Unknown });
}

Duration CallRunner::usualSilence() const
{
    return this->eventsWritten == 0 ? this->route->targetLatency * 2 : this->route->targetEventGap * 3;
}

// When to stop waiting for bytes: to decide about a silent server, or because the call's time is over.
TimePoint CallRunner::waitUntil() const
{
    return this->route->resumable ? std::min(this->deadline, this->nextSilenceCheck) : this->deadline;
}

// Whether to end the exchange with a server that has sent no event for a while. Then either `successor` is set, or the
// caller has received nothing and any other server may be tried.
bool CallRunner::leavesSilentServer(const ServerEntry& server)
{
    TimePoint now = this->parts.clock.now();
    if (!this->route->resumable || now < this->nextSilenceCheck || now >= this->deadline)
        return false;
    SilentStream stream { now - this->silentSince, this->usualSilence(),
        this->parts.pool.contactSince(server, this->silentSince) };
    if (silenceAction(stream) == SilenceAction::Probe)
        stream.contact = this->parts.pool.findContact(server, this->silentSince, this->deadline);
    this->nextSilenceCheck = this->parts.clock.now() + untilNextSilenceCheck(stream);
    if (silenceAction(stream) != SilenceAction::Move || this->caller.peerClosed())
        return false;
    bool attemptsLeft = this->mayHaveRun + 1 < this->route->maxAttempts;
    SilenceDecision decision = attemptsLeft ? SilenceDecision::NoOtherServer : SilenceDecision::LastAttempt;
    if (attemptsLeft && this->prepareSuccessor())
        decision = SilenceDecision::Moves;
    else if (attemptsLeft && !this->headWritten && stream.contact == ServerContact::Unreachable
        && this->hasUntriedServer())
        decision = SilenceDecision::LeavesUnreachable;
    bool leaves = decision == SilenceDecision::Moves || decision == SilenceDecision::LeavesUnreachable;
    if (leaves || !this->silenceLogged)
        this->logSilence(server, stream, decision);
    return leaves;
}

// Chooses the server that continues the stream, before the silent one is left: one that accepts connections, with its
// permit, and of the recorded version. A stream without a successor is better off where it is.
bool CallRunner::prepareSuccessor()
{
    bool listTooOld = this->versionIsFixed() && this->serverListTooOld();
    if (listTooOld || !this->maySendAgain() || this->timeLeft() <= detail::minTimeToSend)
        return false;
    ChoiceRequest request = this->choiceRequest();
    request.usableOnly = true;
    auto current = this->parts.directory.view();
    std::optional<ServerEntry> chosen = this->chooseServer(request, current->serversOf(this->service));
    if (!chosen)
        return false;
    if (this->parts.pool.findContact(*chosen, this->silentSince, this->deadline) != ServerContact::Accepts) {
        this->endCount(*chosen, AttemptEnd::Failed);
        return false;
    }
    // Another version may be recorded only once no server of the former one can write any more.
    if (!this->originIsRecorded(*chosen) || this->caller.peerClosed()) {
        this->endCount(*chosen, AttemptEnd::Withheld);
        return false;
    }
    if (!this->obtainPermit(*chosen))
        return false;
    this->successor = std::move(chosen);
    return true;
}

bool CallRunner::serverListTooOld() const
{
    return this->parts.directory.registryAge() > maxListAgeToContinue;
}

bool CallRunner::hasUntriedServer() const
{
    auto current = this->parts.directory.view();
    const std::vector<ServerEntry>& servers = current->serversOf(this->service);
    return std::any_of(servers.begin(), servers.end(), [this](const ServerEntry& server) {
        return server.state == ServerState::Ready && this->triedServers.count(server.id) == 0;
    });
}

// Whether a server may still continue the stream: one of its version that has not broken off, or, with an old list, one
// that this node doesn't know.
bool CallRunner::mayFindServer(const std::vector<ServerEntry>& servers) const
{
    return this->serverListTooOld() || std::any_of(servers.begin(), servers.end(), [this](const ServerEntry& server) {
        return server.state == ServerState::Ready && server.softwareVersion == this->origin.softwareVersion
            && this->failedServers.count(server.id) == 0;
    });
}

// Called when no server can be chosen. Waits for one if the stream has begun: the list may be read anew, a server may
// have room again, or get a permit, or be reached. Returns TryNextServer if servers should be tried again.
CallRunner::AttemptOutcome CallRunner::waitBeforeNextTry(const std::vector<ServerEntry>& servers)
{
    if (!this->headWritten)
        return AttemptOutcome::GiveUp;
    if (!this->mayFindServer(servers)) {
        this->breakCause = BreakCause::NoServer;
        return AttemptOutcome::GiveUp;
    }
    Duration wait = std::max(this->serverRetryInterval, this->nextPermitIn.value_or(Duration(0)));
    this->serverRetryInterval = std::min(this->serverRetryInterval * 2, maxServerRetryInterval);
    this->nextPermitIn.reset();
    this->deniedPermits = 0;
    this->triedServers = this->failedServers;
    if (!this->waitOrCallerLeaves(wait))
        return AttemptOutcome::CallerLeft;
    return this->mustStopAttempts() ? AttemptOutcome::GiveUp : AttemptOutcome::TryNextServer;
}

// Waits, at most until the deadline. Returns false if the caller has left.
bool CallRunner::waitOrCallerLeaves(Duration wait)
{
    TimePoint until = std::min(this->deadline, this->parts.clock.now() + wait);
    for (TimePoint now = this->parts.clock.now(); now < until; now = this->parts.clock.now()) {
        std::this_thread::sleep_for(std::min(callerCheckInterval, until - now));
        if (this->caller.peerClosed())
            return false;
    }
    return true;
}

void CallRunner::logSilence(const ServerEntry& server, const SilentStream& stream, SilenceDecision decision)
{
    this->silenceLogged = true;
    this->parts.counters.silentServers.add();
    LogLine(LogLevel::Info, "silent_server")
        .field("request", this->call.requestId)
        .field("server", server.id)
        .field("decision", silenceDecisionNames.name(decision))
        .field("silenceMs", toMillis(stream.silence))
        .field("contact", serverContactNames.name(stream.contact))
        .field("events", this->eventsWritten)
        .field("mayHaveRun", this->mayHaveRun)
        .field("maxAttempts", this->route->maxAttempts)
        .field("registryAgeMs", toMillis(this->parts.directory.registryAge()))
        .write();
}

} // namespace lovagecross
