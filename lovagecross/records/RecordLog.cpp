#include "lovagecross/records/RecordLog.h"

#include "lovagecross/adapters/Log.h"
#include "lovagecross/records/SegmentFile.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <dirent.h>
#include <fcntl.h>
#include <iterator>
#include <memory>
#include <random>
#include <sys/stat.h>
#include <unistd.h>

namespace lovagecross {

namespace {

using detail::appendUint32;
using detail::headerBytes;
using detail::SegmentReader;
using detail::SegmentWriter;
using detail::writeWhole;

constexpr std::size_t moveBatchBytes = 256 * 1024; // that a compaction holds before they are written
constexpr std::string_view segmentPrefix = "segment-";
constexpr std::string_view identityName = "identity";
constexpr std::uint64_t identityMask = (std::uint64_t(1) << 52U) - 1; // a JSON number holds the value exactly

bool readWholeFile(const std::string& path, std::string& content)
{
    int fd = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (fd < 0)
        return false;
    std::array<char, 64 * 1024> buffer;
    ssize_t count = 0;
    while ((count = ::read(fd, buffer.data(), buffer.size())) > 0)
        content.append(buffer.data(), static_cast<std::size_t>(count));
    ::close(fd);
    return count == 0;
}

void syncFolder(const std::string& folder)
{
    int fd = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0)
        return;
    ::fsync(fd);
    ::close(fd);
}

} // namespace

RecordLog::RecordLog(std::string logFolder, LogLimits logLimits)
    : folder(std::move(logFolder))
    , limits(logLimits)
    , pendingBatch(std::make_shared<Batch>())
{
}

RecordLog::~RecordLog()
{
    this->stop();
    if (this->file >= 0)
        ::close(this->file);
}

LogRecovery RecordLog::open(const EntryVisitor& visit)
{
    LogRecovery recovery;
    if (::mkdir(this->folder.c_str(), 0700) != 0 && errno != EEXIST) {
        recovery.error = this->folder + ": " + std::strerror(errno);
        return recovery;
    }
    bool hasIdentity = this->readIdentity(recovery);
    if (hasIdentity)
        this->readSegments(visit, recovery);
    recovery.wasEmpty = !hasIdentity;
    std::vector<std::uint64_t> numbers = this->segmentNumbers();
    if (!this->startSegment(numbers.empty() ? 1 : numbers.back() + 1)) {
        recovery.error = this->folder + ": " + std::strerror(errno);
        return recovery;
    }
    recovery.opened = true;
    this->writer = std::thread([this] { this->run(); });
    return recovery;
}

// Returns true if the folder has an identity from an earlier start; otherwise writes a new one and returns false.
bool RecordLog::readIdentity(LogRecovery& recovery)
{
    std::string path = this->folder + '/' + std::string(identityName);
    std::string content;
    if (readWholeFile(path, content) && content.size() == headerBytes) {
        for (unsigned i = 0; i < headerBytes; ++i)
            recovery.disk |= static_cast<std::uint64_t>(static_cast<unsigned char>(content[i])) << (8 * i);
        return true;
    }
    std::random_device random;
    recovery.disk = ((static_cast<std::uint64_t>(random()) << 32U) | random()) & identityMask;
    content.clear();
    appendUint32(content, static_cast<std::uint32_t>(recovery.disk));
    appendUint32(content, static_cast<std::uint32_t>(recovery.disk >> 32U));
    int fd = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (fd >= 0) {
        if (!writeWhole(fd, content) || ::fsync(fd) != 0)
            LogLine(LogLevel::Error, "record_log").field("problem", "identity not written").write();
        ::close(fd);
        syncFolder(this->folder);
    }
    return false;
}

void RecordLog::readSegments(const EntryVisitor& visit, LogRecovery& recovery)
{
    for (std::uint64_t number : this->segmentNumbers()) {
        SegmentReader reader(this->segmentPath(number));
        std::string_view entry;
        LogLocation at { number, 0, 0 };
        {
            std::lock_guard lock(this->mutex);
            this->segments[number] = {}; // `visit` may discard entries of it
        }
        while (reader.next(entry, at.offset)) {
            at.bytes = entry.size();
            visit(entry, at);
        }
        std::size_t dropped = reader.skipRest();
        recovery.droppedBytes += dropped;
        std::lock_guard lock(this->mutex);
        this->segments[number].total = reader.bytesRead();
        this->segments[number].discarded += dropped;
        if (reader.failed()) {
            LogLine(LogLevel::Error, "record_log")
                .field("problem", "segment not readable")
                .field("segment", number)
                .write();
        }
    }
}

std::vector<std::uint64_t> RecordLog::segmentNumbers() const
{
    std::vector<std::uint64_t> numbers;
    DIR* entries = ::opendir(this->folder.c_str());
    if (entries == nullptr)
        return numbers;
    while (const dirent* entry = ::readdir(entries)) { // NOLINT(concurrency-mt-unsafe)
        std::string_view name = entry->d_name;
        if (name.rfind(segmentPrefix, 0) == 0)
            numbers.push_back(std::strtoull(entry->d_name + segmentPrefix.size(), nullptr, 10));
    }
    ::closedir(entries);
    std::sort(numbers.begin(), numbers.end());
    return numbers;
}

std::string RecordLog::segmentPath(std::uint64_t number) const
{
    return this->folder + '/' + std::string(segmentPrefix) + std::to_string(number);
}

bool RecordLog::startSegment(std::uint64_t number)
{
    int fd = ::open(this->segmentPath(number).c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (fd < 0)
        return false;
    if (this->file >= 0)
        ::close(this->file);
    this->file = fd;
    this->segmentBytes = 0;
    this->segmentDamaged = false;
    syncFolder(this->folder); // the file must not vanish with the entries that become durable in it
    std::lock_guard lock(this->mutex);
    this->openSegment = number;
    this->segments[number] = {};
    return true;
}

// --- Appending

bool RecordLog::appendDurably(std::string entry, StoredFunction stored)
{
    return this->appendAllDurably({ { std::make_shared<const std::string>(std::move(entry)), std::move(stored) } });
}

bool RecordLog::appendAllDurably(std::vector<NewEntry> entries)
{
    std::unique_lock lock(this->mutex);
    if (this->stopping)
        return false;
    std::shared_ptr<Batch> batch = this->pendingBatch;
    std::move(entries.begin(), entries.end(), std::back_inserter(batch->entries));
    ++batch->waiting;
    this->wake.notify_one();
    this->committed.wait(lock, [&] { return batch->done; });
    return batch->stored;
}

void RecordLog::appendAsync(std::string entry, StoredFunction stored)
{
    std::lock_guard lock(this->mutex);
    this->pendingBatch->entries.push_back({ std::make_shared<const std::string>(std::move(entry)), std::move(stored) });
}

void RecordLog::run()
{
    std::unique_lock lock(this->mutex);
    for (;;) {
        // Entries of `appendAsync` are written with the next awaited batch, or after one second.
        this->wake.wait_for(
            lock, std::chrono::seconds(1), [this] { return this->stopping || this->pendingBatch->waiting > 0; });
        if (this->pendingBatch->entries.empty() && this->pendingBatch->waiting == 0) {
            if (this->stopping)
                return;
            continue;
        }
        std::shared_ptr<Batch> batch = std::exchange(this->pendingBatch, std::make_shared<Batch>());
        lock.unlock();
        std::vector<LogLocation> locations;
        bool stored = this->writeBatch(*batch, locations);
        for (std::size_t i = 0; stored && i < locations.size(); ++i) {
            if (batch->entries[i].stored)
                batch->entries[i].stored(locations[i]);
        }
        batch->entries.clear();
        lock.lock();
        batch->stored = stored;
        batch->done = true;
        ++this->syncCount;
        this->committed.notify_all();
    }
}

bool RecordLog::writeBatch(const Batch& batch, std::vector<LogLocation>& locations)
{
    bool full = this->segmentBytes >= this->limits.segmentBytes || this->endSegment.exchange(false);
    if ((this->segmentDamaged || full) && !this->startSegment(this->openSegment + 1) && this->segmentDamaged)
        return false;
    if (this->writeEntries(batch, locations) && ::fdatasync(this->file) == 0) {
        for (const LogLocation& at : locations)
            this->segmentBytes += headerBytes + at.bytes;
        std::lock_guard lock(this->mutex);
        this->segments[this->openSegment].total = this->segmentBytes;
        return true;
    }
    LogLine(LogLevel::Error, "record_log")
        .field("problem", "write failed")
        .field("errno", errno)
        .field("entries", batch.entries.size())
        .write();
    // Remove a torn entry, since recovery would stop there and lose all later entries.
    auto validBytes = static_cast<off_t>(this->segmentBytes);
    this->segmentDamaged
        = ::ftruncate(this->file, validBytes) != 0 || ::lseek(this->file, validBytes, SEEK_SET) != validBytes;
    return false;
}

bool RecordLog::writeEntries(const Batch& batch, std::vector<LogLocation>& locations)
{
    SegmentWriter out(this->file);
    std::uint64_t offset = this->segmentBytes;
    for (const NewEntry& entry : batch.entries) {
        locations.push_back({ this->openSegment, offset, entry.bytes->size() });
        offset += headerBytes + entry.bytes->size();
        if (!out.add(*entry.bytes))
            return false;
    }
    return out.flush();
}

// --- Reading

std::optional<std::string> RecordLog::read(const LogLocation& at) const
{
    int fd = ::open(this->segmentPath(at.segment).c_str(), O_RDONLY | O_CLOEXEC);
    if (fd < 0)
        return std::nullopt;
    std::string bytes(headerBytes + at.bytes, '\0');
    std::size_t have = 0;
    bool readable = ::lseek(fd, static_cast<off_t>(at.offset), SEEK_SET) == static_cast<off_t>(at.offset);
    while (readable && have < bytes.size()) {
        ssize_t count = ::read(fd, bytes.data() + have, bytes.size() - have);
        if (count < 0 && errno == EINTR)
            continue;
        readable = count > 0;
        have += readable ? static_cast<std::size_t>(count) : 0;
    }
    ::close(fd);
    std::string header;
    if (readable)
        detail::appendEntryHeader(header, std::string_view(bytes).substr(headerBytes));
    if (!readable || std::string_view(bytes).substr(0, headerBytes) != header) {
        LogLine(LogLevel::Error, "record_log")
            .field("problem", "entry not readable")
            .field("segment", at.segment)
            .field("offset", at.offset)
            .write();
        return std::nullopt;
    }
    bytes.erase(0, headerBytes);
    return bytes;
}

// --- Compaction

void RecordLog::discard(const LogLocation& at)
{
    if (at.segment == 0)
        return;
    std::lock_guard lock(this->mutex);
    auto found = this->segments.find(at.segment);
    if (found != this->segments.end())
        found->second.discarded += headerBytes + at.bytes;
}

// The mutex must be held.
std::size_t RecordLog::discardedBytes() const
{
    std::size_t sum = 0;
    for (const auto& [number, use] : this->segments)
        sum += use.discarded;
    return sum;
}

// Returns the segment with the largest share of discarded entries, the open one included, or nullopt if too few bytes
// are discarded.
std::optional<RecordLog::Removal> RecordLog::segmentToRemove() const
{
    std::lock_guard lock(this->mutex);
    std::uint64_t chosen = 0;
    double largestShare = 0;
    for (const auto& [number, use] : this->segments) {
        bool isOpen = number == this->openSegment;
        double share = static_cast<double>(use.discarded) / static_cast<double>(std::max<std::size_t>(use.total, 1));
        if (use.total == 0)
            share = isOpen ? 0 : 1;
        if (share <= largestShare)
            continue;
        largestShare = share;
        chosen = number;
    }
    bool noneLives = largestShare >= 1 && chosen != this->openSegment;
    if (largestShare > 0 && (noneLives || this->discardedBytes() >= this->limits.discardedBytes))
        return Removal { chosen, noneLives };
    return std::nullopt;
}

void RecordLog::compactIfLarge(const ReplaceFunction& replace)
{
    constexpr int maxSegments = 16; // of one call, so that the other tasks of its thread are not delayed
    std::size_t before = this->bytes();
    int removed = 0;
    for (auto next = this->segmentToRemove(); next && removed < maxSegments; next = this->segmentToRemove()) {
        bool moved = next->noneLives || (this->closeSegment(next->number) && this->moveEntries(next->number, replace));
        if (!moved) {
            LogLine(LogLevel::Error, "record_log").field("problem", "compaction failed").field("errno", errno).write();
            return;
        }
        ::unlink(this->segmentPath(next->number).c_str());
        std::lock_guard lock(this->mutex);
        this->segments.erase(next->number);
        ++removed;
    }
    if (removed == 0)
        return;
    syncFolder(this->folder);
    LogLine(LogLevel::Info, "record_log_compacted")
        .field("segments", removed)
        .field("bytesBefore", before)
        .field("bytes", this->bytes())
        .write();
}

// Ends the segment if it is the open one. Returns false if no other one could be begun.
bool RecordLog::closeSegment(std::uint64_t number)
{
    {
        std::lock_guard lock(this->mutex);
        if (number != this->openSegment)
            return true;
    }
    this->endSegment = true;
    bool ended = this->appendAllDurably({});
    std::lock_guard lock(this->mutex);
    return ended && number != this->openSegment;
}

// Appends what `replace` returns for the entries of a segment. Returns whether all of it is durable.
bool RecordLog::moveEntries(std::uint64_t number, const ReplaceFunction& replace)
{
    SegmentReader reader(this->segmentPath(number));
    std::vector<NewEntry> batch;
    std::size_t batchBytes = 0;
    std::string_view entry;
    LogLocation at { number, 0, 0 };
    while (reader.next(entry, at.offset)) {
        at.bytes = entry.size();
        std::optional<NewEntry> replacement = replace(entry, at);
        if (!replacement)
            continue;
        batchBytes += replacement->bytes->size();
        batch.push_back(std::move(*replacement));
        if (batchBytes < moveBatchBytes)
            continue;
        if (!this->appendAllDurably(std::exchange(batch, {})))
            return false;
        batchBytes = 0;
    }
    if (reader.failed())
        return false;
    return batch.empty() || this->appendAllDurably(std::move(batch));
}

std::size_t RecordLog::bytes() const
{
    std::lock_guard lock(this->mutex);
    std::size_t sum = 0;
    for (const auto& [number, use] : this->segments)
        sum += use.total;
    return sum;
}

std::uint64_t RecordLog::syncs() const
{
    std::lock_guard lock(this->mutex);
    return this->syncCount;
}

void RecordLog::stop()
{
    {
        std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->wake.notify_all();
    if (this->writer.joinable())
        this->writer.join();
}

} // namespace lovagecross
