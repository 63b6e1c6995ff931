#include "lovagecross/limits/PermitIssuer.h"

#include "lovagecross/limits/RateLimitLog.h"
#include "lovagecross/limits/RateLimitNotices.h"

#include <algorithm>
#include <utility>

namespace lovagecross {

PermitIssuer::PermitIssuer(
    const Clock& givenClock, PeerClient& peerClient, SlicePlacement slicePlacement, Counters& counters)
    : clock(givenClock)
    , peers(peerClient)
    , placement(std::move(slicePlacement))
    , granted(counters.counter("permits.granted"))
    , denied(counters.counter("permits.denied"))
{
}

PermitAnswer PermitIssuer::handle(const PermitRequest& request)
{
    this->learn({ request.known }, LimitSource::EntryNode);
    std::size_t slices = this->placement.slices(request.known.server);
    std::lock_guard lock(this->mutex);
    return this->decide(request, slices, this->clock.now());
}

PermitAnswer PermitIssuer::decide(const PermitRequest& request, std::size_t slices, TimePoint now)
{
    ServerKey server { request.known.server, request.known.startedUnixMillis };
    const RateLimit* limit = this->table.find(server);
    PermitAnswer answer;
    answer.newest = limit != nullptr ? toNotice({ server, *limit }, now) : request.known;
    bool unlimited = limit == nullptr || !limit->perSecond;
    answer.issuer = unlimited || slices > 0;
    answer.granted = unlimited;
    if (unlimited || !answer.issuer)
        return answer;
    PermitSlice& slice = this->sliceByServer[server];
    setSliceRate(slice, std::max(*limit->perSecond, minRequestsPerSecond) / static_cast<double>(slices), now);
    PermitDecision decision = takePermit(slice, now);
    answer.granted = decision.granted;
    answer.retryAfter = decision.retryAfter;
    (decision.granted ? this->granted : this->denied).add();
    return answer;
}

void PermitIssuer::handle(const LimitReport& report)
{
    this->learn(report.limits, report.relayed ? LimitSource::RecordNode : LimitSource::EntryNode);
}

std::vector<RateLimitNotice> PermitIssuer::limits()
{
    std::lock_guard lock(this->mutex);
    TimePoint now = this->clock.now();
    this->table.removeExpired(now);
    std::erase_if(this->sliceByServer, [this](const auto& entry) { return this->table.find(entry.first) == nullptr; });
    std::vector<RateLimitNotice> all;
    for (const ServerRateLimit& known : this->table.list())
        all.push_back(toNotice(known, now));
    return all;
}

void PermitIssuer::learn(const std::vector<RateLimitNotice>& notices, LimitSource source)
{
    LimitReport news { {}, true };
    {
        std::lock_guard lock(this->mutex);
        TimePoint now = this->clock.now();
        for (const RateLimitNotice& notice : notices) {
            if (this->store(fromNotice(notice, now), source, now))
                news.limits.push_back(notice);
        }
    }
    if (source != LimitSource::EntryNode || news.limits.empty())
        return;
    for (const std::string& address : this->placement.otherNodes())
        this->peers.notify(address, news);
}

bool PermitIssuer::store(const ServerRateLimit& observed, LimitSource source, TimePoint now)
{
    if (!this->table.learn(observed.server, observed.limit))
        return false;
    logRateLimit(observed.server, observed.limit, source, now);
    if (!observed.limit.perSecond)
        this->sliceByServer.erase(observed.server);
    return true;
}

} // namespace lovagecross
