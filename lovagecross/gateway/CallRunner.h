#pragma once

// Runs one call: finds its route, prepares a conversation turn, sends the request to backend servers until one responds
// or no further attempt is allowed, and writes the response to the caller.
//
//     CallRunner runner(parts, caller, head, body, receivedAt);
//     if (runner.run() == AfterCall::Close)
//         ... close the caller's connection ...
//
// The route's kind alone decides what may be retried:
//  - if no byte was sent, or the server confirmed that it did not run the call, another server is tried;
//  - if the outcome is unknown, only safe calls are sent again, and only resumable streams continue on another server,
//    after the last event that the caller has received.
// A server that is silent is a reason to continue a resumable stream elsewhere, not to end it: without another server,
// or attempt, the call waits until its deadline.
// The same holds for calls that are sent through another node, which runs them as a whole: it chooses the server, holds
// the permit and reserves the tokens. A call that came from another node is never passed on to a third one.
// A 503 response is sent only if the call has not run and will not run.
//
// Thread safety: not synchronized; one thread runs the call.

#include "lovagecross/crashes/CallFingerprint.h"
#include "lovagecross/crashes/CrashTable.h"
#include "lovagecross/gateway/CrashEvidence.h"
#include "lovagecross/gateway/EventStream.h"
#include "lovagecross/gateway/GatewayContext.h"
#include "lovagecross/gateway/ServerExchange.h"
#include "lovagecross/gateway/SilencePolicy.h"
#include "lovagecross/http/ByteStream.h"
#include "lovagecross/http/MessageHead.h"
#include "lovagecross/spill/SpillControl.h"

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lovagecross {

class LogLine;

namespace detail {

inline constexpr int statusUnauthorized = 401;
inline constexpr Duration minTimeToSend = std::chrono::milliseconds(5); // with less time left, a call is not sent
inline constexpr Duration minServerRetryInterval
    = std::chrono::milliseconds(100); // of a stream that waits for a server

} // namespace detail

enum class AfterCall {
    KeepOpen,
    Close,
};

// What a call does when its server has been silent for too long.
enum class SilenceDecision {
    Moves, // continues at another server
    NoOtherServer, // waits, as no other server can take the stream now
    LastAttempt, // waits, as no other server may run the call
    LeavesUnreachable, // leaves a server that can't be reached for any other one: the caller has received nothing
};

inline constexpr NameTable<SilenceDecision, 4> silenceDecisionNames { { {
    { SilenceDecision::Moves, "moves" },
    { SilenceDecision::NoOtherServer, "no_other_server" },
    { SilenceDecision::LastAttempt, "last_attempt" },
    { SilenceDecision::LeavesUnreachable, "leaves_unreachable" },
} } };

class CallRunner {
public:
    // `requestBody` is the complete body. `receivedAt` is when the last byte of the head arrived.
    CallRunner(GatewayContext& shared, ByteStream& callerStream, const RequestHead& requestHead,
        std::string requestBody, TimePoint receivedAt, CallOrigin callOrigin = CallOrigin::Caller);
    ~CallRunner();
    CallRunner(const CallRunner&) = delete;
    CallRunner& operator=(const CallRunner&) = delete;

    AfterCall run();

    const std::string& requestId() const { return this->call.requestId; }

private:
    // State of the call after an attempt.
    enum class AttemptOutcome {
        Completed, // the complete response was written
        Truncated, // part of the response was written and the rest can't be sent
        CallerLeft, // the caller closed the connection
        TryNextServer, // another server may be tried
        GiveUp, // the call may have run and must not be sent again
        OutOfMemory, // the call has run, and this node has no memory for the answer
        Refused, // a refusal was written
    };

    AfterCall runCall();
    AfterCall runRouted(const Route& route);
    AfterCall finish(AttemptOutcome outcome);

    // Through another node, in CallRunnerRelay.cpp
    bool mustRelay(const Route& route) const;
    bool needsRecords(const Route& route) const;
    bool mayFallBackToRelay(const Route& route, AttemptOutcome outcome) const;
    std::optional<DeclineReason> reasonToDecline() const;
    AfterCall declineRelayedCall(DeclineReason reason);
    std::string describeOtherNodes() const;
    AttemptOutcome relay(const Route& route);
    AttemptOutcome relayThrough(const Route& route, const RelayNode& node);
    AttemptOutcome forwardRelayedResponse(const Route& route, ServerExchange& exchange);
    AttemptOutcome forwardRelayedStream(ServerExchange& exchange);
    void learnFromRelay(const ServerExchange& exchange, TimePoint sentAt);
    void addRelayFields(HeaderList& headers) const;

    // The caller's tenant, in CallRunnerTenant.cpp
    std::optional<AfterCall> identifyTenant(const Route& route);
    bool keysOutdated() const;
    bool keyWasRevoked() const;
    std::optional<AfterCall> refuseOverQuota(const Route& route);
    std::uint32_t priorityOn(const Route& route) const;
    std::string scoped(const std::string& id) const;

    // New programs, in CallRunnerPrograms.cpp
    bool beginsProgram(const Route& route) const;
    NewProgram newProgram(const Route& route) const;
    std::optional<AfterCall> waitToBegin(const Route& route);

    // Calls that end servers, in CallRunnerCrashes.cpp
    CallContent content() const;
    const std::string& fingerprint();
    bool mayBeMarked() const;
    std::optional<AfterCall> refuseQuarantined(const Route& route);
    std::optional<AttemptOutcome> withholdQuarantined(const ServerEntry& server);
    AfterCall refuseAsEndingServers(const CrashFinding& finding);
    bool hasServerOfAnotherVersion(const std::string& serviceName, const std::set<std::string>& versions) const;
    void noteLostRun(const ServerEntry& server, TimePoint lostAt, LossKind kind);
    bool mustStopAttempts();
    void noteAnswered();

    // Silent servers, in CallRunnerSilence.cpp
    void noteProgress(TimePoint now);
    Duration usualSilence() const;
    TimePoint waitUntil() const;
    bool leavesSilentServer(const ServerEntry& server);
    bool prepareSuccessor();
    bool hasUntriedServer() const;
    bool mayFindServer(const std::vector<ServerEntry>& servers) const;
    AttemptOutcome waitBeforeNextTry(const std::vector<ServerEntry>& servers);
    bool waitOrCallerLeaves(Duration wait);
    bool serverListTooOld() const;
    void logSilence(const ServerEntry& server, const SilentStream& stream, SilenceDecision decision);

    void selectService(const std::string& name);
    bool routeNames(const Route& route, const std::string& name) const;
    AttemptOutcome runAttempts(const Route& route);
    bool maySendAgain() const;
    ChoiceRequest choiceRequest() const;
    void askToLeaveDataCentre();
    void countDataCentre(const ServerEntry& server);
    std::optional<ServerEntry> chooseServer(const ChoiceRequest& request, const std::vector<ServerEntry>& servers);
    std::optional<ServerEntry> chooseAndCount(const ChoiceRequest& request, const std::vector<ServerEntry>& servers);
    void endCount(const ServerEntry& server, AttemptEnd outcome, Duration taken = Duration(0));
    std::set<std::string> serversToSkip(const std::vector<ServerEntry>& servers);
    bool obtainPermit(const ServerEntry& server);
    void noteDeniedPermit(Duration retryAfter);
    AttemptOutcome runAttemptIfPermitted(const Route& route, const ServerEntry& server);
    AttemptOutcome runAttempt(const Route& route, const ServerEntry& server);
    void noteLeavingServer(const ServerEntry& server);
    AttemptOutcome handleFailedExchange(const Route& route, ExchangeStatus end);
    AttemptOutcome handleResponse(const Route& route, ServerExchange& exchange, const ServerEntry& server);
    AttemptOutcome forwardBufferedResponse(const Route& route, ServerExchange& exchange);
    AttemptOutcome forwardStream(const Route& route, ServerExchange& exchange, const ServerEntry& server);
    std::optional<AttemptOutcome> forwardEvents(EventSplitter& splitter);
    bool writeEvents(std::string_view events, std::uint64_t count);
    AttemptOutcome finishStream(const Route& route);
    bool acceptEvent(const StreamEvent& event, bool& duplicate);
    bool mayRetry(const Route& route, ExchangeStatus end) const;

    std::optional<AfterCall> prepareTurn(const Route& route);
    std::optional<AfterCall> loadConversation();
    AfterCall refuseConversation();
    bool prependConversation(std::string text);
    std::string takeTurnInput();
    ExchangeStatus readAnswer(ServerExchange& exchange, std::string& content, BufferReservation& memory);
    ExchangeStatus reserveForAnswer(const Framing& framing, std::string& content, BufferReservation& memory);
    bool turnFits() const;
    bool keepTurn(const Route& route);
    std::optional<AfterCall> reserveTokens(const Route& route, const StreamOrigin& origin);
    std::optional<AfterCall> findOrigin(const Route& route);
    AttemptOutcome recordOrigin(const Route& route, const ServerEntry& server);
    bool originIsRecorded(const ServerEntry& server) const;
    StreamOrigin nextOrigin(const ServerEntry& server) const;
    bool recordNextOrigin(const ServerEntry& server);
    GrantRequest makeGrantRequest(const Route& route, const StreamOrigin& origin) const;
    bool isTakeUp() const { return this->call.lastEventId.has_value(); }
    bool versionIsFixed() const { return this->isTakeUp() || this->headWritten; }
    void settleTokens();

    ServerRequest makeRequest(const Route& route, const ServerEntry& server) const;
    // The caller gets `detail` after the reason; the log line has only the reason.
    AfterCall refuse(int status, std::string_view reason, std::optional<Duration> retryAfter = std::nullopt,
        std::string_view detail = {});
    AfterCall finishFailedCall();
    AfterCall finishWithoutMemory();
    AfterCall finishBrokenStream();
    AfterCall finishAfterError(std::string_view error);
    AttemptOutcome writeResponse(const ResponseHead& head, std::string_view content);
    bool writeStreamHead();
    static HeaderList forwardedFields(const ResponseHead& response);
    void addConnectionFields(HeaderList& headers) const;
    bool mustClose() const;
    bool write(std::string_view bytes);
    void logCall(std::string_view outcome, int status);
    void addAttemptFields(LogLine& line) const;
    Duration timeLeft() const;

    GatewayContext& parts;
    ByteStream& caller;
    const RequestHead& head;
    std::string body;
    const TimePoint receivedAt;
    const CallOrigin callOrigin;
    const std::shared_ptr<const DirectoryView> view; // keeps `route` alive when the configuration changes
    Call call;
    TimePoint deadline;
    const Route* route = nullptr;
    const TenantEntry* tenant = nullptr; // in the configuration of `view`; nullptr if callers need no key
    std::string callFingerprint; // empty until it is needed
    std::optional<CrashFinding> quarantine; // set if the call may only run on a server of another version
    std::uint32_t lostRuns = 0; // attempts whose connection was lost
    LossKind lastLoss = LossKind::Closed;
    bool answeredWhole = false; // by the server
    std::string service; // of the route's services, the one that this call goes to
    bool wroteToCaller = false;
    std::optional<AfterCall> refusal; // after AttemptOutcome::Refused
    bool closeAfterCall = false; // so that the caller's next call can reach another node
    std::optional<GateDecision> gateDecision; // the last one, if the call begins a program
    Duration heldBack { 0 }; // how long the gate made the call wait
    std::string conversationGroup; // of the preceding turns
    std::size_t inputStart = 0; // in `body`, after the preceding conversation
    std::size_t conversationBytes = 0; // reserved in the memory account

    // Attempts so far
    SpillPermit spillPermit; // to run in another data centre
    std::optional<LeaveCause> leftBecause; // of the last send to another data centre
    std::set<std::string> triedServers;
    std::set<std::string> failedServers; // of those, the ones that broke off or answered with an error
    std::vector<ServerEntry> countedAt; // servers that count a running call of this one
    std::optional<ServerEntry> successor; // continues the stream; has its permit
    std::uint32_t sends = 0;
    bool relayTried = false; // the call may have been sent to another node
    std::optional<RelayKnowledge> otherNodes; // why none of them took the call
    std::uint32_t mayHaveRun = 0; // sends after which the server may have run the call
    std::uint32_t refusals = 0; // sends that the server confirmed it did not run
    std::uint32_t deniedPermits = 0;
    std::optional<Duration> nextPermitIn; // set if a server was passed over because its rate limit was reached
    std::string lastServer;
    std::optional<ChoiceReason> lastChoice; // why the last server was chosen
    std::int64_t lastServerStarted = 0;
    std::string lastVersion; // software version of that server
    std::string lastFailure;
    BreakCause breakCause = BreakCause::Server; // unless the deadline has passed
    TimePoint firstSendAt;

    // Response stream so far
    std::optional<ResponseHead> streamHead;
    bool headWritten = false;
    std::optional<std::uint64_t> lastEventId;
    std::uint64_t eventsWritten = 0;
    std::uint64_t resumptions = 0;
    StreamOrigin origin; // as recorded; only servers of its version may continue the stream
    std::string turnOutput; // event data to store with the turn
    TimePoint silentSince; // the last event, or when the request was sent
    TimePoint nextSilenceCheck;
    bool silenceLogged = false;
    Duration serverRetryInterval = detail::minServerRetryInterval; // until the next wait for a server ends
    // From the last event to the end of the response, including the durable write of the turn.
    std::optional<Duration> completionDelay;

    // Token budget
    std::optional<GrantRequest> grant;
    std::uint32_t tokensPerEvent = 1;
    bool servedByEngine = false; // the servers of the call's service are model engines
};

} // namespace lovagecross
