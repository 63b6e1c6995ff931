#include "lovagecross/records/RecordLog.h"

#include "lovagecross/adapters/Log.h"

#include <Poco/Checksum.h>
#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <dirent.h>
#include <fcntl.h>
#include <memory>
#include <random>
#include <sys/stat.h>
#include <unistd.h>

namespace lovagecross {

namespace {

constexpr std::size_t headerBytes = 8; // length and checksum, little endian
constexpr std::size_t maxEntryBytes = 16 * 1024 * 1024;
constexpr std::string_view segmentPrefix = "segment-";
constexpr std::string_view identityName = "identity";
constexpr std::uint64_t identityMask = (std::uint64_t(1) << 52U) - 1; // a JSON number holds the value exactly

std::uint32_t checksumOf(std::string_view bytes)
{
    Poco::Checksum checksum(Poco::Checksum::TYPE_CRC32);
    checksum.update(bytes.data(), static_cast<unsigned>(bytes.size()));
    return checksum.checksum();
}

void appendUint32(std::string& out, std::uint32_t number)
{
    for (unsigned shift = 0; shift < 32; shift += 8)
        out += static_cast<char>((number >> shift) & 0xffU);
}

std::uint32_t readUint32(std::string_view bytes)
{
    std::uint32_t number = 0;
    for (unsigned i = 0; i < 4; ++i)
        number |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
    return number;
}

std::string encodeFrame(std::string_view entry)
{
    std::string bytes;
    bytes.reserve(headerBytes + entry.size());
    appendUint32(bytes, static_cast<std::uint32_t>(entry.size()));
    appendUint32(bytes, checksumOf(entry));
    bytes += entry;
    return bytes;
}

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

bool writeWhole(int fd, std::string_view bytes)
{
    while (!bytes.empty()) {
        ssize_t count = ::write(fd, bytes.data(), bytes.size());
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
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

RecordLog::RecordLog(std::string logFolder, std::size_t compactAboveBytes)
    : folder(std::move(logFolder))
    , compactAbove(compactAboveBytes)
    , pendingBatch(std::make_shared<Batch>())
{
}

RecordLog::~RecordLog()
{
    this->stop();
    if (this->file >= 0)
        ::close(this->file);
}

LogRecovery RecordLog::open()
{
    LogRecovery recovery;
    if (::mkdir(this->folder.c_str(), 0700) != 0 && errno != EEXIST) {
        recovery.error = this->folder + ": " + std::strerror(errno);
        return recovery;
    }
    bool hasIdentity = this->readIdentity(recovery);
    if (hasIdentity)
        this->readSegments(recovery);
    recovery.wasEmpty = !hasIdentity;
    std::vector<std::uint64_t> numbers = this->segmentNumbers();
    std::lock_guard lock(this->fileMutex);
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

void RecordLog::readSegments(LogRecovery& recovery)
{
    for (std::uint64_t number : this->segmentNumbers()) {
        std::string content;
        if (!readWholeFile(this->segmentPath(number), content)) {
            LogLine(LogLevel::Error, "record_log")
                .field("problem", "segment not readable")
                .field("segment", number)
                .write();
        }
        std::string_view rest = content;
        while (rest.size() >= headerBytes) {
            std::size_t size = readUint32(rest);
            if (size > maxEntryBytes || rest.size() - headerBytes < size)
                break;
            std::string_view entry = rest.substr(headerBytes, size);
            if (checksumOf(entry) != readUint32(rest.substr(4)))
                break;
            recovery.entries.emplace_back(entry);
            rest.remove_prefix(headerBytes + size);
        }
        recovery.droppedBytes += rest.size();
        this->logBytes += content.size();
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
    this->segment = number;
    this->segmentBytes = 0;
    this->segmentDamaged = false;
    return true;
}

bool RecordLog::appendAllDurably(const std::vector<std::string>& entries)
{
    std::string bytes;
    for (const std::string& entry : entries)
        bytes += encodeFrame(entry);
    std::unique_lock lock(this->mutex);
    if (this->stopping)
        return false;
    std::shared_ptr<Batch> batch = this->pendingBatch;
    batch->bytes += bytes;
    ++batch->waiting;
    this->wake.notify_one();
    this->committed.wait(lock, [&] { return batch->done; });
    return batch->stored;
}

void RecordLog::appendAsync(std::string_view entry)
{
    std::string bytes = encodeFrame(entry);
    std::lock_guard lock(this->mutex);
    this->pendingBatch->bytes += bytes;
}

void RecordLog::run()
{
    std::unique_lock lock(this->mutex);
    for (;;) {
        // Entries of `appendAsync` are written with the next awaited batch, or after one second.
        this->wake.wait_for(
            lock, std::chrono::seconds(1), [this] { return this->stopping || this->pendingBatch->waiting > 0; });
        if (this->pendingBatch->bytes.empty()) {
            if (this->stopping)
                return;
            continue;
        }
        std::shared_ptr<Batch> batch = std::exchange(this->pendingBatch, std::make_shared<Batch>());
        lock.unlock();
        bool stored = this->writeBatch(batch->bytes);
        lock.lock();
        batch->stored = stored;
        batch->done = true;
        ++this->syncCount;
        if (stored)
            this->logBytes += batch->bytes.size();
        this->committed.notify_all();
    }
}

bool RecordLog::writeBatch(const std::string& bytes)
{
    std::lock_guard lock(this->fileMutex);
    if (this->segmentDamaged && !this->startSegment(this->segment + 1))
        return false;
    if (writeWhole(this->file, bytes) && ::fdatasync(this->file) == 0) {
        this->segmentBytes += bytes.size();
        return true;
    }
    LogLine(LogLevel::Error, "record_log")
        .field("problem", "write failed")
        .field("errno", errno)
        .field("bytes", bytes.size())
        .write();
    // Remove a torn entry, since recovery would stop there and lose all later entries.
    auto validBytes = static_cast<off_t>(this->segmentBytes);
    this->segmentDamaged
        = ::ftruncate(this->file, validBytes) != 0 || ::lseek(this->file, validBytes, SEEK_SET) != validBytes;
    return false;
}

void RecordLog::compactIfLarge(const LiveEntriesFunction& live)
{
    if (this->bytes() < this->compactAbove)
        return;
    std::lock_guard lock(this->fileMutex);
    std::vector<std::uint64_t> old = this->segmentNumbers();
    if (!this->startSegment(this->segment + 1))
        return;
    std::string bytes;
    for (const std::string& entry : live())
        bytes += encodeFrame(entry);
    if (!writeWhole(this->file, bytes) || ::fdatasync(this->file) != 0) {
        this->segmentDamaged = true;
        return;
    }
    this->segmentBytes = bytes.size();
    syncFolder(this->folder); // the new segment must not vanish after the old ones are removed
    for (std::uint64_t number : old)
        ::unlink(this->segmentPath(number).c_str());
    syncFolder(this->folder);
    std::lock_guard countLock(this->mutex);
    this->logBytes = bytes.size();
    LogLine(LogLevel::Info, "record_log_compacted").field("bytes", bytes.size()).write();
}

std::size_t RecordLog::bytes() const
{
    std::lock_guard lock(this->mutex);
    return this->logBytes;
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
