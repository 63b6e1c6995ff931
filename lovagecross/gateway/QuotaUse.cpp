#include "lovagecross/gateway/QuotaUse.h"

namespace lovagecross {

namespace {

constexpr std::size_t partsOfFirstTurn = 2;

} // namespace

QuotaUse quotaUseOf(const Route& route, const Call& call)
{
    bool continues = !call.previousTurn.empty() || call.lastEventId.has_value();
    bool isLaterTurn = !route.storesTurns && call.prompt.size() > partsOfFirstTurn;
    bool begins = route.kind == RouteKind::Streaming && !continues && !isLaterTurn;
    return begins ? QuotaUse::NewProgram : QuotaUse::BegunProgram;
}

} // namespace lovagecross
