#include "lovagecross/sharing/CrashReporter.h"

#include <algorithm>

namespace lovagecross {

namespace {

constexpr Duration sameEndAge = std::chrono::milliseconds(50); // difference of the ages of one server's end

// Whether one notice can stand for both.
bool canShare(const CrashNotice& a, const CrashNotice& b)
{
    Duration difference = a.age < b.age ? b.age - a.age : a.age - b.age;
    return !a.server.empty() && a.server == b.server && a.startedUnixMillis == b.startedUnixMillis
        && difference <= sameEndAge;
}

void addTo(std::vector<CrashNotice>& due, const CrashNotice& notice)
{
    auto same = std::find_if(due.begin(), due.end(), [&](const CrashNotice& other) { return canShare(other, notice); });
    if (same == due.end())
        due.push_back(notice);
    else
        same->calls.insert(same->calls.end(), notice.calls.begin(), notice.calls.end());
}

} // namespace

CrashReporter::CrashReporter(const Clock& givenClock)
    : clock(givenClock)
{
}

void CrashReporter::add(const std::vector<CrashNotice>& notices)
{
    for (const CrashNotice& notice : notices)
        this->waiting.push_back({ notice, this->clock.now() });
    while (this->waiting.size() > maxWaiting)
        this->waiting.pop_front();
}

std::vector<CrashNotice> CrashReporter::takeDue()
{
    std::vector<CrashNotice> due;
    TimePoint now = this->clock.now();
    for (Waiting& entry : this->waiting) {
        Duration age = now - entry.addedAt;
        if (age < sendTimes[entry.sent])
            continue;
        ++entry.sent;
        CrashNotice notice = entry.notice;
        notice.age += age;
        addTo(due, notice);
    }
    std::erase_if(this->waiting, [](const Waiting& entry) { return entry.sent == sendTimes.size(); });
    return due;
}

} // namespace lovagecross
