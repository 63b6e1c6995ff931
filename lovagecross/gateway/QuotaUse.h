#pragma once

// Tells calls that begin a program from those that go on with one, for the order near a tenant's quota.
//
// Thread safety: free function.

#include "lovagecross/gateway/Call.h"
#include "lovagecross/gateway/Route.h"
#include "lovagecross/gateway/TenantQuotas.h"

namespace lovagecross {

// Callers don't say whether a program begins. Its first call streams, continues no turn and takes up no stream. On a
// route that stores no turns, callers send the whole conversation: later turns have more parts than a first one, which
// has the part that programs share and its own.
QuotaUse quotaUseOf(const Route& route, const Call& call);

} // namespace lovagecross
