#include "lovagecross/soak/Callers.h"

#include "lovagecross/base/Hash.h"
#include "platform/HeaderNames.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <thread>
#include <utility>

namespace lovagecross::soak {

namespace {

constexpr int budgetTurns = 6;
constexpr int turnTokens = eventsPerTurn * tokensPerEvent;
constexpr int maxProgramTurns = 9;
constexpr int callMillis = 3000;
constexpr int statusBudgetSpent = 402;

// Reads until the connection ends or `complete`; what a broken connection left is returned.
std::string readAnswer(Poco::Net::StreamSocket& socket)
{
    std::string bytes;
    char buffer[4096];
    try {
        for (;;) {
            std::size_t end = bytes.find("\r\n\r\n");
            if (end != std::string::npos) {
                std::size_t length = bytes.find("Content-Length: ");
                bool chunked = length == std::string::npos || length > end;
                if (chunked && bytes.size() >= 5 && bytes.compare(bytes.size() - 5, 5, "0\r\n\r\n") == 0)
                    return bytes;
                if (!chunked && bytes.size() >= end + 4 + std::stoul(bytes.substr(length + 16)))
                    return bytes;
            }
            int count = socket.receiveBytes(buffer, sizeof(buffer));
            if (count <= 0)
                return bytes;
            bytes.append(buffer, static_cast<std::size_t>(count));
        }
    } catch (const Poco::Exception&) {
        return bytes;
    }
}

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

Callers::Callers(std::vector<std::string> entryAddresses, RunLedger& runs, Findings& broken)
    : entries(std::move(entryAddresses))
    , ledger(runs)
    , findings(broken)
{
}

void Callers::run(std::uint64_t seed, const std::atomic<bool>& stopping)
{
    std::mt19937_64 random(seed);
    while (!stopping)
        this->runProgram(random);
}

std::string Callers::newId(std::mt19937_64& random)
{
    char text[20];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

void Callers::runProgram(std::mt19937_64& random)
{
    std::string program = this->newId(random);
    std::string conversation;
    std::string previous;
    int delivered = 0;
    int budget = budgetTurns * turnTokens;
    for (int turnNumber = 0; turnNumber < maxProgramTurns; ++turnNumber) {
        std::string input = "input " + std::to_string(turnNumber) + " of " + program + ";";
        std::string id;
        Answer answer = this->turn(random, program, previous, conversation, input, id, budget);
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
        this->plainCall(random, random() % 2 == 0);
    }
    if (delivered > budget + turnTokens)
        this->findings.add("budget",
            "program " + program + " was sent " + std::to_string(delivered) + " of " + std::to_string(budget)
                + " tokens");
}

Callers::Answer Callers::turn(std::mt19937_64& random, const std::string& program, const std::string& previous,
    const std::string& conversation, const std::string& input, std::string& id, int budget)
{
    id = this->newId(random);
    HeaderList fields;
    fields.add(platform::programField, program);
    fields.add(platform::sessionField, program);
    fields.add(platform::budgetField, std::to_string(budget));
    fields.add(platform::tokensField, "10," + std::to_string(turnTokens));
    fields.add(bodyHashField, std::to_string(stableHash(conversation + input)));
    if (!previous.empty())
        fields.add(platform::previousTurnField, previous);
    return this->send(this->entries[random() % this->entries.size()], "/turns/", id, input, std::move(fields));
}

void Callers::plainCall(std::mt19937_64& random, bool safe)
{
    std::string id = this->newId(random);
    Answer answer
        = this->send(this->entries[random() % this->entries.size()], safe ? "/safe/" : "/unsafe/", id, "body", {});
    if (!safe && this->ledger.runs(id) > 1)
        this->findings.add(
            "at most once", "request " + id + " ran " + std::to_string(this->ledger.runs(id)) + " times");
    (void)answer;
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
    return status == 404 ? Outcome::Absent : Outcome::Unknown;
}

Callers::Answer Callers::send(const std::string& address, const std::string& path, const std::string& id,
    const std::string& body, HeaderList fields)
{
    ++this->counts.calls;
    Answer result;
    fields.add("Host", "soak.example");
    fields.add(platform::requestIdField, id);
    fields.add(platform::deadlineField, std::to_string(callMillis));
    fields.add("Connection", "close");
    fields.add("Content-Length", std::to_string(body.size()));
    std::string request = printRequestHead("POST", path + 'x', fields) + body;
    std::string bytes;
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(address), Poco::Timespan(1, 0));
        socket.setReceiveTimeout(Poco::Timespan(0, (callMillis + 500) * 1000));
        socket.sendBytes(request.data(), static_cast<int>(request.size()));
        bytes = readAnswer(socket);
    } catch (const Poco::Exception&) {
        ++this->counts.unknown;
        return result;
    }
    int status = bytes.size() > 12 ? std::atoi(bytes.c_str() + 9) : 0;
    if (status != 200) {
        result.outcome = this->classify(status, id);
        return result;
    }
    bool streamed = path == "/turns/";
    if (streamed && !checkEvents(bytes, id, result.events))
        this->findings.add("order", "request " + id + " got " + bytes);
    bool whole = streamed ? bytes.size() >= 5 && bytes.compare(bytes.size() - 5, 5, "0\r\n\r\n") == 0
                          : bytes.find(plainAnswer(id)) != std::string::npos;
    if (!streamed && !whole)
        this->findings.add("own answer", "request " + id + " got " + bytes);
    if (whole && streamed && result.events != eventsPerTurn)
        this->findings.add(
            "whole answer", "request " + id + " ended after " + std::to_string(result.events) + " events");
    result.outcome = whole ? Outcome::Served : Outcome::Unknown;
    ++(whole ? this->counts.served : this->counts.unknown);
    return result;
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
