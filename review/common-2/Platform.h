#pragma once

// A stand-in for the platform's metadata store: objects by kind and name, one revision counter, conditional writes,
// lists, and watches. It is sound: it loses nothing and answers every call.
//
// Thread safety: every member may be called from any thread.

#include "lovagecross/config/JsonText.h"
#include "lovagecross/testing/ScriptedServer.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace review2 {

class Platform {
public:
    Platform()
        : server([this](const auto& request, auto& connection) { return this->answer(request, connection); })
    {
    }

    std::string address() const { return this->server.address(); }

    // Writes an object as the operator or a backend server does.
    void put(const std::string& kind, const std::string& name, const std::string& spec)
    {
        std::lock_guard lock(this->mutex);
        this->store(kind, name, spec);
    }

    void remove(const std::string& kind, const std::string& name)
    {
        std::lock_guard lock(this->mutex);
        this->erase(kind, name);
    }

private:
    static constexpr std::size_t maxObjectBytes = 1'048'576; // `value_bytes` of the settings

    struct Object {
        std::uint64_t revision = 0;
        std::string spec;
        std::string status = "null";
    };
    struct Change {
        std::uint64_t revision = 0;
        std::string kind;
        std::string event;
    };
    struct Reply {
        int status = 200;
        std::string body = "{}";
    };

    static std::string print(const std::string& name, const Object& object)
    {
        return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(object.revision)
            + R"(,"finalizers":[],"deleting":false},"spec":)" + object.spec + R"(,"status":)" + object.status + '}';
    }

    static std::string memberOf(const std::string& body, std::string_view key)
    {
        return lovagecross::handle(
            [&]() -> lovagecross::Result<std::string> {
                BOOST_LEAF_AUTO(document, lovagecross::parseJson(body, { 8 * 1024 * 1024, 24, 4096 }));
                const lovagecross::JsonNode* member = lovagecross::findMember(document, key);
                return member != nullptr ? lovagecross::printJson(*member, lovagecross::JsonLayout::OneLine)
                                         : std::string();
            },
            [](const lovagecross::Error&) { return std::string(); });
    }

    // The name or the revision in the metadata of a body; empty if there is none.
    static std::string metadataOf(const std::string& body, std::string_view key)
    {
        return lovagecross::handle(
            [&]() -> lovagecross::Result<std::string> {
                BOOST_LEAF_AUTO(document, lovagecross::parseJson(body, { 8 * 1024 * 1024, 24, 4096 }));
                const lovagecross::JsonNode* metadata = lovagecross::findMember(document, "metadata");
                const lovagecross::JsonNode* member
                    = metadata != nullptr ? lovagecross::findMember(*metadata, key) : nullptr;
                if (member == nullptr)
                    return std::string();
                if (const auto* text = std::get_if<std::string>(&member->value))
                    return *text;
                const auto* number = std::get_if<std::int64_t>(&member->value);
                return number != nullptr ? std::to_string(*number) : std::string();
            },
            [](const lovagecross::Error&) { return std::string(); });
    }

    static std::string queryOf(std::string_view query, const std::string& name)
    {
        std::size_t at = ('&' + std::string(query)).find('&' + name + '=');
        if (at == std::string::npos)
            return {};
        std::string_view rest = query.substr(at + name.size() + 1);
        return std::string(rest.substr(0, rest.find('&')));
    }

    void addChange(const std::string& kind, const std::string& object, bool deleted)
    {
        constexpr std::size_t maxChanges = 5000;
        this->changes.push_back({ this->revision, kind,
            std::string(R"({"deleted":)") + (deleted ? "true" : "false") + R"(,"object":)" + object + '}' });
        if (this->changes.size() > maxChanges) {
            this->historyFrom = this->changes.front().revision;
            this->changes.pop_front();
        }
        this->changed.notify_all();
    }

    void store(const std::string& kind, const std::string& name, const std::string& spec)
    {
        Object& object = this->kinds[kind][name];
        if (object.spec == spec)
            return;
        object.spec = spec;
        object.revision = ++this->revision;
        this->addChange(kind, print(name, object), false);
    }

    void erase(const std::string& kind, const std::string& name)
    {
        auto found = this->kinds[kind].find(name);
        if (found == this->kinds[kind].end())
            return;
        ++this->revision;
        this->addChange(kind, print(name, found->second), true);
        this->kinds[kind].erase(found);
    }

    bool answer(
        const lovagecross::testing::ScriptedRequest& request, lovagecross::testing::ScriptedConnection& connection)
    {
        std::string method = request.head.substr(0, request.head.find(' '));
        std::size_t start = method.size() + 1;
        std::string target = request.head.substr(start, request.head.find(' ', start) - start);
        std::size_t mark = std::min(target.find('?'), target.size());
        std::string query = mark < target.size() ? target.substr(mark + 1) : std::string();
        Reply reply { 404, "{}" };
        constexpr std::string_view prefix = "/api/objects/";
        if (request.body.size() > maxObjectBytes)
            reply.status = 413;
        else if (target.compare(0, prefix.size(), prefix) == 0)
            reply = this->serve(method, target.substr(prefix.size(), mark - prefix.size()), query, request.body);
        return connection.write("HTTP/1.1 " + std::to_string(reply.status)
            + " Answer\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(reply.body.size())
            + "\r\n\r\n" + reply.body);
    }

    Reply serve(const std::string& method, const std::string& path, const std::string& query, const std::string& body)
    {
        std::size_t slash = path.find('/');
        if (slash != std::string::npos)
            return this->serveObject(method, path.substr(0, slash), path.substr(slash + 1), query, body);
        if (method == "POST")
            return this->create(path, body);
        return queryOf(query, "watch").empty() ? this->list(path) : this->watch(path, query);
    }

    Reply create(const std::string& kind, const std::string& body)
    {
        std::lock_guard lock(this->mutex);
        std::string name = metadataOf(body, "name");
        bool exists = this->kinds[kind].count(name) > 0;
        if (!exists)
            this->store(kind, name, memberOf(body, "spec"));
        return { exists ? 409 : 200, print(name, this->kinds[kind][name]) };
    }

    Reply list(const std::string& kind)
    {
        std::lock_guard lock(this->mutex);
        std::string items;
        for (const auto& [name, object] : this->kinds[kind])
            items += (items.empty() ? "" : ",") + print(name, object);
        return { 200, R"({"items":[)" + items + R"(],"has_more":false,"at":)" + std::to_string(this->revision) + '}' };
    }

    Reply watch(const std::string& kind, const std::string& query)
    {
        std::uint64_t after = std::stoull(queryOf(query, "watch"));
        std::string wait = queryOf(query, "wait_ms");
        std::unique_lock lock(this->mutex);
        auto isNews = [&](const Change& change) { return change.revision > after && change.kind == kind; };
        this->changed.wait_for(lock, std::chrono::milliseconds(wait.empty() ? 0 : std::stoi(wait)),
            [&] { return std::any_of(this->changes.begin(), this->changes.end(), isNews); });
        if (after < this->historyFrom)
            return { 410, "{}" };
        std::string events;
        for (const Change& change : this->changes) {
            if (isNews(change))
                events += (events.empty() ? "" : ",") + change.event;
        }
        return { 200, R"({"events":[)" + events + R"(],"at":)" + std::to_string(this->revision) + '}' };
    }

    Reply serveObject(const std::string& method, const std::string& kind, std::string name, const std::string& query,
        const std::string& body)
    {
        constexpr std::string_view statusSuffix = "/status";
        std::lock_guard lock(this->mutex);
        bool isStatus = name.size() > statusSuffix.size()
            && name.compare(name.size() - statusSuffix.size(), std::string::npos, statusSuffix) == 0;
        if (isStatus)
            name.resize(name.size() - statusSuffix.size());
        auto found = this->kinds[kind].find(name);
        if (found == this->kinds[kind].end())
            return { 404, "{}" };
        std::string expected = method == "DELETE" ? queryOf(query, "revision") : metadataOf(body, "revision");
        if (method != "GET" && !expected.empty() && expected != std::to_string(found->second.revision))
            return { 409, print(name, found->second) };
        if (method == "DELETE") {
            this->erase(kind, name);
            return {};
        }
        if (method == "PUT" && isStatus)
            found->second.status = memberOf(body, "status");
        else if (method == "PUT")
            this->store(kind, name, memberOf(body, "spec"));
        return { 200, print(name, found->second) };
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::uint64_t revision = 1;
    std::uint64_t historyFrom = 1;
    std::map<std::string, std::map<std::string, Object>> kinds;
    std::deque<Change> changes;
    lovagecross::testing::ScriptedServer server; // last: its threads use the members above
};

} // namespace review2
