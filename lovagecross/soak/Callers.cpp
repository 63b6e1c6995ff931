#include "lovagecross/soak/Callers.h"

#include "lovagecross/base/Hash.h"
#include "lovagecross/http/MessageHead.h"
#include "platform/HeaderNames.h"

#include <thread>
#include <utility>

namespace lovagecross::soak {

namespace {

constexpr int budgetTurns = 6;
constexpr int turnTokens = eventsPerTurn * tokensPerEvent;
constexpr int maxProgramTurns = 9;
constexpr auto answerSlack = std::chrono::milliseconds(500); // after the deadline
constexpr auto crossingTime = std::chrono::milliseconds(300); // in which a request meets the close of its connection
constexpr std::uint64_t maxIdleMillis = 500; // of an open connection between requests
constexpr int statusBudgetSpent = 402;
constexpr int statusQuarantined = 400; // no caller of the soak sends a malformed request

std::string absentMessage(const std::string& id, const std::string& previous)
{
    std::string message = "turn ";
    message += id;
    message += " was told that this turn does not exist: ";
    message += previous;
    return message;
}

// The events of a stream in their order; false when one is missing, doubled or another request's.
bool checkEvents(const std::string& answer, const std::string& id, int& events)
{
    events = 0;
    for (std::size_t at = answer.find("data: "); at != std::string::npos; at = answer.find("data: ", at + 1)) {
        std::string data = answer.substr(at + 6, answer.find('\n', at) - at - 6);
        if (data != eventData(id, ++events))
            return false;
    }
    return true;
}

} // namespace

Callers::Callers(std::vector<std::string> entryAddresses, const CallerSettings& callerSettings, RunLedger& runs,
    const FaultLog& faults, Findings& broken)
    : entries(std::move(entryAddresses))
    , settings(callerSettings)
    , faultLog(faults)
    , ledger(runs)
    , findings(broken)
{
}

void Callers::run(std::uint64_t seed, bool keepsConnection, const std::atomic<bool>& stopping)
{
    Caller caller { std::mt19937_64(seed), {}, keepsConnection };
    while (!stopping)
        this->runProgram(caller);
}

std::string Callers::newId(std::mt19937_64& random)
{
    char text[20];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

void Callers::runProgram(Caller& caller)
{
    std::mt19937_64& random = caller.random;
    std::string program = this->newId(random);
    std::string conversation;
    std::string previous;
    int delivered = 0;
    int budget = budgetTurns * turnTokens;
    for (int turnNumber = 0; turnNumber < maxProgramTurns; ++turnNumber) {
        std::string input = "input " + std::to_string(turnNumber) + " of " + program + ";";
        std::string id;
        Answer answer = this->turn(caller, program, previous, conversation, input, id, budget);
        delivered += answer.events * tokensPerEvent;
        if (answer.outcome == Outcome::Spent)
            break;
        if (answer.outcome == Outcome::Absent)
            this->findings.add("kept turns", absentMessage(id, previous));
        if (answer.outcome == Outcome::Served) {
            conversation += input;
            for (int event = 1; event <= eventsPerTurn; ++event) {
                conversation += eventData(id, event);
                conversation += '\n';
            }
            previous = id;
        } else {
            std::this_thread::sleep_for(std::chrono::milliseconds(100 + random() % 300));
        }
        this->plainCall(caller, random() % 2 == 0);
    }
    if (delivered > budget + turnTokens)
        this->findings.add("budget",
            "program " + program + " was sent " + std::to_string(delivered) + " of " + std::to_string(budget)
                + " tokens");
}

Callers::Answer Callers::turn(Caller& caller, const std::string& program, const std::string& previous,
    const std::string& conversation, const std::string& input, std::string& id, int budget)
{
    id = this->newId(caller.random);
    HeaderList fields;
    fields.add(platform::programField, program);
    fields.add(platform::sessionField, program);
    fields.add(platform::budgetField, std::to_string(budget));
    fields.add(platform::tokensField, "10," + std::to_string(turnTokens));
    fields.add(bodyHashField, std::to_string(stableHash(conversation + input)));
    if (!previous.empty())
        fields.add(platform::previousTurnField, previous);
    return this->send(caller, "/turns/", id, input, std::move(fields));
}

void Callers::plainCall(Caller& caller, bool safe)
{
    std::string id = this->newId(caller.random);
    this->send(caller, safe ? "/safe/" : "/unsafe/", id, "body", {});
    if (!safe && this->ledger.runs(id) > 1)
        this->findings.add(
            "at most once", "request " + id + " ran " + std::to_string(this->ledger.runs(id)) + " times");
}

Callers::Outcome Callers::classify(int status, const std::string& id)
{
    if (status == 503 || status == 429 || status == 408 || status == 421 || status == statusBudgetSpent) {
        ++this->counts.refused;
        std::lock_guard lock(this->mutex);
        this->refusedIds.push_back(id);
        return status == statusBudgetSpent ? Outcome::Spent : Outcome::NotRun;
    }
    ++this->counts.unknown;
    if (status == statusQuarantined)
        this->findings.add("sound calls", "request " + id + " was refused with 400");
    return status == 404 ? Outcome::Absent : Outcome::Unknown;
}

std::string Callers::chooseNode(Caller& caller)
{
    if (caller.keepsConnection)
        std::this_thread::sleep_for(std::chrono::milliseconds(caller.random() % maxIdleMillis));
    caller.connection.closeIfEnded();
    const std::string& open = caller.connection.openTo();
    return open.empty() ? this->entries[caller.random() % this->entries.size()] : open;
}

Callers::Answer Callers::send(
    Caller& caller, const std::string& path, const std::string& id, const std::string& body, HeaderList fields)
{
    ++this->counts.calls;
    std::string node = this->chooseNode(caller);
    fields.add("Host", "soak.example");
    fields.add(platform::requestIdField, id);
    fields.add(platform::deadlineField, std::to_string(this->settings.callTime.count()));
    if (!caller.keepsConnection)
        fields.add("Connection", "close");
    fields.add("Content-Length", std::to_string(body.size()));
    std::string request = printRequestHead("POST", path + 'x', fields) + body;
    auto response = caller.connection.exchange(node, request, this->settings.callTime + answerSlack);
    if (!caller.keepsConnection)
        caller.connection.close();
    if (!response) {
        ++this->counts.unknown;
        return {};
    }
    if (!response->complete)
        this->noteCut(node, id, *response);
    return this->check(*response, path == "/turns/", id);
}

Callers::Answer Callers::check(const RawResponse& response, bool streamed, const std::string& id)
{
    Answer result;
    const std::string& bytes = response.bytes;
    int status = bytes.size() > 12 ? std::atoi(bytes.c_str() + 9) : 0;
    if (status != 200) {
        result.outcome = this->classify(status, id);
        return result;
    }
    if (streamed && !checkEvents(bytes, id, result.events))
        this->findings.add("order", "request " + id + " got " + bytes);
    bool whole = streamed ? response.complete : bytes.find(plainAnswer(id)) != std::string::npos;
    if (!streamed && !whole)
        this->findings.add("own answer", "request " + id + " got " + bytes);
    if (whole && streamed && result.events != eventsPerTurn)
        this->findings.add(
            "whole answer", "request " + id + " ended after " + std::to_string(result.events) + " events");
    result.outcome = whole ? Outcome::Served : Outcome::Unknown;
    ++(whole ? this->counts.served : this->counts.unknown);
    return result;
}

// Why a response had no end, by what the soak knows.
Callers::CutReason Callers::reasonOfCut(const std::string& node, const std::string& id, const RawResponse& response)
{
    auto waited = response.ended - response.sent;
    bool crossed = response.bytes.empty() && waited < crossingTime && this->ledger.runs(id) == 0;
    if (crossed && this->faultLog.wasStopping(node, response.ended))
        return "crossed_close";
    if (auto fault = this->faultLog.find(node, response.sent, response.ended))
        return faultNames.name(*fault);
    if (!response.bytes.empty() && waited >= this->settings.callTime * 9 / 10)
        return "deadline";
    return noReason;
}

void Callers::noteCut(const std::string& node, const std::string& id, const RawResponse& response)
{
    CutReason reason = this->reasonOfCut(node, id, response);
    {
        std::lock_guard lock(this->mutex);
        ++this->cutsByNode[node][reason];
    }
    if (reason != noReason || !this->settings.cutsAreBroken)
        return;
    auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(response.ended - response.sent);
    this->findings.add("cut",
        "request " + id + " at " + node + " ended after " + std::to_string(waited.count()) + " ms with "
            + std::to_string(response.bytes.size()) + " bytes and no end");
}

Callers::CutCounts Callers::cuts() const
{
    std::lock_guard lock(this->mutex);
    return this->cutsByNode;
}

void Callers::checkRefusals()
{
    std::lock_guard lock(this->mutex);
    for (const std::string& id : this->refusedIds) {
        if (this->ledger.runs(id) > 0)
            this->findings.add("not run", "request " + id + " was refused as not run and has run");
    }
}

} // namespace lovagecross::soak
