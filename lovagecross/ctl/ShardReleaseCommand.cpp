#include "lovagecross/base/Ids.h"
#include "lovagecross/config/JsonText.h"
#include "lovagecross/ctl/Commands.h"

#include <charconv>
#include <optional>
#include <string>

namespace lovagecross {

namespace {

std::optional<std::uint32_t> parseIndex(const std::string& text)
{
    std::uint32_t index = 0;
    const char* end = text.data() + text.size();
    auto [parsedEnd, error] = std::from_chars(text.data(), end, index);
    if (error != std::errc() || parsedEnd != end || index >= maxShardsPerDataCentre)
        return std::nullopt;
    return index;
}

} // namespace

Result<ExitCode> runShardRelease(CommandContext& context)
{
    auto index = parseIndex(context.arguments.operands[0]);
    if (!index)
        return failWith(
            ExitCode::Usage, "INDEX must be an integer from 0 to " + std::to_string(maxShardsPerDataCentre - 1));
    if (!context.arguments.confirmStopped)
        return failWith(
            ExitCode::Usage, "shard release needs --confirm-stopped: make sure that the holder has stopped for good");
    std::string path = "/admin/shards/" + std::to_string(*index) + "/release";
    BOOST_LEAF_AUTO(answer, context.client.post(path, R"({"confirmStopped":true})"));
    if (context.wantsJson())
        context.out() << printJson(answer) << '\n';
    else
        context.out() << "shard " << *index << " is released\n";
    return ExitCode::Ok;
}

} // namespace lovagecross
