#pragma once

// Which calls were running on backend servers when these ended, and which of them must not be sent to a server again
// because they end each one that runs them. Does no I/O.
//
//     CrashTable table(settings);
//     table.record({ "server1", startedUnixMillis, "v7", endedAt }, fingerprint);
//     table.cleared(fingerprint, answeredAt);                    // a server answered the call and went on
//     CrashFinding finding = table.find(fingerprint, now);
//     if (finding.verdict == CrashVerdict::Quarantined) ...
//
// Calls are told apart by a fingerprint of their content. All calls that ran on a server when it ended have the same
// mark, so a mark alone says little: a call is quarantined once it has several, without a success in between, and the
// last end points to it. An end points to a call if no other one that was running there has as many marks. An end that
// a quarantined call explains doesn't count against the others. A call that stays ambiguous is held back for
// `ambiguousHold` and may then run again, which tells it from the others.
//
// A process ends once: reports of its end, by several nodes or for several calls, count once, however late they come.
//
// Thread safety: not synchronized.

#include "lovagecross/base/Clock.h"
#include "lovagecross/base/NameTable.h"
#include "lovagecross/crashes/CallFingerprint.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace lovagecross {

struct CrashSettings {
    std::uint32_t endsToQuarantine = 3;
    // From this number of ends on, a call is quarantined even if the last end points to others as well.
    std::uint32_t endsBeyondDoubt = 4;
    Duration ambiguousHold { 0 }; // doubled with each further end, and staggered by fingerprint
    Duration quarantineTime = std::chrono::hours(1); // after the last end
    // Only for servers whose processes can't be told apart, since their start is unknown:
    Duration sameEndWindow = std::chrono::hours(1); // reports of a server's end within it are of the same end
    Duration sameRunWindow = std::chrono::hours(1); // reports of a call within it are of the same end
};

// The end of one process of a backend server.
struct ServerEnd {
    std::string server;
    std::int64_t startedUnixMillis = 0; // of the process that ended; 0 if unknown
    std::string softwareVersion;
    TimePoint at;
};

enum class CrashVerdict {
    Unmarked, // no server has ended under the call since it was last answered
    Suspected, // servers have ended, but the call may run
    Ambiguous, // held back for a short time, since another call may be the cause
    Quarantined, // must not be sent to a server
};

inline constexpr NameTable<CrashVerdict, 4> crashVerdictNames { { {
    { CrashVerdict::Unmarked, "unmarked" },
    { CrashVerdict::Suspected, "suspected" },
    { CrashVerdict::Ambiguous, "ambiguous" },
    { CrashVerdict::Quarantined, "quarantined" },
} } };

struct CrashFinding {
    CrashVerdict verdict = CrashVerdict::Unmarked;
    std::uint32_t ends = 0; // of servers under the call, since it was last answered
    std::set<std::string> versions {}; // software versions of those servers
    std::vector<std::string> servers {}; // that ended, the last one last
    Duration age { 0 }; // of the last end
};

class CrashTable {
public:
    explicit CrashTable(CrashSettings crashSettings = {});

    // Records that the call was running when the server ended. Returns whether this is news.
    bool record(const ServerEnd& end, const std::string& fingerprint);

    // Records that a server answered the call whole, or that an operator released it. Ends up to `at` no longer count
    // for it. Returns whether the call had any.
    bool cleared(const std::string& fingerprint, TimePoint at);

    CrashFinding find(const std::string& fingerprint, TimePoint now) const;

    // The calls that are quarantined.
    std::vector<std::string> quarantined(TimePoint now) const;

    // Removes ends older than `quarantineTime`. What has more calls than `maxCalls` is removed in any case, calls with
    // the fewest ends first.
    void removeExpired(TimePoint now);

    // Whether a call is known whose fingerprint begins so.
    bool knowsPrefix(const std::string& prefix) const { return this->callsByPrefix.count(prefix) > 0; }
    std::size_t size() const { return this->calls.size(); }

    static constexpr std::size_t maxCalls = 10'000;

private:
    struct End {
        ServerEnd end;
        std::map<std::string, TimePoint> calls; // that were running, with the time of the first report
    };
    using EndPointer = std::list<End>::iterator;

    struct Marks {
        std::vector<EndPointer> ends; // at least one, in the order of their times
        TimePoint clearedAt = TimePoint::min(); // ends up to this time don't count
        std::optional<TimePoint> causeSince; // the end since which it explains all of its ends
    };

    EndPointer endFor(const ServerEnd& end, const std::string& fingerprint);
    std::vector<EndPointer> countedEnds(const Marks& marks) const;
    bool explainedByAnother(const End& end, const std::string& fingerprint, const Marks& marks) const;
    bool pointsOnlyTo(const End& last, const std::string& fingerprint) const;
    std::uint32_t endsBefore(const std::string& fingerprint, const End& last) const;
    Marks& marksOf(const std::string& fingerprint);
    CrashVerdict decide(const std::string& fingerprint, const Marks& marks, TimePoint now) const;
    void reviewCauses(const End& end);
    bool heldBack(const std::string& fingerprint, std::uint32_t ends, Duration age) const;
    void forget(const std::string& fingerprint);
    void removeEnd(EndPointer end);
    void makeRoom();

    const CrashSettings settings;
    std::list<End> ends;
    std::unordered_map<std::string, std::vector<EndPointer>> endsByServer;
    std::unordered_map<std::string, Marks> calls; // by fingerprint
    std::unordered_map<std::string, std::size_t> callsByPrefix; // their numbers, by prefix of the fingerprint
};

} // namespace lovagecross
