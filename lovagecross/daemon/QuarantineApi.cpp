#include "lovagecross/daemon/QuarantineApi.h"

#include "lovagecross/config/JsonText.h"
#include "lovagecross/crashes/CallFingerprint.h"

#include <string_view>
#include <utility>

namespace lovagecross {

namespace {

constexpr std::string_view listPath = "/admin/quarantine";
constexpr std::string_view releaseEnd = "/release";

JsonNode printCall(const QuarantinedCall& quarantined)
{
    JsonArray servers;
    for (const std::string& server : quarantined.finding.servers)
        servers.push_back({ server });
    JsonArray versions;
    for (const std::string& version : quarantined.finding.versions)
        versions.push_back({ version });
    return { JsonObject { { "call", { printFingerprint(quarantined.fingerprint) } },
        { "ends", { static_cast<std::int64_t>(quarantined.finding.ends) } }, { "servers", { std::move(servers) } },
        { "versions", { std::move(versions) } }, { "ageMs", { toMillis(quarantined.finding.age) } } } };
}

} // namespace

QuarantineApi::QuarantineApi(const CrashLedger& ownLedger, Release releaseCall)
    : ledger(ownLedger)
    , releaseOnAllNodes(std::move(releaseCall))
{
}

std::optional<QuarantineApi::Answer> QuarantineApi::answer(const std::string& method, const std::string& path) const
{
    if (method == "GET" && path == listPath)
        return this->list();
    bool names = path.starts_with(std::string(listPath) + '/') && path.ends_with(releaseEnd);
    if (method != "POST" || !names)
        return std::nullopt;
    std::size_t start = listPath.size() + 1;
    std::size_t end = path.size() - releaseEnd.size();
    return this->release(start < end ? path.substr(start, end - start) : std::string());
}

QuarantineApi::Answer QuarantineApi::list() const
{
    JsonArray calls;
    for (const QuarantinedCall& quarantined : this->ledger.quarantined())
        calls.push_back(printCall(quarantined));
    return { 200, printJson({ JsonObject { { "calls", { std::move(calls) } } } }) };
}

QuarantineApi::Answer QuarantineApi::release(const std::string& call) const
{
    std::string fingerprint = parseFingerprint(call);
    if (fingerprint.empty() || !this->releaseOnAllNodes(fingerprint))
        return { 404,
            R"({"error":{"code":"not_found","message":"no server has ended under such a call","run":"no"}})" };
    return { 200, printJson({ JsonObject { { "call", { call } } } }) };
}

} // namespace lovagecross
