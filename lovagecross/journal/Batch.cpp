#include "lovagecross/journal/Batch.h"

#include "lovagecross/journal/RecordCodec.h"
#include "lovagecross/journal/journal.pb.h"

#include <array>
#include <boost/crc.hpp>
#include <charconv>
#include <cstdio>
#include <utility>

namespace lovagecross {

namespace detail {

namespace {

constexpr std::string_view magic = "LXJB";
constexpr std::uint32_t formatVersion = 1;
constexpr std::size_t wordBytes = 4;
constexpr std::size_t headerMessageOffset = 4 * wordBytes;
constexpr std::size_t checksummedPrefixBytes = 3 * wordBytes;
constexpr std::size_t frameHeaderBytes = 2 * wordBytes;

void appendWord(std::string& out, std::uint32_t word)
{
    for (unsigned shift = 0; shift < 32; shift += 8)
        out.push_back(static_cast<char>((word >> shift) & 0xff));
}

// Requires bytes.size() >= offset + wordBytes.
std::uint32_t readWord(std::string_view bytes, std::size_t offset)
{
    std::uint32_t word = 0;
    for (std::size_t i = 0; i < wordBytes; ++i)
        word |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[offset + i])) << (8 * i);
    return word;
}

std::uint32_t checksum(std::string_view first, std::string_view second)
{
    boost::crc_32_type crc;
    crc.process_bytes(first.data(), first.size());
    crc.process_bytes(second.data(), second.size());
    return crc.checksum();
}

// 64-bit FNV-1a, continued from `hash`.
std::uint64_t fnv1a(std::uint64_t hash, std::string_view bytes)
{
    constexpr std::uint64_t prime = 0x100000001b3;
    for (char byte : bytes) {
        hash ^= static_cast<unsigned char>(byte);
        hash *= prime;
    }
    return hash;
}

// Digest of the records and of all header fields but the nonce.
std::uint64_t computeNonce(journalpb::BatchHeader header, std::string_view framedRecords)
{
    constexpr std::uint64_t offsetBasis = 0xcbf29ce484222325;
    header.set_nonce(0);
    return fnv1a(fnv1a(offsetBasis, header.SerializeAsString()), framedRecords);
}

std::string serializeBatch(journalpb::BatchHeader& header, std::string_view framedRecords)
{
    header.set_nonce(computeNonce(header, framedRecords));
    std::string message = header.SerializeAsString();
    std::string bytes(magic);
    bytes.reserve(headerMessageOffset + message.size() + framedRecords.size());
    appendWord(bytes, formatVersion);
    appendWord(bytes, static_cast<std::uint32_t>(message.size()));
    appendWord(bytes, checksum(bytes, message));
    bytes += message;
    bytes += framedRecords;
    return bytes;
}

journalpb::BatchHeader makeHeader(const JournalWriter& writer, std::string_view framedRecords, std::size_t recordCount)
{
    journalpb::BatchHeader header;
    header.mutable_writer()->set_node(writer.node.node);
    header.mutable_writer()->set_incarnation(writer.node.incarnation);
    header.set_epoch(writer.epoch);
    header.set_record_count(static_cast<std::uint32_t>(recordCount));
    header.set_record_bytes(static_cast<std::uint32_t>(framedRecords.size()));
    return header;
}

boost::leaf::error_id corruptDataError(std::string_view key, std::size_t offset, std::string_view reason)
{
    std::string message = std::string(key) + ": offset " + std::to_string(offset) + ": " + std::string(reason);
    return fail(ErrorCode::CorruptData, std::string(key), std::move(message));
}

Result<journalpb::BatchHeader> decodeHeader(std::string_view key, std::string_view bytes)
{
    if (bytes.size() < headerMessageOffset)
        return corruptDataError(key, bytes.size(), "truncated before the end of the batch header");
    if (bytes.substr(0, magic.size()) != magic)
        return corruptDataError(key, 0, "not a journal batch");
    if (readWord(bytes, wordBytes) != formatVersion)
        return corruptDataError(
            key, wordBytes, "unsupported format version " + std::to_string(readWord(bytes, wordBytes)));
    std::uint32_t length = readWord(bytes, 2 * wordBytes);
    if (length > bytes.size() - headerMessageOffset)
        return corruptDataError(key, bytes.size(), "truncated inside the batch header");
    std::string_view message = bytes.substr(headerMessageOffset, length);
    if (readWord(bytes, 3 * wordBytes) != checksum(bytes.substr(0, checksummedPrefixBytes), message))
        return corruptDataError(key, 3 * wordBytes, "checksum of the batch header does not match");
    journalpb::BatchHeader header;
    if (!header.ParseFromArray(message.data(), static_cast<int>(message.size())))
        return corruptDataError(key, headerMessageOffset, "malformed batch header");
    if (header.record_bytes() != bytes.size() - headerMessageOffset - length)
        return corruptDataError(key, bytes.size(),
            "the header specifies " + std::to_string(header.record_bytes()) + " bytes of records, but "
                + std::to_string(bytes.size() - headerMessageOffset - length) + " follow");
    if (header.has_place()) {
        const journalpb::Place& place = header.place();
        std::string keyOfPlace
            = journalKey({ place.data_centre(), place.shard() }, { place.generation(), place.sequence() });
        if (keyOfPlace != key)
            return corruptDataError(key, headerMessageOffset, "the batch was written for the key " + keyOfPlace);
    }
    return header;
}

Result<Record> decodeFramedRecord(std::string_view key, std::string_view bytes, std::size_t& offset)
{
    std::size_t start = offset;
    if (bytes.size() - start < frameHeaderBytes)
        return corruptDataError(key, start, "truncated record");
    std::uint32_t length = readWord(bytes, start);
    if (length > bytes.size() - start - frameHeaderBytes)
        return corruptDataError(key, start, "truncated record");
    std::string_view body = bytes.substr(start + frameHeaderBytes, length);
    if (readWord(bytes, start + wordBytes) != checksum(bytes.substr(start, wordBytes), body))
        return corruptDataError(key, start, "checksum of the record does not match");
    std::optional<Record> record = decodeRecord(body);
    if (!record)
        return corruptDataError(key, start, "malformed record or unknown record type");
    offset = start + frameHeaderBytes + length;
    return std::move(*record);
}

} // namespace

std::string frameRecord(const Record& record)
{
    std::string body = encodeRecord(record);
    std::string framed;
    framed.reserve(frameHeaderBytes + body.size());
    appendWord(framed, static_cast<std::uint32_t>(body.size()));
    appendWord(framed, checksum(framed, body));
    framed += body;
    return framed;
}

std::string assembleBatch(const JournalWriter& writer, const ShardId& shard, JournalPosition position,
    std::string_view framedRecords, std::size_t recordCount)
{
    journalpb::BatchHeader header = makeHeader(writer, framedRecords, recordCount);
    header.mutable_place()->set_data_centre(shard.dataCentre);
    header.mutable_place()->set_shard(shard.index);
    header.mutable_place()->set_generation(position.generation);
    header.mutable_place()->set_sequence(position.sequence);
    return serializeBatch(header, framedRecords);
}

Result<VerifiedBatch> decodeAndVerifyBatch(std::string_view key, std::string_view bytes)
{
    BOOST_LEAF_AUTO(header, decodeHeader(key, bytes));
    VerifiedBatch checked;
    checked.nonce = header.nonce();
    checked.batch.writer.node = { header.writer().node(), header.writer().incarnation() };
    checked.batch.writer.epoch = header.epoch();
    std::size_t firstRecord = bytes.size() - header.record_bytes();
    std::size_t offset = firstRecord;
    while (offset < bytes.size()) {
        BOOST_LEAF_AUTO(record, decodeFramedRecord(key, bytes, offset));
        checked.batch.records.push_back(std::move(record));
    }
    if (checked.batch.records.size() != header.record_count())
        return corruptDataError(key, bytes.size(), "the number of records differs from the header's record count");
    if (computeNonce(header, bytes.substr(firstRecord)) != header.nonce())
        return corruptDataError(key, headerMessageOffset, "the records do not match the header's nonce");
    return checked;
}

} // namespace detail

namespace {

constexpr std::size_t generationDigits = 8;
constexpr std::size_t sequenceDigits = 10;

template <typename Integer> std::optional<Integer> parseDigits(std::string_view text)
{
    Integer value = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

} // namespace

std::string journalPrefix(const ShardId& shard)
{
    return "journal/" + shard.toString() + "/";
}

std::string journalKey(const ShardId& shard, JournalPosition position)
{
    std::array<char, 48> buffer {};
    int length = std::snprintf(buffer.data(), buffer.size(), "%08llu/%010llu",
        static_cast<unsigned long long>(position.generation), static_cast<unsigned long long>(position.sequence));
    return journalPrefix(shard) + std::string(buffer.data(), static_cast<std::size_t>(length));
}

std::optional<JournalPosition> parseJournalKey(const ShardId& shard, std::string_view key)
{
    std::string prefix = journalPrefix(shard);
    if (key.size() != prefix.size() + generationDigits + 1 + sequenceDigits || !key.starts_with(prefix))
        return std::nullopt;
    std::string_view tail = key.substr(prefix.size());
    auto generation = parseDigits<std::uint32_t>(tail.substr(0, generationDigits));
    auto sequence = parseDigits<std::uint64_t>(tail.substr(generationDigits + 1));
    if (!generation || !sequence || tail[generationDigits] != '/')
        return std::nullopt;
    return JournalPosition { *generation, *sequence };
}

Result<std::string> encodeBatch(const JournalWriter& writer, const std::vector<Record>& records)
{
    std::string framed;
    for (const Record& record : records)
        framed += detail::frameRecord(record);
    if (framed.size() > maxObjectBytes)
        return fail(ErrorCode::TooLarge, "records",
            "a batch of " + std::to_string(framed.size()) + " bytes exceeds the limit of "
                + std::to_string(maxObjectBytes));
    journalpb::BatchHeader header = detail::makeHeader(writer, framed, records.size());
    std::string bytes = detail::serializeBatch(header, framed);
    if (bytes.size() > maxObjectBytes)
        return fail(ErrorCode::TooLarge, "records",
            "a batch of " + std::to_string(bytes.size()) + " bytes exceeds the limit of "
                + std::to_string(maxObjectBytes));
    return bytes;
}

Result<DecodedBatch> decodeBatch(std::string_view key, std::string_view bytes)
{
    BOOST_LEAF_AUTO(checked, detail::decodeAndVerifyBatch(key, bytes));
    return std::move(checked.batch);
}

} // namespace lovagecross
