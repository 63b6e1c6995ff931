#pragma once

// An append-only log on a small disk, with one sync for all entries that wait for it.
//
//     RecordLog log("/data/records", maxBytes);
//     LogRecovery recovery = log.open();        // entries that were on the disk
//     if (log.appendDurably(bytes)) ...         // it survives a loss of power
//
// The log is a series of segments. After a crash the tail of a segment may hold entries that were never synced, whole
// or torn; each entry has a checksum, and reading a segment ends at the first entry that doesn't match. Entries that
// were reported durable lie before it, since a sync covers everything before it.
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
    std::string error; // why it could not be opened
    std::vector<std::string> entries;
    std::size_t droppedBytes = 0; // behind the last whole entry of each segment
    bool wasEmpty = false; // the folder held no log: a new disk, or one that lost everything
    std::uint64_t disk = 0; // identity of this log; another one after the disk was lost
};

class RecordLog {
public:
    // All live entries, to write them anew when the log has grown.
    using LiveEntries = std::function<std::vector<std::string>()>;

    RecordLog(std::string logFolder, std::size_t compactAboveBytes);
    ~RecordLog();
    RecordLog(const RecordLog&) = delete;
    RecordLog& operator=(const RecordLog&) = delete;

    LogRecovery open();

    // Appends and waits for the disk. False when the disk took nothing, such as when it is full.
    bool appendDurably(std::string_view entry);

    // Appends with the next sync; nobody waits for it.
    void appendLater(std::string_view entry);

    // Rewrites the log when it has grown past the limit. Called from time to time.
    void compactIfLarge(const LiveEntries& live);

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
    mutable std::mutex mutex; // guards the batches and counts
    std::condition_variable wake;
    std::condition_variable committed;
    std::shared_ptr<Batch> next;
    bool stopping = false;
    std::size_t logBytes = 0;
    std::uint64_t syncCount = 0;
    std::mutex fileMutex; // guards the file; locked before nothing else
    int file = -1;
    std::uint64_t segment = 0;
    std::size_t segmentBytes = 0;
    bool segmentBroken = false; // a failed write could not be undone: the next one starts a new segment
    std::thread writer;
};

} // namespace lovagecross
