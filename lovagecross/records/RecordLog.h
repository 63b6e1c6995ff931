#pragma once

// Append-only log for a small disk, with group commit: one sync covers all entries that wait for it.
//
//     RecordLog log("/data/records", limits);
//     LogRecovery recovery = log.open(visit);   // passes the entries that were on the disk to `visit`
//     if (log.appendDurably(bytes, [&](const LogLocation& at) { index[id] = at; })) ...   // survives a power failure
//     std::optional<std::string> bytes = log.read(index[id]);
//     log.discard(index[id]);                   // the entry is no longer needed
//
// The log is a sequence of segment files. After a crash, the tail of a segment may contain complete or torn entries
// that were never synced. Each entry has a checksum, and reading a segment stops at the first entry that doesn't match
// its checksum. All entries reported as durable precede it, since a sync covers everything written before.
//
// The log holds one entry and one block in memory while it is read or compacted, and the entries that wait for a sync,
// however long it is. A compaction empties the segments with the largest share of discarded entries, one after the
// other, so that it needs little space on the disk besides the log.
//
// Thread safety: every member may be called from any thread, except `open`, which is called once before the others.

#include "lovagecross/base/Clock.h"

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace lovagecross {

struct LogRecovery {
    bool opened = false;
    std::string error; // why the log could not be opened
    std::size_t droppedBytes = 0; // bytes after the last valid entry of each segment
    bool wasEmpty = false; // the folder held no log: the disk is new or has lost its contents
    std::uint64_t disk = 0; // identity of this log; changes if the disk is lost
};

struct LogLimits {
    std::size_t segmentBytes = std::size_t(8) * 1024 * 1024; // after which a new segment is begun
    // Discarded entries that the log may hold before it is compacted.
    std::size_t discardedBytes = std::numeric_limits<std::size_t>::max();
};

// Where a durable entry is.
struct LogLocation {
    std::uint64_t segment = 0; // 0: nowhere
    std::uint64_t offset = 0;
    std::size_t bytes = 0; // of the entry

    bool operator==(const LogLocation&) const = default;
};

class RecordLog {
public:
    // Receives an entry, whose bytes are valid during the call only.
    using EntryVisitor = std::function<void(std::string_view entry, const LogLocation& at)>;

    // Called on another thread once an entry is durable, before those who wait for it go on.
    using StoredFunction = std::function<void(const LogLocation& at)>;

    struct NewEntry {
        std::shared_ptr<const std::string> bytes;
        StoredFunction stored {};
    };

    // Returns what is to be written in place of an entry of a segment that is removed, or nullopt if it is not needed.
    using ReplaceFunction = std::function<std::optional<NewEntry>(std::string_view entry, const LogLocation& at)>;

    RecordLog(std::string logFolder, LogLimits logLimits);
    ~RecordLog();
    RecordLog(const RecordLog&) = delete;
    RecordLog& operator=(const RecordLog&) = delete;

    // Passes all valid entries on the disk to `visit`, in the order in which they were written.
    LogRecovery open(const EntryVisitor& visit);

    // Appends an entry and waits until it is durable. Returns false if the write failed, for example on a full disk.
    bool appendDurably(std::string entry, StoredFunction stored = {});

    // Appends several entries with the same sync. Returns false if any of them may be missing from the disk.
    bool appendAllDurably(std::vector<NewEntry> entries);

    // Appends an entry with the next sync, without waiting for it.
    void appendAsync(std::string entry, StoredFunction stored = {});

    // Returns nullopt if the entry is gone with its segment, or can't be read.
    std::optional<std::string> read(const LogLocation& at) const;

    // Counts an entry as no longer needed. Must be called once at most for each location.
    void discard(const LogLocation& at);

    // Removes segments until fewer bytes than the limit are discarded, and those without any other bytes. Entries of
    // the others are passed to `replace`, and what it returns is durable before they are gone. Must be called
    // periodically, by one thread.
    void compactIfLarge(const ReplaceFunction& replace);

    // Bytes of all segments.
    std::size_t bytes() const;
    std::uint64_t syncs() const;

    void stop();

private:
    struct Batch {
        std::vector<NewEntry> entries;
        std::size_t waiting = 0;
        bool done = false;
        bool stored = false;
    };
    struct Removal {
        std::uint64_t number = 0;
        bool noneLives = false; // all entries of the segment are discarded
    };
    struct SegmentUse {
        std::size_t total = 0;
        std::size_t discarded = 0;
    };

    void run();
    bool writeBatch(const Batch& batch, std::vector<LogLocation>& locations);
    bool writeEntries(const Batch& batch, std::vector<LogLocation>& locations);
    bool startSegment(std::uint64_t number);
    bool readIdentity(LogRecovery& recovery);
    void readSegments(const EntryVisitor& visit, LogRecovery& recovery);
    std::size_t discardedBytes() const;
    std::optional<Removal> segmentToRemove() const;
    bool closeSegment(std::uint64_t number);
    bool moveEntries(std::uint64_t number, const ReplaceFunction& replace);
    std::vector<std::uint64_t> segmentNumbers() const;
    std::string segmentPath(std::uint64_t number) const;

    const std::string folder;
    const LogLimits limits;
    mutable std::mutex mutex; // guards the batches, `stopping`, `segments`, `openSegment` and `syncCount`
    std::condition_variable wake;
    std::condition_variable committed;
    std::shared_ptr<Batch> pendingBatch;
    bool stopping = false;
    std::map<std::uint64_t, SegmentUse> segments; // by number
    std::uint64_t openSegment = 0; // that entries are appended to
    std::uint64_t syncCount = 0;
    std::atomic<bool> endSegment { false }; // the writer begins a new one with the next batch
    // Used by the writer only, once the log is open.
    int file = -1;
    std::size_t segmentBytes = 0;
    bool segmentDamaged = false; // a failed write could not be rolled back; the next write starts a new segment
    std::thread writer;
};

} // namespace lovagecross
