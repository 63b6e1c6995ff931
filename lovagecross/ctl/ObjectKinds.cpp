#include "lovagecross/ctl/ObjectKinds.h"

#include "lovagecross/ctl/ExitCode.h"

#include <algorithm>
#include <string>
#include <utility>

namespace lovagecross {

namespace {

const std::vector<ObjectKind>& objectKinds()
{
    static const std::vector<ObjectKind> kinds {
        { "nodes", "node", "/admin/nodes", "node",
            { { "NODE", "node" }, { "DATA CENTRE", "dataCentre" }, { "STATE", "state" }, { "VERSION", "configVersion" },
                { "DRAINING", "draining" }, { "ADMIN ADDRESS", "adminAddress" },
                { "SHARDS (INDEX:EPOCH)", "shards", { "index", "epoch" } } } },
        { "backends", "backend", "/admin/backends", "name",
            { { "NAME", "name" }, { "KIND", "kind" }, { "DATA CENTRE", "dataCentre" }, { "ADDRESS", "address" },
                { "LEAVING", "leaving" }, { "CIRCUIT", "circuit" }, { "IN FLIGHT", "inFlight" },
                { "RUNNING", "reportedRunning" }, { "QUEUED", "reportedQueued" }, { "AGE MS", "reportAgeMs" } } },
        { "programs", "program", "/admin/programs", "id",
            { { "ID", "id" }, { "RANK", "rank" }, { "TENANT", "tenant" }, { "TURNS", "turns" }, { "ENDED", "ended" },
                { "SPENT", "spent" }, { "BUDGET", "budget" } } },
        { "leases", "lease", "/admin/leases", "shard",
            { { "SHARD", "shard" }, { "HOLDER", "holder" }, { "EPOCH", "epoch" }, { "STANDBY", "standby" },
                { "RELEASED", "released" }, { "LOCAL", "local" }, { "AUTHORITY MS", "authorityMs" } } },
        { "budgets", "budget", "/admin/budgets", "name",
            { { "NAME", "name" }, { "TOKENS", "tokens" }, { "SLICES", "slices" } } },
    };
    return kinds;
}

const ObjectKind* findKind(std::string_view ObjectKind::*member, std::string_view name)
{
    const auto& kinds = objectKinds();
    auto found = std::find_if(kinds.begin(), kinds.end(), [&](const auto& kind) { return kind.*member == name; });
    return found == kinds.end() ? nullptr : &*found;
}

// Sorts the members of each element into the order of `parts`, with any others last: a node may send the members of an
// object in any order.
void orderMembers(JsonNode& list, const std::vector<std::string_view>& parts)
{
    auto* elements = std::get_if<JsonArray>(&list.value);
    if (elements == nullptr)
        return;
    auto rank = [&](const JsonMember& member) { return std::find(parts.begin(), parts.end(), member.key); };
    for (JsonNode& element : *elements) {
        if (auto* members = std::get_if<JsonObject>(&element.value))
            std::stable_sort(members->begin(), members->end(),
                [&](const JsonMember& left, const JsonMember& right) { return rank(left) < rank(right); });
    }
}

} // namespace

const ObjectKind* findKindByPlural(std::string_view plural)
{
    return findKind(&ObjectKind::plural, plural);
}

const ObjectKind* findKindBySingular(std::string_view singular)
{
    return findKind(&ObjectKind::singular, singular);
}

Result<JsonArray> fetchObjects(AdminClient& client, const ObjectKind& kind)
{
    BOOST_LEAF_AUTO(answer, client.get(std::string(kind.path)));
    const JsonNode* list = findMember(answer, kind.plural);
    if (list == nullptr || !std::holds_alternative<JsonArray>(list->value))
        return failWith(ExitCode::Failed, "the node's answer lacks the list " + std::string(kind.plural));
    JsonArray objects = std::get<JsonArray>(list->value);
    for (JsonNode& object : objects) {
        auto* members = std::get_if<JsonObject>(&object.value);
        if (members == nullptr)
            continue;
        for (JsonMember& member : *members) {
            for (const Column& column : kind.columns) {
                if (column.key == member.key && !column.parts.empty())
                    orderMembers(member.node, column.parts);
            }
        }
    }
    return objects;
}

} // namespace lovagecross
