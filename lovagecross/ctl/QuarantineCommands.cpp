#include "lovagecross/config/JsonText.h"
#include "lovagecross/ctl/Commands.h"
#include "lovagecross/ctl/Output.h"

#include <array>
#include <cstddef>
#include <string>
#include <vector>

namespace lovagecross {

namespace {

constexpr std::array<const char*, 5> columns { "call", "ends", "servers", "versions", "ageMs" };
constexpr std::size_t callNameDigits = 32;

// Whether the text can stand in a path as the name of a call.
bool isCallName(const std::string& text)
{
    return text.size() == callNameDigits && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

} // namespace

Result<ExitCode> runQuarantineList(CommandContext& context)
{
    BOOST_LEAF_AUTO(answer, context.client.get("/admin/quarantine"));
    const JsonNode* member = findMember(answer, "calls");
    const auto* calls = member != nullptr ? std::get_if<JsonArray>(&member->value) : nullptr;
    if (calls == nullptr)
        return failWith(ExitCode::Failed, "the node's answer lacks calls");
    if (context.wantsJson()) {
        context.out() << printJson(answer) << '\n';
        return ExitCode::Ok;
    }
    Table table;
    table.header.assign(columns.begin(), columns.end());
    for (const JsonNode& call : *calls) {
        std::vector<std::string>& row = table.rows.emplace_back();
        for (const char* column : columns) {
            const JsonNode* cell = findMember(call, column);
            row.push_back(cell == nullptr ? "-" : cellText(*cell));
        }
    }
    printTable(context.out(), table);
    return ExitCode::Ok;
}

Result<ExitCode> runQuarantineRelease(CommandContext& context)
{
    const std::string& call = context.arguments.operands[0];
    if (!isCallName(call))
        return failWith(ExitCode::Usage, "CALL must be 32 hexadecimal digits, as in `quarantine list`");
    BOOST_LEAF_AUTO(answer, context.client.post("/admin/quarantine/" + call + "/release", "{}"));
    if (context.wantsJson())
        context.out() << printJson(answer) << '\n';
    else
        context.out() << "call " << call << " is released\n";
    return ExitCode::Ok;
}

} // namespace lovagecross
