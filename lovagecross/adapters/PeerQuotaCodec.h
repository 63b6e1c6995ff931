#pragma once

// Serialization of messages about tenants' quotas. A part of PeerCodec, internal to the adapters. `read` returns false
// for a malformed message.
//
// Thread safety: the functions share no state and may be called from any thread.

#include "lovagecross/ports/Peer.h"
#include "lovagecross/proto/peer.pb.h"

#include <cstddef>
#include <cstdint>

namespace lovagecross::detail {

inline constexpr std::size_t maxTenantNameBytes = 1024;
inline constexpr std::uint32_t maxTokensPerMessage = 100'000;
inline constexpr double maxQuotaNumber = 1e9; // of rates, bursts and levels

void write(const QuotaRequest& request, proto::QuotaRequest* out);
bool read(const proto::QuotaRequest& in, QuotaRequest& request);

void write(const QuotaAnswer& answer, proto::QuotaAnswer* out);
bool read(const proto::QuotaAnswer& in, QuotaAnswer& answer);

} // namespace lovagecross::detail
