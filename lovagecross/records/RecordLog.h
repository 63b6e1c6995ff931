#pragma once

// Append-only log for a small disk, with group commit: one sync covers all entries that wait for it.
//
//     RecordLog log("/data/records", maxBytes);
//     LogRecovery recovery = log.open();        // entries that were on the disk
//     if (log.appendDurably(bytes)) ...         // the entry survives a power failure
//
// The log is a sequence of segment files. After a crash, the tail of a segment may contain complete or torn entries
// that were never synced. Each entry has a checksum, and reading a segment stops at the first entry that doesn't match
// its checksum. All entries reported as durable precede it, since a sync covers everything written before.
//
// Thread safety: every member may be called from any thread, except `open`, which is called once before the others.

#include "lovagecross/base/Clock.h"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace lovagecross {

struct LogRecovery {
    bool opened = false;
    std::string error; // why the log could not be opened
    std::vector<std::string> entries;
    std::size_t droppedBytes = 0; // bytes after the last valid entry of each segment
    bool wasEmpty = false; // the folder held no log: the disk is new or has lost its contents
    std::uint64_t disk = 0; // identity of this log; changes if the disk is lost
};

class RecordLog {
public:
    // Returns all live entries, which compaction writes to a new segment.
    using LiveEntriesFunction = std::function<std::vector<std::string>()>;

    RecordLog(std::string logFolder, std::size_t compactAboveBytes);
    ~RecordLog();
    RecordLog(const RecordLog&) = delete;
    RecordLog& operator=(const RecordLog&) = delete;

    LogRecovery open();

    // Appends an entry and waits until it is durable. Returns false if the write failed, for example on a full disk.
    bool appendDurably(std::string_view entry) { return this->appendAllDurably({ std::string(entry) }); }

    // Appends several entries with the same sync. Returns false if any of them may be missing from the disk.
    bool appendAllDurably(const std::vector<std::string>& entries);

    // Appends an entry with the next sync, without waiting for it.
    void appendAsync(std::string_view entry);

    // Compacts the log if it has reached the size limit. Must be called periodically.
    void compactIfLarge(const LiveEntriesFunction& live);

    std::size_t bytes() const;
    std::uint64_t syncs() const;

    void stop();

private:
    struct Batch {
        std::string bytes;
        std::size_t waiting = 0;
        bool done = false;
        bool stored = false;
    };

    void run();
    bool writeBatch(const std::string& bytes);
    bool startSegment(std::uint64_t number);
    bool readIdentity(LogRecovery& recovery);
    void readSegments(LogRecovery& recovery);
    std::vector<std::uint64_t> segmentNumbers() const;
    std::string segmentPath(std::uint64_t number) const;

    const std::string folder;
    const std::size_t compactAbove;
    mutable std::mutex mutex; // guards the batches, `stopping`, `logBytes` and `syncCount`
    std::condition_variable wake;
    std::condition_variable committed;
    std::shared_ptr<Batch> pendingBatch;
    bool stopping = false;
    std::size_t logBytes = 0;
    std::uint64_t syncCount = 0;
    std::mutex fileMutex; // guards the segment file; acquired before `mutex` if both are held
    int file = -1;
    std::uint64_t segment = 0;
    std::size_t segmentBytes = 0;
    bool segmentDamaged = false; // a failed write could not be rolled back; the next write starts a new segment
    std::thread writer;
};

} // namespace lovagecross
