#include "lovagecross/config/JsonText.h"
#include "lovagecross/ctl/Commands.h"

namespace lovagecross {

Result<ExitCode> runDrain(CommandContext& context)
{
    BOOST_LEAF_AUTO(answer, context.client.post("/admin/drain", "{}"));
    if (context.wantsJson())
        context.out() << printJson(answer) << '\n';
    else
        context.out() << "node " << context.client.node() << " is draining\n";
    return ExitCode::Ok;
}

} // namespace lovagecross
