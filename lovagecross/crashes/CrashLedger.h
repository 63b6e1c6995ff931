#pragma once

// A node's copy of what all nodes together know of calls and the ends of backend servers, and the list of notices from
// which others bring their copies up to date.
//
//     CrashLedger ledger(clock, counters);
//     std::vector<CrashNotice> news = ledger.learn(report.notices, CrashSource::EntryNode);   // to be passed on
//     CrashNews update = ledger.newsSince(fetch.crashes);        // for a node that asks
//     if (ledger.find(fingerprint).verdict == CrashVerdict::Quarantined) ...
//
// Copies need no agreement: a notice may come more than once, late, and in any order. Times of different nodes can't be
// compared, so a notice carries its age.
//
// Nothing is stored on disk: a process begins with what others tell it.
//
// Thread safety: every member may be called from any thread.

#include "lovagecross/adapters/Counters.h"
#include "lovagecross/crashes/CrashTable.h"
#include "lovagecross/ports/Peer.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace lovagecross {

// From whom a node has a notice.
enum class CrashSource {
    Own,
    EntryNode,
    RecordNode,
    Operator,
};

inline constexpr NameTable<CrashSource, 4> crashSourceNames { { {
    { CrashSource::Own, "own" },
    { CrashSource::EntryNode, "entry" },
    { CrashSource::RecordNode, "record" },
    { CrashSource::Operator, "operator" },
} } };

struct CrashNews {
    CrashCursor upTo;
    std::vector<CrashNotice> notices;
};

// A call that must not be sent to a server, for operators.
struct QuarantinedCall {
    std::string fingerprint;
    CrashFinding finding;
};

// The notice that earlier ends of servers no longer count for the call.
CrashNotice releaseNotice(const std::string& fingerprint, const std::string& node);

class CrashLedger {
public:
    CrashLedger(const Clock& givenClock, Counters& counters, CrashSettings settings = {});

    // Returns the notices that were news, each with the calls for which it was.
    std::vector<CrashNotice> learn(const std::vector<CrashNotice>& notices, CrashSource source);

    // The notices after the cursor, at most `maxNoticesPerAnswer`. All that are kept if the cursor is of another
    // process.
    CrashNews newsSince(const CrashCursor& cursor) const;

    CrashFinding find(const std::string& fingerprint) const;

    // Whether a call is known whose fingerprint begins so. The fingerprints of others need not be computed.
    bool knowsPrefix(const std::string& prefix) const;

    // Whether any call is known.
    bool empty() const { return this->knownCalls == 0; }

    std::vector<QuarantinedCall> quarantined() const;

    // Must be called periodically.
    void removeExpired();

    static constexpr std::size_t maxNotices = 4096; // older ones are dropped
    static constexpr std::size_t maxNoticesPerAnswer = 256;

private:
    struct Entry {
        std::uint64_t position = 0;
        TimePoint at; // of what the notice tells
        CrashNotice notice;
    };

    CrashNotice learnOne(const CrashNotice& notice, TimePoint at);
    void log(const CrashNotice& news, CrashSource source) const;

    const Clock& clock;
    Counter& noticesLearned;
    const std::uint64_t logId;
    mutable std::mutex mutex;
    CrashTable table;
    std::deque<Entry> entries; // by position
    std::uint64_t lastPosition = 0;
    std::atomic<std::size_t> knownCalls { 0 };
};

} // namespace lovagecross
