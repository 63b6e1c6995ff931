#pragma once

// What the statuses mean that every object API over HTTP refuses a call with. Internal to the adapters.
//
// Thread safety: free function.

#include "lovagecross/ports/ObjectStore.h"

#include <optional>

namespace lovagecross::detail {

// `conflictStatus` is what the API answers when a condition is not met. nullopt for any other status.
inline std::optional<StoreStatus> storeStatusOfRefusal(int status, int conflictStatus)
{
    if (status == conflictStatus)
        return StoreStatus::Conflict;
    switch (status) {
    case 404:
        return StoreStatus::NotFound;
    case 413:
        return StoreStatus::TooLarge;
    case 429:
        return StoreStatus::RateLimited;
    case 503:
        return StoreStatus::Unavailable;
    default:
        return std::nullopt;
    }
}

} // namespace lovagecross::detail
