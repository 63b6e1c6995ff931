#include "lovagecross/adapters/PeerQuotaCodec.h"

#include "lovagecross/adapters/PeerDirectoryCodec.h"

namespace lovagecross::detail {

namespace {

bool isSaneNumber(double number)
{
    return number >= 0 && number <= maxQuotaNumber; // false for NaN
}

} // namespace

void write(const QuotaRequest& request, proto::QuotaRequest* out)
{
    out->set_tenant(request.tenant);
    out->set_per_second(request.perSecond);
    out->set_burst(request.burst);
    out->set_configuration_version(request.configurationVersion);
    out->set_roster_epoch(request.rosterEpoch);
    out->set_needed(request.needed);
    out->set_begun(request.begun);
    out->set_extra(request.extra);
}

bool read(const proto::QuotaRequest& in, QuotaRequest& request)
{
    request = { in.tenant(), in.per_second(), in.burst(), in.configuration_version(), in.roster_epoch(), in.needed(),
        in.begun(), in.extra() };
    return request.tenant.size() <= maxTenantNameBytes && isSaneNumber(request.perSecond) && isSaneNumber(request.burst)
        && request.needed <= maxTokensPerMessage && request.extra <= maxTokensPerMessage
        && request.begun <= request.needed;
}

void write(const QuotaAnswer& answer, proto::QuotaAnswer* out)
{
    out->set_issuer(answer.issuer);
    out->set_granted(answer.granted);
    out->set_level(answer.level);
    out->set_retry_after_nanos(answer.retryAfter.count());
    out->set_configuration_version(answer.configurationVersion);
    out->set_roster_epoch(answer.rosterEpoch);
    out->set_confirmed(answer.confirmed);
    out->set_roster_age_nanos(answer.rosterAge.count());
    out->set_configuration_age_nanos(answer.configurationAge.count());
}

bool read(const proto::QuotaAnswer& in, QuotaAnswer& answer)
{
    answer = { in.issuer(), in.granted(), in.level(), Duration(in.retry_after_nanos()), in.configuration_version(),
        in.roster_epoch(), in.confirmed(), Duration(in.roster_age_nanos()), Duration(in.configuration_age_nanos()) };
    bool saneAges = answer.rosterAge >= Duration(0) && isSaneDuration(answer.rosterAge)
        && answer.configurationAge >= Duration(0) && isSaneDuration(answer.configurationAge);
    return saneAges && answer.granted <= 2 * maxTokensPerMessage && isSaneNumber(answer.level)
        && answer.retryAfter >= Duration(0) && isSaneDuration(answer.retryAfter);
}

} // namespace lovagecross::detail
