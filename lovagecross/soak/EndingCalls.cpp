#include "lovagecross/soak/EndingCalls.h"

#include "lovagecross/http/MessageHead.h"
#include "lovagecross/soak/CallerConnection.h"
#include "platform/HeaderNames.h"

#include <algorithm>
#include <array>
#include <iostream>
#include <random>
#include <thread>
#include <utility>

namespace lovagecross::soak {

namespace {

constexpr std::chrono::milliseconds callTime { 3000 };
constexpr std::chrono::milliseconds stopPollInterval { 50 };
constexpr int repeats = 16;

std::string printRequest(std::mt19937_64& random, const std::string& path, const std::string& call, bool inStream)
{
    char id[20];
    std::snprintf(id, sizeof(id), "%016llx", static_cast<unsigned long long>(random()));
    HeaderList fields;
    fields.add("Host", "soak.example");
    fields.add(platform::requestIdField, id);
    fields.add(platform::deadlineField, std::to_string(callTime.count()));
    fields.add(endsServersField, inStream ? endsInStream : "at-once");
    fields.add("Connection", "close");
    fields.add("Content-Length", std::to_string(call.size()));
    return printRequestHead("POST", path, fields) + call;
}

} // namespace

EndingCalls::EndingCalls(std::vector<std::string> entryAddresses, const RunLedger& runLedger, Findings& broken)
    : entries(std::move(entryAddresses))
    , ledger(runLedger)
    , findings(broken)
{
}

void EndingCalls::run(std::uint64_t seed, const std::atomic<bool>& stopping)
{
    std::mt19937_64 random(seed);
    constexpr std::array<const char*, 4> paths { "/turns/x", "/turns/y", "/safe/x", "/unsafe/x" };
    while (!stopping) {
        std::string path = paths[random() % paths.size()];
        std::string call = "ending call " + std::to_string(random());
        bool inStream = path == "/turns/y";
        {
            std::lock_guard lock(this->mutex);
            this->calls.push_back(call);
        }
        for (int i = 0; i < repeats && !stopping; ++i) {
            CallerConnection connection;
            connection.exchange(this->entries[static_cast<std::size_t>(i) % this->entries.size()],
                printRequest(random, path, call, inStream), callTime);
            auto next = std::chrono::steady_clock::now() + repeatInterval;
            while (!stopping && std::chrono::steady_clock::now() < next)
                std::this_thread::sleep_for(stopPollInterval);
        }
    }
}

void EndingCalls::check(std::size_t maxEnds)
{
    std::lock_guard lock(this->mutex);
    for (const std::string& call : this->calls)
        this->checkCall(call, maxEnds);
}

void EndingCalls::checkCall(const std::string& call, std::size_t maxEnds)
{
    std::vector<RunLedger::TimePoint> ends = this->ledger.ends(call);
    std::vector<RunLedger::TimePoint> runs = this->ledger.endingRuns(call);
    std::size_t late = 0;
    if (ends.size() >= 3)
        late = static_cast<std::size_t>(std::count_if(
            runs.begin(), runs.end(), [&](RunLedger::TimePoint run) { return run > ends[2] + knownWithin; }));
    std::cout << "  " << call << ": " << runs.size() << " runs, " << ends.size() << " servers ended, " << late
              << " runs late\n";
    if (late > maxLateRuns)
        this->findings.add("retries", call + " ran " + std::to_string(late) + " times after it was known");
    if (ends.size() > maxEnds)
        this->findings.add("ended servers", call + " ended " + std::to_string(ends.size()) + " servers");
}

} // namespace lovagecross::soak
