#include "lovagecross/daemon/AdminApi.h"

#include "lovagecross/daemon/HttpServer.h"
#include "lovagecross/daemon/Version.h"
#include "lovagecross/runtime/Json.h"

#include <Poco/JSON/Array.h>
#include <Poco/URI.h>
#include <algorithm>
#include <charconv>
#include <cstdio>
#include <vector>

namespace lovagecross {

namespace {

constexpr std::size_t maxAdminBodyBytes = 1024 * 1024;

std::string hex(std::uint64_t value)
{
    char buffer[17];
    std::snprintf(buffer, sizeof(buffer), "%016llx", static_cast<unsigned long long>(value));
    return buffer;
}

std::string listJson(const std::string& name, const Poco::JSON::Array& items)
{
    Poco::JSON::Object body;
    body.set(name, items);
    return toJson(body);
}

// Compares two tokens without leaking, through timing, at which byte they differ. Only their length is not hidden.
bool equalInConstantTime(const std::string& left, const std::string& right)
{
    if (left.size() != right.size())
        return false;
    unsigned char difference = 0;
    for (std::size_t i = 0; i < left.size(); ++i)
        difference |= static_cast<unsigned char>(left[i] ^ right[i]);
    return difference == 0;
}

} // namespace

AdminApi::AdminApi(Node& node, Counters& counters, ObjectStore& store, std::string token, std::function<void()> onDrain)
    : node(node)
    , counters(counters)
    , store(store)
    , token(std::move(token))
    , onDrain(std::move(onDrain))
{
}

void AdminApi::handle(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
{
    if (!this->token.empty() && !equalInConstantTime(bearerToken(request), this->token)) {
        response.setKeepAlive(false);
        sendAnswer(response,
            errorAnswer({ ErrorCode::Unauthorized, "the admin token is missing or wrong", "Authorization",
                RunState::NotRun, Duration(0) }));
        return;
    }
    sendAnswer(response, this->dispatch(request));
}

ForwardEnd AdminApi::dispatch(Poco::Net::HTTPServerRequest& request)
{
    std::vector<std::string> segments;
    Poco::URI(request.getURI()).getPathSegments(segments);
    const std::string& method = request.getMethod();
    if (segments.size() == 2 && segments[0] == "admin") {
        const std::string& resource = segments[1];
        if (method == "GET") {
            if (resource == "status")
                return { 200, this->status() };
            if (resource == "counters")
                return { 200, this->countersJson() };
            if (resource == "config")
                return { 200, this->config() };
            if (resource == "nodes")
                return { 200, this->nodes() };
            if (resource == "backends")
                return { 200, this->backends() };
            if (resource == "programs")
                return { 200, this->programs() };
            if (resource == "leases")
                return { 200, this->leases() };
            if (resource == "budgets")
                return { 200, this->budgets() };
            if (resource == "decisions")
                return this->decision(request.getURI());
        }
        if (method == "PUT" && resource == "config")
            return this->putConfig(request);
        if (method == "POST" && resource == "drain") {
            this->onDrain();
            return { 202, "{\"draining\":true}" };
        }
    }
    if (method == "POST" && segments.size() == 4 && segments[1] == "shards" && segments[3] == "release")
        return this->releaseShard(request, segments[2]);
    return errorAnswer({ ErrorCode::NotFound, "no such resource", "path", RunState::NotRun, Duration(0) });
}

std::string AdminApi::status() const
{
    Poco::JSON::Object body;
    body.set("node", this->node.self().node);
    body.set("incarnation", hex(this->node.self().incarnation));
    body.set("dataCentre", this->node.settings().dataCentre);
    body.set("version", versionText);
    body.set("configVersion", this->node.configuration().current()->version);
    body.set("draining", this->node.draining());
    body.set("uptimeMs", toMillis(this->node.uptime()));
    Poco::JSON::Array shards;
    for (const auto& shard : this->node.localShards()) {
        if (shard->view().serving)
            shards.add(shard->id().toString());
    }
    body.set("shards", shards);
    StoreStatus platform = this->store.get("config/current").status;
    body.set("platform", platform == StoreStatus::Ok || platform == StoreStatus::NotFound ? "up" : "down");
    return toJson(body);
}

std::string AdminApi::countersJson() const
{
    Poco::JSON::Object values;
    for (const auto& [name, value] : this->counters.snapshot())
        values.set(name, value);
    Poco::JSON::Object body;
    body.set("counters", values);
    return toJson(body);
}

std::string AdminApi::config() const
{
    std::shared_ptr<const ConfigSnapshot> current = this->node.configuration().current();
    return "{\"version\":" + std::to_string(current->version)
        + ",\"config\":" + (current->json.empty() ? "null" : current->json) + "}";
}

std::string AdminApi::nodes() const
{
    Poco::JSON::Array items;
    for (const MemberView& member : this->node.members().members()) {
        Poco::JSON::Object item;
        item.set("node", member.entry.node.node);
        item.set("dataCentre", member.entry.dataCentre);
        item.set("state", std::string(memberStateNames.name(member.state)));
        item.set("incarnation", hex(member.entry.node.incarnation));
        item.set("peerAddress", member.entry.peerAddress);
        item.set("callerAddress", member.entry.callerAddress);
        item.set("adminAddress", member.entry.adminAddress);
        item.set("configVersion", member.entry.configVersion);
        item.set("draining", member.entry.draining);
        Poco::JSON::Array shards;
        for (const HeldShard& shard : member.entry.shards) {
            Poco::JSON::Object held;
            held.set("index", shard.index);
            held.set("epoch", shard.epoch);
            shards.add(held);
        }
        item.set("shards", shards);
        items.add(item);
    }
    return listJson("nodes", items);
}

std::string AdminApi::backends() const
{
    Poco::JSON::Array items;
    for (const BackendView& view : this->node.backendServers().view()) {
        Poco::JSON::Object item;
        item.set("name", view.server.name);
        item.set("kind", std::string(backendKindNames.name(view.server.kind)));
        item.set("dataCentre", view.server.dataCentre);
        item.set("address", view.server.address);
        item.set("leaving", view.server.leaving);
        item.set("circuit", view.circuit);
        item.set("inFlight", view.inFlight);
        if (view.load) {
            item.set("reportedRunning", view.load->runningRequests);
            item.set("reportedQueued", view.load->queuedRequests);
            item.set("reportAgeMs", view.loadAgeMillis);
        }
        items.add(item);
    }
    return listJson("backends", items);
}

std::string AdminApi::programs() const
{
    Poco::JSON::Array items;
    for (const auto& shard : this->node.localShards()) {
        std::shared_ptr<OwnedShard> ownedShard = shard->owned();
        if (!ownedShard)
            continue;
        for (const ProgramSummary& program : ownedShard->summaries()) {
            Poco::JSON::Object item;
            item.set("id", program.id.toString());
            item.set("rank", program.rank);
            item.set("tenant", program.tenant);
            item.set("turns", program.turns);
            item.set("ended", program.ended);
            item.set("spent", program.spentTokens);
            item.set("budget", program.budgetTokens);
            items.add(item);
        }
    }
    return listJson("programs", items);
}

std::string AdminApi::leases() const
{
    Poco::JSON::Array items;
    for (const auto& shard : this->node.localShards()) {
        ShardView view = shard->view();
        Poco::JSON::Object item;
        item.set("shard", view.id.toString());
        LeaseRecord lease = view.lease.value_or(LeaseRecord {});
        item.set("holder", lease.holder.node);
        item.set("epoch", lease.epoch);
        item.set("standby", lease.standby.node);
        item.set("released", lease.released);
        item.set("local", view.ownedLocally);
        item.set("serving", view.serving);
        if (view.authorityLeft)
            item.set("authorityMs", toMillis(*view.authorityLeft));
        item.set("bridgedBytes", view.bridgedBytes);
        if (!view.problem.empty())
            item.set("problem", view.problem);
        items.add(item);
    }
    return listJson("leases", items);
}

std::string AdminApi::budgets() const
{
    Poco::JSON::Array items;
    for (const SharedBudget& budget : this->node.configuration().current()->configuration.budgets) {
        Poco::JSON::Object item;
        item.set("name", budget.name);
        item.set("tokens", budget.tokens);
        item.set("tenant", budget.tenant);
        item.set("expiresUnixMillis", budget.expiresUnixMillis);
        items.add(item);
    }
    return listJson("budgets", items);
}

ForwardEnd AdminApi::decision(const std::string& uri) const
{
    std::string call;
    for (const auto& [name, value] : Poco::URI(uri).getQueryParameters()) {
        if (name == "call")
            call = value;
    }
    if (call.empty())
        return errorAnswer(
            { ErrorCode::BadRequest, "must be <program>:<requestId>", "call", RunState::NotRun, Duration(0) });
    std::optional<CallDecision> found = this->node.decisions().find(call);
    if (!found)
        return errorAnswer({ ErrorCode::NotFound, "this node has no recorded decision for the call", "call",
            RunState::NotRun, Duration(0) });
    Poco::JSON::Array attempts;
    for (const AttemptDecision& attempt : found->attempts) {
        Poco::JSON::Array alternatives;
        for (const ScoredServer& server : attempt.alternatives) {
            Poco::JSON::Object item;
            item.set("name", server.name);
            item.set("millis", server.millis);
            item.set("cost", server.cost);
            alternatives.add(item);
        }
        Poco::JSON::Object item;
        item.set("backendServer", attempt.backendServer);
        item.set("reason", std::string(placementReasonNames.name(attempt.reason)));
        item.set("slotsScarce", attempt.slotsScarce);
        item.set("expectedCachedTokens", attempt.expectedCachedTokens);
        item.set("alternatives", alternatives);
        item.set("status", std::string(backendStatusNames.name(attempt.status)));
        item.set("durationMs", toMillis(attempt.duration));
        attempts.add(item);
    }
    Poco::JSON::Object body;
    body.set("call", found->call);
    body.set("node", this->node.self().node);
    body.set("rank", found->rank);
    body.set("tenant", found->tenant);
    body.set("target", found->target);
    body.set("receivedUnixMillis", found->receivedUnixMillis);
    body.set("queueMs", toMillis(found->queueWait));
    body.set("admissionMs", toMillis(found->admissionWait));
    body.set("commitMs", toMillis(found->commitWait));
    body.set("outcome", found->outcome);
    body.set("attempts", attempts);
    return { 200, toJson(body) };
}

ForwardEnd AdminApi::putConfig(Poco::Net::HTTPServerRequest& request)
{
    return lovagecross::handle(
        [&]() -> Result<ForwardEnd> {
            BOOST_LEAF_AUTO(text, readBody(request, maxAdminBodyBytes));
            BOOST_LEAF_AUTO(body, parseJsonObject(text));
            BOOST_LEAF_CHECK(checkMembers(*body, { "baseVersion", "config" }));
            BOOST_LEAF_AUTO(baseVersion, optionalNumber(*body, "baseVersion", 0, 0, ~std::uint64_t(0) >> 1));
            Poco::JSON::Object::Ptr document = body->getObject("config");
            if (!document)
                return fail(ErrorCode::BadRequest, "config", "must be an object");
            ConfigChange change = this->node.configuration().apply(baseVersion, toJson(*document));
            if (!change.error)
                return ForwardEnd { 200, "{\"version\":" + std::to_string(change.version) + "}" };
            ForwardEnd refused = errorAnswer(*change.error);
            if (change.error->code == ErrorCode::VersionConflict) {
                refused.bodyJson.pop_back();
                refused.bodyJson += ",\"currentVersion\":" + std::to_string(change.version)
                    + ",\"current\":" + change.currentJson + "}";
            }
            return refused;
        },
        [](const Error& error) { return errorAnswer(error); });
}

ForwardEnd AdminApi::releaseShard(Poco::Net::HTTPServerRequest& request, const std::string& index)
{
    return lovagecross::handle(
        [&]() -> Result<ForwardEnd> {
            BOOST_LEAF_AUTO(text, readBody(request, maxAdminBodyBytes));
            BOOST_LEAF_AUTO(body, parseJsonObject(text));
            BOOST_LEAF_AUTO(confirmed, optionalBool(*body, "confirmStopped", false));
            if (!confirmed)
                return fail(
                    ErrorCode::BadRequest, "confirmStopped", "must be true: the holder must have stopped for good");
            std::size_t number = 0;
            auto [end, error] = std::from_chars(index.data(), index.data() + index.size(), number);
            if (error != std::errc() || end != index.data() + index.size() || number >= this->node.localShards().size())
                return fail(ErrorCode::NotFound, "index", "no shard " + index.substr(0, 20));
            if (!this->node.localShards()[number]->forceRelease())
                return fail(Error { ErrorCode::Unavailable,
                    "the shard is held by this node, or the lease object could not be written", {}, RunState::NotRun,
                    std::chrono::seconds(1) });
            return ForwardEnd { 200, "{\"released\":true}" };
        },
        [](const Error& error) { return errorAnswer(error); });
}

} // namespace lovagecross
