#pragma once

// Computes the digests by which engines identify prompt prefixes in their cache events (docs/backend-protocols.md,
// "Details of the stand-ins").
//
// Thread safety: a free function.

#include "lovagecross/placement/BackendTable.h"

#include <string>
#include <vector>

namespace lovagecross {

// Returns one entry per message of a chat-completions `messages` array, shortest prefix first. Stops before the first
// message whose role or content is not a string, because its digest is undefined. Returns an empty vector for text that
// is not a JSON array.
std::vector<PromptPrefix> promptPrefixes(const std::string& messagesJson);

} // namespace lovagecross
