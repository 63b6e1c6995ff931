#pragma once

// Answers other nodes' questions about the configuration and the registry from this node's directory.
//
// Thread safety: free function; any thread.

#include "lovagecross/gateway/Directory.h"
#include "lovagecross/ports/Peer.h"

namespace lovagecross {

DirectoryUpdate answerDirectoryFetch(const Directory& directory, const DirectoryFetch& fetch);

} // namespace lovagecross
