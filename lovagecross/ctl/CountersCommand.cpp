#include "lovagecross/config/JsonText.h"
#include "lovagecross/ctl/Commands.h"
#include "lovagecross/ctl/Output.h"

namespace lovagecross {

Result<ExitCode> runCounters(CommandContext& context)
{
    BOOST_LEAF_AUTO(answer, context.client.get("/admin/counters"));
    const JsonNode* counters = findMember(answer, "counters");
    if (counters == nullptr)
        return failWith(ExitCode::Failed, "the node's answer lacks counters");
    if (context.wantsJson())
        context.out() << printJson(answer) << '\n';
    else
        printMembers(context.out(), *counters);
    return ExitCode::Ok;
}

} // namespace lovagecross
