#include "lovagecross/soak/FakePlatform.h"

#include "lovagecross/config/JsonText.h"

#include <algorithm>

namespace lovagecross::soak {

namespace {

constexpr std::size_t maxChanges = 5000;

// The member of a body as JSON text, or an empty text.
std::string memberOf(const std::string& body, std::string_view key)
{
    return handle(
        [&]() -> Result<std::string> {
            BOOST_LEAF_AUTO(document, parseJson(body));
            const JsonNode* member = findMember(document, key);
            return member != nullptr ? printJson(*member, JsonLayout::OneLine) : std::string();
        },
        [](const Error&) { return std::string(); });
}

// The metadata's name or revision of a body.
std::string metadataOf(const std::string& body, std::string_view key)
{
    std::string metadata = memberOf(body, "metadata");
    return handle(
        [&]() -> Result<std::string> {
            BOOST_LEAF_AUTO(document, parseJson(metadata));
            const JsonNode* member = findMember(document, key);
            if (member == nullptr)
                return std::string();
            if (const auto* text = std::get_if<std::string>(&member->value))
                return *text;
            const auto* number = std::get_if<std::int64_t>(&member->value);
            return number != nullptr ? std::to_string(*number) : std::string();
        },
        [](const Error&) { return std::string(); });
}

} // namespace

std::string FakePlatform::print(const std::string& name, const Object& object)
{
    return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + std::to_string(object.revision)
        + "},\"spec\":" + object.spec + ",\"status\":" + object.status + '}';
}

void FakePlatform::addChange(const std::string& kind, const std::string& object, bool deleted)
{
    this->changes.push_back({ this->revision, kind,
        std::string("{\"deleted\":") + (deleted ? "true" : "false") + ",\"object\":" + object + '}' });
    if (this->changes.size() > maxChanges) {
        this->historyFrom = this->changes.front().revision;
        this->changes.pop_front();
    }
    this->changed.notify_all();
}

std::uint64_t FakePlatform::store(const std::string& kind, const std::string& name, const std::string& spec)
{
    Object& object = this->kinds[kind][name];
    object.spec = spec;
    object.revision = ++this->revision;
    this->addChange(kind, print(name, object), false);
    return object.revision;
}

void FakePlatform::put(const std::string& kind, const std::string& name, const std::string& spec)
{
    std::lock_guard lock(this->mutex);
    this->store(kind, name, spec);
}

void FakePlatform::forgetHistory()
{
    std::lock_guard lock(this->mutex);
    this->changes.clear();
    this->historyFrom = ++this->revision;
    this->changed.notify_all();
}

void FakePlatform::serve(standins::Exchange& exchange)
{
    auto rest = exchange.pathAfter("/api/objects/");
    if (!rest) {
        exchange.replyEmpty(404);
        return;
    }
    std::size_t slash = rest->find('/');
    if (slash == std::string::npos)
        this->serveKind(exchange, *rest);
    else
        this->serveObject(exchange, rest->substr(0, slash), rest->substr(slash + 1));
}

void FakePlatform::serveKind(standins::Exchange& exchange, const std::string& kind)
{
    if (!exchange.query("watch").empty()) {
        this->serveChanges(exchange, kind);
        return;
    }
    std::unique_lock lock(this->mutex);
    if (exchange.method() == "POST") {
        std::string name = metadataOf(exchange.body(), "name");
        bool exists = this->kinds[kind].count(name) > 0;
        if (!exists)
            this->store(kind, name, memberOf(exchange.body(), "spec"));
        std::string text = print(name, this->kinds[kind][name]);
        lock.unlock();
        exchange.reply(exists ? 409 : 200, text);
        return;
    }
    std::string items;
    for (const auto& [name, object] : this->kinds[kind])
        items += (items.empty() ? "" : ",") + print(name, object);
    std::string body = "{\"items\":[" + items + "],\"has_more\":false,\"at\":" + std::to_string(this->revision) + '}';
    lock.unlock();
    exchange.reply(200, body);
}

void FakePlatform::serveChanges(standins::Exchange& exchange, const std::string& kind)
{
    std::uint64_t after = exchange.queryNumber("watch", 0);
    auto wait = std::chrono::milliseconds(exchange.queryNumber("wait_ms", 0));
    std::unique_lock lock(this->mutex);
    auto hasChange = [&] {
        return after < this->historyFrom
            || std::any_of(this->changes.begin(), this->changes.end(),
                [&](const Change& change) { return change.revision > after && change.kind == kind; });
    };
    this->changed.wait_for(lock, wait, hasChange);
    if (after < this->historyFrom) {
        lock.unlock();
        exchange.replyEmpty(410);
        return;
    }
    std::string events;
    for (const Change& change : this->changes) {
        if (change.revision > after && change.kind == kind)
            events += (events.empty() ? "" : ",") + change.event;
    }
    std::string body = "{\"events\":[" + events + "],\"at\":" + std::to_string(this->revision) + '}';
    lock.unlock();
    exchange.reply(200, body);
}

void FakePlatform::serveObject(standins::Exchange& exchange, const std::string& kind, const std::string& name)
{
    std::unique_lock lock(this->mutex);
    bool status = name.size() > 7 && name.substr(name.size() - 7) == "/status";
    std::string plain = status ? name.substr(0, name.size() - 7) : name;
    auto found = this->kinds[kind].find(plain);
    int code = found == this->kinds[kind].end() ? 404 : 200;
    if (code == 200 && exchange.method() == "PUT") {
        std::string expected = metadataOf(exchange.body(), "revision");
        if (!expected.empty() && expected != std::to_string(found->second.revision))
            code = 409;
        else if (status)
            found->second.status = memberOf(exchange.body(), "status");
        else
            this->store(kind, plain, memberOf(exchange.body(), "spec"));
    }
    std::string body = code == 404 ? "{}" : print(plain, found->second);
    lock.unlock();
    exchange.reply(code, body);
}

} // namespace lovagecross::soak
