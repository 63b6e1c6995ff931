#include "lovagecross/crashes/CrashLedger.h"

#include "lovagecross/adapters/Log.h"
#include "lovagecross/crashes/CallFingerprint.h"

#include <algorithm>
#include <random>
#include <utility>

namespace lovagecross {

namespace {

// Never 0, which stands for no list.
std::uint64_t randomLogId()
{
    std::random_device device;
    return (std::uint64_t(device()) << 32U | device()) | 1U;
}

} // namespace

CrashNotice releaseNotice(const std::string& fingerprint, const std::string& node)
{
    CrashNotice notice;
    notice.seenBy = node;
    notice.calls = { fingerprint };
    return notice;
}

CrashLedger::CrashLedger(const Clock& givenClock, Counters& counters, CrashSettings settings)
    : clock(givenClock)
    , noticesLearned(counters.counter("crashes.notices"))
    , logId(randomLogId())
    , table(settings)
{
}

std::vector<CrashNotice> CrashLedger::learn(const std::vector<CrashNotice>& notices, CrashSource source)
{
    std::vector<CrashNotice> allNews;
    std::lock_guard lock(this->mutex);
    TimePoint now = this->clock.now();
    for (const CrashNotice& notice : notices) {
        TimePoint at = now - notice.age;
        CrashNotice news = this->learnOne(notice, at);
        if (news.calls.empty())
            continue;
        this->noticesLearned.add();
        this->log(news, source);
        this->entries.push_back({ ++this->lastPosition, at, news });
        if (this->entries.size() > maxNotices)
            this->entries.pop_front();
        allNews.push_back(std::move(news));
    }
    this->knownCalls = this->table.size();
    return allNews;
}

// Returns the notice with the calls for which it is news.
CrashNotice CrashLedger::learnOne(const CrashNotice& notice, TimePoint at)
{
    CrashNotice news = notice;
    news.calls.clear();
    ServerEnd end { notice.server, notice.startedUnixMillis, notice.softwareVersion, at };
    for (const std::string& call : notice.calls) {
        bool isNews = notice.server.empty() ? this->table.cleared(call, at) : this->table.record(end, call);
        if (isNews)
            news.calls.push_back(call);
    }
    return news;
}

CrashNews CrashLedger::newsSince(const CrashCursor& cursor) const
{
    std::lock_guard lock(this->mutex);
    TimePoint now = this->clock.now();
    CrashNews news { { this->logId, cursor.log == this->logId ? cursor.position : 0 }, {} };
    for (const Entry& entry : this->entries) {
        if (entry.position <= news.upTo.position)
            continue;
        if (news.notices.size() == maxNoticesPerAnswer)
            break;
        news.notices.push_back(entry.notice);
        news.notices.back().age = now - entry.at;
        news.upTo.position = entry.position;
    }
    return news;
}

bool CrashLedger::knowsPrefix(const std::string& prefix) const
{
    if (this->empty())
        return false;
    std::lock_guard lock(this->mutex);
    return this->table.knowsPrefix(prefix);
}

CrashFinding CrashLedger::find(const std::string& fingerprint) const
{
    std::lock_guard lock(this->mutex);
    return this->table.find(fingerprint, this->clock.now());
}

std::vector<QuarantinedCall> CrashLedger::quarantined() const
{
    std::lock_guard lock(this->mutex);
    TimePoint now = this->clock.now();
    std::vector<QuarantinedCall> all;
    for (const std::string& fingerprint : this->table.quarantined(now))
        all.push_back({ fingerprint, this->table.find(fingerprint, now) });
    return all;
}

void CrashLedger::removeExpired()
{
    std::lock_guard lock(this->mutex);
    TimePoint now = this->clock.now();
    this->table.removeExpired(now);
    this->knownCalls = this->table.size();
    while (!this->entries.empty() && now - this->entries.front().at > CrashSettings {}.quarantineTime)
        this->entries.pop_front();
}

void CrashLedger::log(const CrashNotice& news, CrashSource source) const
{
    bool released = news.server.empty();
    LogLine line(LogLevel::Info, released ? "calls_released" : "server_ended");
    if (!released)
        line.field("server", news.server)
            .field("started", news.startedUnixMillis)
            .field("serverVersion", news.softwareVersion);
    line.field("calls", news.calls.size())
        .field("first", printFingerprint(news.calls.front()))
        .field("seenBy", news.seenBy)
        .field("from", crashSourceNames.name(source))
        .field("ageMs", toMillis(news.age))
        .write();
}

} // namespace lovagecross
