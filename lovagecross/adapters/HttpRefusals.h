#pragma once

// Maps the HTTP error statuses that all object store APIs share to StoreStatus. Only for the adapters here
// and in platform/.
//
// Thread safety: the function has no state; any thread may call it.

#include "lovagecross/ports/ObjectStore.h"

#include <optional>

namespace lovagecross::detail {

// `conflictStatus` is the HTTP status that the API returns when a precondition fails. Returns nullopt for a status that
// isn't shared by all APIs.
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
