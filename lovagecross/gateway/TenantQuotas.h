#pragma once

// Interface of the gateway to the tenants' request quotas, which hold for all nodes together. Implemented by
// `quotas/QuotaClient`; tests use fakes.
//
// Thread safety: implementations may be called from any thread.

#include "lovagecross/base/Clock.h"
#include "lovagecross/base/NameTable.h"
#include "lovagecross/tenants/TenantTable.h"

namespace lovagecross {

enum class QuotaOutcome {
    Admitted,
    OverQuota,
    Unknown, // no node that keeps the tenant's quota can be reached
};

inline constexpr NameTable<QuotaOutcome, 3> quotaOutcomeNames { { {
    { QuotaOutcome::Admitted, "admitted" },
    { QuotaOutcome::OverQuota, "over_quota" },
    { QuotaOutcome::Unknown, "unknown" },
} } };

// What a call stands for. Near the quota, calls of programs that have begun are admitted before new programs.
enum class QuotaUse {
    NewProgram,
    BegunProgram,
};

struct QuotaDecision {
    QuotaOutcome outcome = QuotaOutcome::Admitted;
    Duration retryAfter { 0 }; // unless admitted
};

class TenantQuotas {
public:
    virtual ~TenantQuotas() = default;

    // Counts one call of the tenant, which is then sent to a server or not: a call that was admitted is not given back.
    virtual QuotaDecision admit(const TenantEntry& tenant, QuotaUse use, TimePoint deadline) = 0;
};

} // namespace lovagecross
