#include "lovagecross/config/JsonText.h"
#include "lovagecross/ctl/Commands.h"
#include "lovagecross/ctl/ObjectKinds.h"
#include "lovagecross/ctl/Output.h"

#include <string>

namespace lovagecross {

namespace {

const JsonNode* findObject(const ObjectKind& kind, const JsonArray& objects, const std::string& wanted)
{
    for (const JsonNode& object : objects) {
        const JsonNode* name = findMember(object, kind.nameKey);
        if (name != nullptr && cellText(*name) == wanted)
            return &object;
    }
    return nullptr;
}

boost::leaf::error_id failNotFound(const ObjectKind& kind, const std::string& name, const std::string& node)
{
    std::string message = "node " + node + " lists no " + std::string(kind.singular) + " \"" + name + "\"";
    if (kind.singular == "program")
        message += "; a program is listed by the node that owns its shard, see lovagectl get leases";
    return failWith(ExitCode::NotFound, std::move(message));
}

} // namespace

Result<ExitCode> runDescribe(CommandContext& context)
{
    const ObjectKind* kind = findKindBySingular(context.arguments.operands[0]);
    if (kind == nullptr)
        return failWith(ExitCode::Usage, "describe takes one of node, backend, program, lease, budget");
    BOOST_LEAF_AUTO(objects, fetchObjects(context.client, *kind));
    const JsonNode* object = findObject(*kind, objects, context.arguments.operands[1]);
    if (object == nullptr)
        return failNotFound(*kind, context.arguments.operands[1], context.client.node());
    if (context.wantsJson())
        context.out() << printJson(*object) << '\n';
    else
        printMembers(context.out(), *object);
    return ExitCode::Ok;
}

} // namespace lovagecross
