#include "lovagecross/gateway/CallRunner.h"

// Finds the tenant of a call by the caller's key, and checks the tenant's quota.

#include "lovagecross/gateway/QuotaUse.h"
#include "lovagecross/gateway/TenantQuotas.h"

namespace lovagecross {

namespace {

constexpr int statusTooManyRequests = 429;
constexpr Duration outdatedKeysRetryAfter = std::chrono::milliseconds(400); // another node may know the keys

} // namespace

// Returns the answer if the call is refused because of its key. On a public route a key is not needed, but one that
// names a tenant counts.
std::optional<AfterCall> CallRunner::identifyTenant(const Route& found)
{
    const TenantTable& tenants = this->view->configuration->tenants;
    if (tenants.empty())
        return std::nullopt;
    if (this->call.credential.kind == CredentialKind::Key)
        this->tenant = tenants.findByKey(this->call.credential.digest);
    if (found.isPublic)
        return std::nullopt;
    if (this->keysOutdated()) {
        this->closeAfterCall = true;
        return this->refuse(503, "the tenants' keys can't be confirmed now", outdatedKeysRetryAfter);
    }
    if (this->tenant != nullptr)
        return std::nullopt;
    this->parts.counters.unauthorized.add();
    switch (this->call.credential.kind) {
    case CredentialKind::None:
        return this->refuse(detail::statusUnauthorized, "a key is required");
    case CredentialKind::Malformed:
        return this->refuse(detail::statusUnauthorized, "the key is malformed");
    case CredentialKind::Key:
        break;
    }
    return this->refuse(detail::statusUnauthorized, "the key is unknown");
}

bool CallRunner::keysOutdated() const
{
    const RevocationPolicy& policy = this->parts.revocation;
    return policy.strict && this->parts.directory.configurationAge() > policy.maxAge;
}

// Whether the key has been taken away, or given to another tenant, since the call arrived. What a server has begun goes
// on: the tokens are spent, and its caller was entitled to the answer when it asked.
bool CallRunner::keyWasRevoked() const
{
    if (this->tenant == nullptr || this->route->isPublic)
        return false;
    auto current = this->parts.directory.view();
    if (current->configuration == this->view->configuration)
        return false;
    const TenantEntry* now = current->configuration->tenants.findByKey(this->call.credential.digest);
    return now == nullptr || now->name != this->tenant->name;
}

// Returns the answer if the call is refused. Nothing has been sent to a server by then.
std::optional<AfterCall> CallRunner::refuseOverQuota(const Route& found)
{
    if (this->parts.quotas == nullptr || this->tenant == nullptr || !this->tenant->quota.limited())
        return std::nullopt;
    QuotaDecision decision = this->parts.quotas->admit(*this->tenant, quotaUseOf(found, this->call), this->deadline);
    switch (decision.outcome) {
    case QuotaOutcome::Admitted:
        return std::nullopt;
    case QuotaOutcome::OverQuota:
        this->parts.counters.overQuota.add();
        return this->refuse(statusTooManyRequests, "the tenant's quota is reached", decision.retryAfter);
    case QuotaOutcome::Unknown:
        break;
    }
    this->closeAfterCall = true; // another node may reach the nodes that keep the quota
    return this->refuse(503, "the tenant's quota can't be checked now", decision.retryAfter);
}

// Returns the tenant's priority, or that of the route for a tenant without one.
std::uint32_t CallRunner::priorityOn(const Route& found) const
{
    return this->tenant != nullptr ? this->tenant->priority.value_or(found.priority) : found.priority;
}

// Returns the id under which records of the call's tenant are stored, so that tenants that use the same id don't share
// records. The length of the name keeps the names and ids of two tenants from adding up to the same text.
std::string CallRunner::scoped(const std::string& id) const
{
    if (this->tenant == nullptr || id.empty())
        return id;
    const std::string& name = this->tenant->name;
    return std::to_string(name.size()) + ':' + name + ':' + id;
}

} // namespace lovagecross
