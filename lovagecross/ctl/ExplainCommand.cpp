#include "lovagecross/config/Address.h"
#include "lovagecross/config/JsonText.h"
#include "lovagecross/ctl/Commands.h"
#include "lovagecross/ctl/ObjectKinds.h"
#include "lovagecross/ctl/Output.h"

#include <Poco/URI.h>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lovagecross {

namespace {

std::string memberText(const JsonNode& object, std::string_view key)
{
    const JsonNode* member = findMember(object, key);
    return member == nullptr ? "-" : cellText(*member);
}

Result<std::vector<std::string>> liveNodes(AdminClient& client)
{
    BOOST_LEAF_AUTO(nodes, fetchObjects(client, *findKindByPlural("nodes")));
    std::vector<std::string> addresses;
    for (const JsonNode& node : nodes) {
        std::string address = memberText(node, "adminAddress");
        if (memberText(node, "state") == "alive" && isAddress(address))
            addresses.push_back(std::move(address));
    }
    return addresses;
}

struct DecisionSearch {
    std::optional<JsonNode> decision;
    std::vector<std::string> unreachable;
};

// Asks one node for the decision. An unreachable node is noted in `search` and is not an error, because another node
// may have the decision.
Result<void> askNode(AdminClient client, const std::string& path, DecisionSearch& search)
{
    return boost::leaf::try_handle_some(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(answer, client.get(path));
            search.decision = std::move(answer);
            return {};
        },
        [&](const CtlFailure& failure) -> Result<void> {
            if (failure.exitCode == ExitCode::NotFound)
                return {};
            if (failure.exitCode != ExitCode::Unreachable)
                return failWith(failure.exitCode, failure.message);
            search.unreachable.push_back(client.node());
            return {};
        });
}

void printAttempts(std::ostream& out, const JsonNode& decision)
{
    const JsonNode* attempts = findMember(decision, "attempts");
    const auto* list = attempts == nullptr ? nullptr : std::get_if<JsonArray>(&attempts->value);
    if (list == nullptr)
        return;
    Table attemptTable { { "ATTEMPT", "BACKEND", "STATUS", "MS", "REASON", "CACHED", "SCARCE", "SCORES (MS)" }, {} };
    for (const JsonNode& attempt : *list) {
        std::string scores;
        const JsonNode* alternatives = findMember(attempt, "alternatives");
        const auto* servers = alternatives == nullptr ? nullptr : std::get_if<JsonArray>(&alternatives->value);
        for (const JsonNode& server : servers == nullptr ? JsonArray {} : *servers)
            scores += (scores.empty() ? "" : ",") + memberText(server, "name") + ":" + memberText(server, "millis");
        attemptTable.rows.push_back({ std::to_string(attemptTable.rows.size() + 1),
            memberText(attempt, "backendServer"), memberText(attempt, "status"), memberText(attempt, "durationMs"),
            memberText(attempt, "reason"), memberText(attempt, "expectedCachedTokens"),
            memberText(attempt, "slotsScarce"), scores.empty() ? "-" : scores });
    }
    printTable(out, attemptTable);
}

void printDecision(std::ostream& out, const JsonNode& decision)
{
    out << "call           " << memberText(decision, "call") << "\n"
        << "node           " << memberText(decision, "node") << "\n"
        << "rank           " << memberText(decision, "rank") << "\n"
        << "tenant         " << memberText(decision, "tenant") << "\n"
        << "target         " << memberText(decision, "target") << "\n"
        << "outcome        " << memberText(decision, "outcome") << "\n"
        << "program queue  " << memberText(decision, "queueMs") << " ms\n"
        << "admission      " << memberText(decision, "admissionMs") << " ms\n"
        << "commits        " << memberText(decision, "commitMs") << " ms\n";
    printAttempts(out, decision);
}

} // namespace

Result<ExitCode> runExplain(CommandContext& context)
{
    const std::string& call = context.arguments.operands[0];
    std::size_t colon = call.find(':');
    if (colon == std::string::npos || colon == 0 || colon + 1 == call.size())
        return failWith(ExitCode::Usage, "CALL must be <program>:<requestId>");
    std::string encoded;
    Poco::URI::encode(call, "!#$&'()*+,/:;=?@[]%", encoded);
    BOOST_LEAF_AUTO(addresses, liveNodes(context.client));
    DecisionSearch search;
    for (const std::string& address : addresses) {
        auto asked = askNode(context.client.forNode(address), "/admin/decisions?call=" + encoded, search);
        if (!asked)
            return asked.error();
        if (search.decision)
            break;
    }
    if (!search.decision) {
        std::string message = "no live node has a recorded decision for " + printableText(call);
        for (const std::string& address : search.unreachable)
            message += "; " + address + " did not answer";
        return failWith(search.unreachable.empty() ? ExitCode::NotFound : ExitCode::Unreachable, std::move(message));
    }
    if (context.wantsJson())
        context.out() << printJson(*search.decision) << '\n';
    else
        printDecision(context.out(), *search.decision);
    return ExitCode::Ok;
}

} // namespace lovagecross
