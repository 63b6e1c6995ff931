#pragma once

// Encodes and decodes single records as protobuf messages (journal.proto). Internal to the journal component.
//
// Thread safety: free functions without state.

#include "lovagecross/journal/Record.h"

#include <optional>
#include <string>
#include <string_view>

namespace lovagecross::detail {

// Deterministic: equal records have equal encodings.
std::string encodeRecord(const Record& record);

// Returns nullopt if `bytes` is malformed or has an enum value or record type that this version doesn't know.
std::optional<Record> decodeRecord(std::string_view bytes);

} // namespace lovagecross::detail
