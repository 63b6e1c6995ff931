#pragma once

// Answers configuration and registry requests of other nodes from this node's directory.
//
// Thread safety: a free function that may be called from any thread.

#include "lovagecross/gateway/Directory.h"
#include "lovagecross/ports/Peer.h"

namespace lovagecross {

DirectoryUpdate answerDirectoryFetch(const Directory& directory, const DirectoryFetch& fetch);

} // namespace lovagecross
