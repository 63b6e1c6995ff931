#include "lovagecross/gateway/CallRunner.h"

// Calls that end the servers that run them: what makes two calls the same, when one is refused, and when it gets no
// further attempt.

#include "lovagecross/adapters/Log.h"
#include "lovagecross/base/Hash.h"
#include "lovagecross/gateway/CrashGuard.h"

#include <algorithm>

namespace lovagecross {

namespace {

constexpr int statusEndsServers = 400; // callers' libraries don't repeat such a request
constexpr std::string_view endsServersReason = "this request has ended the servers that ran it";

// A quarantined call may still run on servers of another software version, until this many servers have ended.
constexpr std::uint32_t endsWithoutTrial = CrashSettings {}.endsToQuarantine + 2;

} // namespace

CallContent CallRunner::content() const
{
    std::string_view received = std::string_view(this->body).substr(this->inputStart);
    return { this->head.method, this->head.target, this->call.model, this->call.previousTurn, received };
}

const std::string& CallRunner::fingerprint()
{
    if (this->callFingerprint.empty())
        this->callFingerprint = fingerprintOf(this->content());
    return this->callFingerprint;
}

// Whether servers may have ended under the call. Cheap if none has lately.
bool CallRunner::mayBeMarked() const
{
    return this->parts.crashes != nullptr && this->parts.crashes->knowsAny()
        && (this->lostRuns > 0 || this->parts.crashes->knowsPrefix(fingerprintPrefixOf(this->content())));
}

// Refuses a call before any server gets it, unless servers of a version run that it has not been tried with.
std::optional<AfterCall> CallRunner::refuseQuarantined(const Route& found)
{
    if (!this->mayBeMarked())
        return std::nullopt;
    CrashFinding finding = this->parts.crashes->find(this->fingerprint());
    if (finding.verdict != CrashVerdict::Quarantined)
        return std::nullopt;
    const std::string& serviceName = pickService(found, stableHash(this->call.requestId));
    if (finding.ends < endsWithoutTrial && this->hasServerOfAnotherVersion(serviceName, finding.versions)) {
        this->quarantine = std::move(finding);
        return std::nullopt;
    }
    return this->refuseAsEndingServers(finding);
}

// Decides once more right before an attempt: since the call arrived, it may have waited for a server, a permit or
// records. Returns std::nullopt if the server may get the call.
std::optional<CallRunner::AttemptOutcome> CallRunner::withholdQuarantined(const ServerEntry& server)
{
    if (!this->mayBeMarked())
        return std::nullopt;
    CrashFinding finding = this->parts.crashes->find(this->fingerprint());
    bool isTrial = finding.ends < endsWithoutTrial && finding.versions.count(server.softwareVersion) == 0;
    if (finding.verdict != CrashVerdict::Quarantined || isTrial)
        return std::nullopt;
    this->endCount(server, AttemptEnd::Withheld);
    this->lastFailure = "ends_servers";
    if (this->wroteToCaller || this->mayHaveRun > 0) {
        this->parts.counters.stoppedEarly.add();
        return AttemptOutcome::GiveUp;
    }
    this->refusal = this->refuseAsEndingServers(finding);
    return AttemptOutcome::Refused;
}

AfterCall CallRunner::refuseAsEndingServers(const CrashFinding& finding)
{
    this->parts.counters.quarantined.add();
    std::string servers;
    for (const std::string& server : finding.servers)
        servers += (servers.empty() ? "" : ",") + server;
    LogLine(LogLevel::Info, "quarantined")
        .field("request", this->call.requestId)
        .field("call", printFingerprint(this->fingerprint()))
        .field("ends", finding.ends)
        .field("servers", servers)
        .field("ageMs", toMillis(finding.age))
        .write();
    return this->refuse(statusEndsServers, endsServersReason);
}

bool CallRunner::hasServerOfAnotherVersion(const std::string& serviceName, const std::set<std::string>& versions) const
{
    const std::vector<ServerEntry>& servers = this->view->serversOf(serviceName);
    return std::any_of(servers.begin(), servers.end(), [&](const ServerEntry& server) {
        return server.state == ServerState::Ready && versions.count(server.softwareVersion) == 0;
    });
}

void CallRunner::noteLostRun(const ServerEntry& server, TimePoint lostAt, LossKind kind)
{
    if (this->parts.crashes == nullptr)
        return;
    ++this->lostRuns;
    this->parts.crashes->lost(this->fingerprint(), { server, lostAt, kind }, this->deadline);
}

// Whether another attempt would put one more server at risk.
bool CallRunner::mustStopAttempts()
{
    if (this->lostRuns == 0 || !this->parts.crashes->mustStop(this->fingerprint()))
        return false;
    this->lastFailure = "ends_servers";
    this->parts.counters.stoppedEarly.add();
    return true;
}

// A server ran the call whole and went on. Answers of other nodes are left to these.
void CallRunner::noteAnswered()
{
    this->answeredWhole = true;
    if (!this->relayTried && this->mayBeMarked())
        this->parts.crashes->answered(this->fingerprint());
}

} // namespace lovagecross
