#include "lovagecross/gateway/CrashEvidence.h"

namespace lovagecross {

bool looksEnded(const LostRun& run)
{
    bool acceptsNothing = run.refused || run.closesNewConnections;
    return run.restarted || (acceptsNothing && !run.answered && run.kind != LossKind::Silent);
}

EndEvidence endEvidence(const LostRun& run)
{
    if (run.restarted)
        return EndEvidence::Ended;
    if (run.answered || run.age > (run.kind == LossKind::Abandoned ? abandonedEvidenceTime : evidenceTime))
        return EndEvidence::NotShown;
    if (run.age < (run.refused ? evidenceSettleTime : closingSettleTime))
        return EndEvidence::Pending;
    return looksEnded(run) && run.othersReached ? EndEvidence::Ended : EndEvidence::Pending;
}

} // namespace lovagecross
