#include "lovagecross/config/JsonText.h"
#include "lovagecross/ctl/Commands.h"
#include "lovagecross/ctl/ObjectKinds.h"
#include "lovagecross/ctl/Output.h"

#include <string>
#include <utility>
#include <vector>

namespace lovagecross {

namespace {

Table makeTable(const ObjectKind& kind, const JsonArray& objects)
{
    Table table;
    for (const Column& column : kind.columns)
        table.header.emplace_back(column.header);
    for (const JsonNode& object : objects) {
        std::vector<std::string>& row = table.rows.emplace_back();
        for (const Column& column : kind.columns) {
            const JsonNode* cell = findMember(object, column.key);
            row.push_back(cell == nullptr ? "-" : cellText(*cell));
        }
    }
    return table;
}

} // namespace

Result<ExitCode> runGet(CommandContext& context)
{
    const ObjectKind* kind = findKindByPlural(context.arguments.operands[0]);
    if (kind == nullptr)
        return failWith(ExitCode::Usage, "get takes one of nodes, backends, programs, leases, budgets");
    BOOST_LEAF_AUTO(objects, fetchObjects(context.client, *kind));
    if (context.wantsJson())
        context.out() << printJson({ JsonObject { { std::string(kind->plural), { std::move(objects) } } } }) << '\n';
    else
        printTable(context.out(), makeTable(*kind, objects));
    return ExitCode::Ok;
}

} // namespace lovagecross
