#include "lovagecross/records/SegmentFile.h"

#include <Poco/Checksum.h>
#include <cerrno>
#include <fcntl.h>
#include <unistd.h>

namespace lovagecross::detail {

namespace {

constexpr std::size_t maxEntryBytes = 16 * 1024 * 1024;
constexpr std::size_t blockBytes = 64 * 1024; // of one read

std::uint32_t checksumOf(std::string_view bytes)
{
    Poco::Checksum checksum(Poco::Checksum::TYPE_CRC32);
    checksum.update(bytes.data(), static_cast<unsigned>(bytes.size()));
    return checksum.checksum();
}

std::uint32_t readUint32(std::string_view bytes)
{
    std::uint32_t number = 0;
    for (unsigned i = 0; i < 4; ++i)
        number |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
    return number;
}

} // namespace

void appendUint32(std::string& out, std::uint32_t number)
{
    for (unsigned shift = 0; shift < 32; shift += 8)
        out += static_cast<char>((number >> shift) & 0xffU);
}

void appendEntryHeader(std::string& out, std::string_view entry)
{
    appendUint32(out, static_cast<std::uint32_t>(entry.size()));
    appendUint32(out, checksumOf(entry));
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

SegmentReader::SegmentReader(const std::string& path)
    : fd(::open(path.c_str(), O_RDONLY | O_CLOEXEC))
    , readFailed(this->fd < 0)
    , atEnd(this->fd < 0)
{
}

SegmentReader::~SegmentReader()
{
    if (this->fd >= 0)
        ::close(this->fd);
}

bool SegmentReader::next(std::string_view& entry, std::uint64_t& start)
{
    if (!this->require(headerBytes))
        return false;
    std::size_t size = readUint32(this->unread());
    if (size > maxEntryBytes || !this->require(headerBytes + size))
        return false;
    std::string_view found = this->unread().substr(headerBytes, size);
    if (checksumOf(found) != readUint32(this->unread().substr(4)))
        return false;
    start = this->totalBytes - this->unread().size();
    this->offset += headerBytes + size;
    entry = found;
    return true;
}

std::size_t SegmentReader::skipRest()
{
    std::size_t rest = 0;
    do {
        rest += this->unread().size();
        this->window.clear();
        this->offset = 0;
    } while (this->readBlock());
    return rest;
}

// Reads until `count` unread bytes are in the window. Returns false if the segment has fewer.
bool SegmentReader::require(std::size_t count)
{
    if (this->unread().size() >= count)
        return true;
    this->window.erase(0, this->offset);
    this->offset = 0;
    this->window.reserve(count + blockBytes);
    while (this->window.size() < count) {
        if (!this->readBlock())
            return false;
    }
    return true;
}

// Returns false at the end of the segment and after an error.
bool SegmentReader::readBlock()
{
    if (this->atEnd)
        return false;
    std::size_t before = this->window.size();
    this->window.resize(before + blockBytes);
    ssize_t count = ::read(this->fd, this->window.data() + before, blockBytes);
    std::size_t added = count > 0 ? static_cast<std::size_t>(count) : 0;
    this->window.resize(before + added);
    this->totalBytes += added;
    this->readFailed = count < 0;
    this->atEnd = count <= 0;
    return !this->atEnd;
}

bool SegmentWriter::add(std::string_view entry)
{
    appendEntryHeader(this->block, entry);
    if (entry.size() >= blockBytes) // appending it would copy it
        return this->flush() && writeWhole(this->fd, entry);
    this->block += entry;
    return this->block.size() < blockBytes || this->flush();
}

bool SegmentWriter::flush()
{
    this->stored = this->stored && writeWhole(this->fd, this->block);
    this->block.clear();
    return this->stored;
}

} // namespace lovagecross::detail
