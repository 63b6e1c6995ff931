#include "lovagecross/config/JsonText.h"
#include "lovagecross/ctl/Commands.h"
#include "lovagecross/ctl/Output.h"

namespace lovagecross {

Result<ExitCode> runStatus(CommandContext& context)
{
    BOOST_LEAF_AUTO(answer, context.client.get("/admin/status"));
    if (context.wantsJson())
        context.out() << printJson(answer) << '\n';
    else
        printMembers(context.out(), answer);
    return ExitCode::Ok;
}

} // namespace lovagecross
