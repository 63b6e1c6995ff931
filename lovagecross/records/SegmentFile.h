#pragma once

// The entries of one file of a `RecordLog`: each has a header with its length and checksum.
//
//     SegmentWriter out(fd);
//     bool stored = out.add(entry) && out.flush();
//     SegmentReader reader("/data/records/segment-1");
//     while (reader.next(entry, start)) ...
//
// Thread safety: none; one thread uses an object.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace lovagecross::detail {

inline constexpr std::size_t headerBytes = 8; // length and checksum, little endian

void appendUint32(std::string& out, std::uint32_t number);
void appendEntryHeader(std::string& out, std::string_view entry);

// Returns false if not all bytes could be written.
bool writeWhole(int fd, std::string_view bytes);

// Reads the entries of a segment one after the other. Holds one entry and one block at most.
class SegmentReader {
public:
    explicit SegmentReader(const std::string& path);
    ~SegmentReader();
    SegmentReader(const SegmentReader&) = delete;
    SegmentReader& operator=(const SegmentReader&) = delete;

    // Sets `entry` to the next entry, which is valid until the next call, and `start` to where its header is. Returns
    // false at the end of the segment and at the first entry that is torn or doesn't match its checksum.
    bool next(std::string_view& entry, std::uint64_t& start);

    // Reads to the end of the segment. Returns the number of bytes after the last entry.
    std::size_t skipRest();

    bool failed() const { return this->readFailed; }
    std::size_t bytesRead() const { return this->totalBytes; }

private:
    std::string_view unread() const { return std::string_view(this->window).substr(this->offset); }
    bool require(std::size_t count);
    bool readBlock();

    const int fd;
    bool readFailed;
    bool atEnd;
    std::string window; // bytes of the file, read up to `offset`
    std::size_t offset = 0;
    std::size_t totalBytes = 0;
};

// Writes entries with their headers to a file, small ones in blocks.
class SegmentWriter {
public:
    explicit SegmentWriter(int openFile)
        : fd(openFile)
    {
    }

    // Returns false if this or an earlier write failed, as does `flush`.
    bool add(std::string_view entry);
    bool flush();

private:
    const int fd;
    std::string block;
    bool stored = true;
};

} // namespace lovagecross::detail
