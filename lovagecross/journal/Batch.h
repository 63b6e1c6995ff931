#pragma once

// Binary format of one journal object. Internal to the journal component.
//
//     offset  bytes
//     0       4      magic "LXJB"
//     4       4      format version, 1
//     8       4      length of the header message
//     12      4      CRC-32 of bytes 0 to 11 and of the header message
//     16      ...    header message (journal.proto, BatchHeader)
//     then for each record: length (4), CRC-32 of the length and the record (4), record (journal.proto, Record)
//
// Numbers are little-endian. The header contains the number and total length of the records and the position of the
// batch, so that truncation at a record boundary and an object stored under the wrong key are detected too.
//
// Thread safety: free functions without state.

#include "lovagecross/journal/Journal.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace lovagecross::detail {

// Upper bound of the encoded header. The header contains three names of at most 32 characters and is far smaller.
inline constexpr std::size_t maxBatchHeaderBytes = 1024;

// Encodes a record as in a batch: length, checksum, record.
std::string frameRecord(const Record& record);

// Encodes a batch for `position` from records that frameRecord has encoded.
std::string assembleBatch(const JournalWriter& writer, const ShardId& shard, JournalPosition position,
    std::string_view framedRecords, std::size_t recordCount);

struct VerifiedBatch {
    DecodedBatch batch;
    std::uint64_t nonce = 0;
};

// Decodes and validates a batch like decodeBatch, and also returns its nonce.
Result<VerifiedBatch> decodeAndVerifyBatch(std::string_view key, std::string_view bytes);

} // namespace lovagecross::detail
