#include "lovagecross/crashes/CrashTable.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace lovagecross {

namespace {

// Calls that are held back after an ambiguous end are released at this many different times.
constexpr std::uint32_t staggerSteps = 8;

// A call with so many ends beyond `endsBeyondDoubt` is quarantined even if other calls explain all of them.
constexpr std::uint32_t endsThatNothingExplains = 1;

Duration distance(TimePoint a, TimePoint b)
{
    return a < b ? b - a : a - b;
}

} // namespace

CrashTable::CrashTable(CrashSettings crashSettings)
    : settings(crashSettings)
{
}

bool CrashTable::record(const ServerEnd& end, const std::string& fingerprint)
{
    auto known = this->calls.find(fingerprint);
    if (known != this->calls.end() && end.at <= known->second.clearedAt)
        return false;
    if (known == this->calls.end() && this->calls.size() >= maxCalls)
        this->makeRoom();
    EndPointer found = this->endFor(end, fingerprint);
    if (!found->calls.emplace(fingerprint, end.at).second)
        return false;
    std::vector<EndPointer>& list = this->marksOf(fingerprint).ends;
    auto later = std::find_if(
        list.begin(), list.end(), [&](const EndPointer& other) { return other->end.at > found->end.at; });
    list.insert(later, found);
    this->reviewCauses(*found);
    return true;
}

// Decides anew which of the calls that were running at the end explain it.
void CrashTable::reviewCauses(const End& end)
{
    for (const auto& [call, reportedAt] : end.calls) {
        Marks& marks = this->calls.at(call);
        bool counts = end.end.at > marks.clearedAt;
        if (!counts || this->decide(call, marks, end.end.at) != CrashVerdict::Quarantined)
            marks.causeSince.reset();
        else if (!marks.causeSince)
            marks.causeSince = end.end.at;
    }
}

CrashTable::Marks& CrashTable::marksOf(const std::string& fingerprint)
{
    auto [found, isNew] = this->calls.try_emplace(fingerprint);
    if (isNew)
        ++this->callsByPrefix[fingerprint.substr(0, fingerprintPrefixBytes)];
    return found->second;
}

// Returns the end that the report is about: a known one, or else a new one. Of processes that can't be told apart, two
// reports of one call that are some time apart are about two ends: the call can't run again until the server is back.
CrashTable::EndPointer CrashTable::endFor(const ServerEnd& end, const std::string& fingerprint)
{
    std::vector<EndPointer>& known = this->endsByServer[end.server];
    for (auto it = known.rbegin(); it != known.rend(); ++it) {
        const End& other = **it;
        if (other.end.startedUnixMillis != end.startedUnixMillis)
            continue;
        if (end.startedUnixMillis != 0)
            return *it;
        if (distance(other.end.at, end.at) > this->settings.sameEndWindow)
            continue;
        auto reported = other.calls.find(fingerprint);
        if (reported == other.calls.end() || distance(reported->second, end.at) < this->settings.sameRunWindow)
            return *it;
    }
    this->ends.push_back({ end, {} });
    known.push_back(std::prev(this->ends.end()));
    return known.back();
}

bool CrashTable::cleared(const std::string& fingerprint, TimePoint at)
{
    auto found = this->calls.find(fingerprint);
    if (found == this->calls.end() || at <= found->second.clearedAt)
        return false;
    Marks& marks = found->second;
    bool hadEnds = !this->countedEnds(marks).empty();
    marks.clearedAt = at;
    if (this->countedEnds(marks).empty())
        marks.causeSince.reset();
    return hadEnds;
}

std::vector<CrashTable::EndPointer> CrashTable::countedEnds(const Marks& marks) const
{
    std::vector<EndPointer> counted;
    std::copy_if(marks.ends.begin(), marks.ends.end(), std::back_inserter(counted),
        [&](const EndPointer& end) { return end->end.at > marks.clearedAt; });
    return counted;
}

CrashFinding CrashTable::find(const std::string& fingerprint, TimePoint now) const
{
    CrashFinding finding;
    auto found = this->calls.find(fingerprint);
    if (found == this->calls.end())
        return finding;
    for (const EndPointer& counted : this->countedEnds(found->second)) {
        ++finding.ends;
        finding.versions.insert(counted->end.softwareVersion);
        finding.servers.push_back(counted->end.server);
        finding.age = now - counted->end.at;
    }
    if (finding.ends > 0)
        finding.verdict = this->decide(fingerprint, found->second, now);
    return finding;
}

CrashVerdict CrashTable::decide(const std::string& fingerprint, const Marks& marks, TimePoint now) const
{
    std::vector<EndPointer> counted = this->countedEnds(marks);
    Duration age = now - counted.back()->end.at;
    if (age > this->settings.quarantineTime)
        return CrashVerdict::Unmarked;
    auto all = static_cast<std::uint32_t>(counted.size());
    const End& last = *counted.back();
    bool lastIsItsOwn = !this->explainedByAnother(last, fingerprint, marks) && this->pointsOnlyTo(last, fingerprint);
    std::erase_if(counted, [&](const EndPointer& end) { return this->explainedByAnother(*end, fingerprint, marks); });
    auto unexplained = static_cast<std::uint32_t>(counted.size());
    bool enough = unexplained >= this->settings.endsToQuarantine;
    bool certain = unexplained >= this->settings.endsBeyondDoubt
        || (all >= this->settings.endsBeyondDoubt && lastIsItsOwn)
        || all >= this->settings.endsBeyondDoubt + endsThatNothingExplains;
    if (certain || (enough && this->pointsOnlyTo(*counted.back(), fingerprint)))
        return CrashVerdict::Quarantined;
    return enough && this->heldBack(fingerprint, unexplained, age) ? CrashVerdict::Ambiguous : CrashVerdict::Suspected;
}

// Of two calls that could explain each other's ends, the one that was found out first does.
bool CrashTable::explainedByAnother(const End& end, const std::string& fingerprint, const Marks& marks) const
{
    return std::any_of(end.calls.begin(), end.calls.end(), [&](const auto& entry) {
        auto other = this->calls.find(entry.first);
        if (entry.first == fingerprint || other == this->calls.end() || !other->second.causeSince)
            return false;
        bool isFirst = !marks.causeSince || *other->second.causeSince < *marks.causeSince;
        return isFirst && end.end.at > other->second.clearedAt;
    });
}

// Whether no other call that was running at the last end had as many ends before as it takes to be quarantined by it.
bool CrashTable::pointsOnlyTo(const End& last, const std::string& fingerprint) const
{
    return std::none_of(last.calls.begin(), last.calls.end(), [&](const auto& entry) {
        return entry.first != fingerprint && this->endsBefore(entry.first, last) + 1 >= this->settings.endsToQuarantine;
    });
}

// The ends under the call before `last`, or 0 if it has been answered since `last`.
std::uint32_t CrashTable::endsBefore(const std::string& fingerprint, const End& last) const
{
    auto found = this->calls.find(fingerprint);
    if (found == this->calls.end() || found->second.clearedAt >= last.end.at)
        return 0;
    const Marks& marks = found->second;
    return static_cast<std::uint32_t>(std::count_if(marks.ends.begin(), marks.ends.end(),
        [&](const EndPointer& end) { return end->end.at > marks.clearedAt && end->end.at < last.end.at; }));
}

bool CrashTable::heldBack(const std::string& fingerprint, std::uint32_t endCount, Duration age) const
{
    Duration hold = this->settings.ambiguousHold;
    if (hold <= Duration(0))
        return false;
    for (std::uint32_t i = this->settings.endsToQuarantine; i < endCount && hold < this->settings.quarantineTime; ++i)
        hold *= 2;
    Duration stagger = hold / staggerSteps * (std::hash<std::string>()(fingerprint) % staggerSteps);
    return age <= std::min(hold + stagger, this->settings.quarantineTime);
}

std::vector<std::string> CrashTable::quarantined(TimePoint now) const
{
    std::vector<std::string> all;
    for (const auto& [fingerprint, marks] : this->calls) {
        if (this->find(fingerprint, now).verdict == CrashVerdict::Quarantined)
            all.push_back(fingerprint);
    }
    return all;
}

void CrashTable::removeExpired(TimePoint now)
{
    std::vector<std::string> expired;
    for (const auto& [fingerprint, marks] : this->calls) {
        if (now - marks.ends.back()->end.at > this->settings.quarantineTime)
            expired.push_back(fingerprint);
    }
    for (const std::string& fingerprint : expired)
        this->forget(fingerprint);
}

// `fingerprint` must not be the key of the entry itself.
void CrashTable::forget(const std::string& fingerprint)
{
    auto found = this->calls.find(fingerprint);
    for (const EndPointer& end : found->second.ends) {
        end->calls.erase(fingerprint);
        if (end->calls.empty())
            this->removeEnd(end);
    }
    this->calls.erase(found);
    auto prefix = this->callsByPrefix.find(fingerprint.substr(0, fingerprintPrefixBytes));
    if (--prefix->second == 0)
        this->callsByPrefix.erase(prefix);
}

void CrashTable::removeEnd(EndPointer end)
{
    auto server = this->endsByServer.find(end->end.server);
    std::erase(server->second, end);
    if (server->second.empty())
        this->endsByServer.erase(server);
    this->ends.erase(end);
}

// Calls with one end are the least informative. Those that have been answered since tell nothing any more.
void CrashTable::makeRoom()
{
    for (std::size_t most = 0; this->calls.size() >= maxCalls; ++most) {
        std::vector<std::string> weakest;
        for (const auto& [fingerprint, marks] : this->calls) {
            if (this->countedEnds(marks).size() <= most)
                weakest.push_back(fingerprint);
        }
        for (const std::string& fingerprint : weakest)
            this->forget(fingerprint);
    }
}

} // namespace lovagecross
