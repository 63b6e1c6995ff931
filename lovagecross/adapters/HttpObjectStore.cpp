#include "lovagecross/adapters/HttpObjectStore.h"

#include "lovagecross/adapters/Base64.h"
#include "lovagecross/adapters/HttpConnection.h"
#include "lovagecross/adapters/HttpConnectionPool.h"
#include "lovagecross/adapters/HttpRefusals.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <utility>
#include <vector>

namespace lovagecross {

using detail::HttpCall;
using detail::HttpConnectionPool;
using detail::HttpEnd;
using detail::HttpReply;

struct ObjectHttpCall {
    HttpCall http;
    bool write = false;
    std::size_t maxBodyBytes = maxObjectBytes;
};

namespace {

constexpr int statusPreconditionFailed = 412;

// The status of a call without a complete response.
StoreStatus statusWithoutResponse(const HttpReply& reply, bool write)
{
    return write && reply.mayHaveRun() ? StoreStatus::Unknown : StoreStatus::Unavailable;
}

// Maps the HTTP status of an unsuccessful response. After a server error other than 503 a write may have taken effect.
StoreStatus statusOfErrorResponse(int status, bool write)
{
    if (auto known = detail::storeStatusOfRefusal(status, statusPreconditionFailed))
        return *known;
    return write && (status >= 500 || status < 400) ? StoreStatus::Unknown : StoreStatus::Unavailable;
}

bool isSuccess(int status)
{
    return status == 200 || status == 201 || status == 204;
}

std::string objectPath(std::string_view key)
{
    return "/objects/" + detail::encodePath(key, true);
}

ObjectHttpCall makeWriteCall(std::string method, std::string_view key, std::string_view value)
{
    ObjectHttpCall call;
    call.http.method = std::move(method);
    call.http.path = objectPath(key);
    call.http.body = value;
    call.http.contentType = "application/octet-stream";
    call.write = true;
    return call;
}

// Parses the response to a list call. Throws if the body doesn't have the documented form.
std::vector<StoredObject> parseList(const std::string& body, bool withValues)
{
    constexpr int maxListDepth = 4;
    Poco::JSON::Parser parser;
    parser.setDepth(maxListDepth);
    auto array = parser.parse(body).extract<Poco::JSON::Object::Ptr>()->getArray("objects");
    if (!array)
        throw Poco::DataFormatException("the objects array is missing");
    std::vector<StoredObject> objects;
    for (std::size_t i = 0; i < array->size(); ++i) {
        auto entry = array->getObject(static_cast<unsigned>(i));
        if (!entry)
            throw Poco::DataFormatException("list entry is not a JSON object");
        StoredObject object;
        object.key = entry->getValue<std::string>("key");
        object.version = entry->getValue<Poco::UInt64>("version");
        if (withValues) {
            auto value = decodeBase64(entry->getValue<std::string>("value"));
            if (!value)
                throw Poco::DataFormatException("value is not valid Base64");
            object.value = std::move(*value);
        }
        objects.push_back(std::move(object));
    }
    return objects;
}

} // namespace

HttpObjectStore::HttpObjectStore(HttpObjectStoreSettings settings, const Clock& clock)
    : settings(std::move(settings))
    , clock(clock)
    , pool(std::make_unique<HttpConnectionPool>(
          this->settings.address, clock, this->settings.maxConnections, this->settings.timeout))
    , watchPool(std::make_unique<HttpConnectionPool>(
          this->settings.address, clock, this->settings.maxWatchConnections, this->settings.timeout))
{
}

HttpObjectStore::~HttpObjectStore() = default;

StoreResult HttpObjectStore::get(std::string_view key)
{
    ObjectHttpCall call;
    call.http.method = "GET";
    call.http.path = objectPath(key);
    HttpReply reply = this->pool->perform(call.http, call.write, call.maxBodyBytes, this->settings.timeout);
    StoreResult result;
    result.object.key = key;
    if (reply.end != HttpEnd::Complete) {
        result.status = statusWithoutResponse(reply, false);
    } else if (reply.status() != 200) {
        result.status = statusOfErrorResponse(reply.status(), false);
        result.retryAfter = detail::readRetryAfter(reply.response);
    } else if (detail::readNumberHeader(reply.response, "X-Version", result.object.version)) {
        result.status = StoreStatus::Ok;
        result.object.value = std::move(reply.body);
    }
    return result;
}

StoreResult HttpObjectStore::create(std::string_view key, std::string_view value)
{
    ObjectHttpCall call = makeWriteCall("PUT", key, value);
    call.http.headers.emplace_back("If-None-Match", "*");
    return this->write(key, call);
}

StoreResult HttpObjectStore::update(std::string_view key, std::string_view value, std::uint64_t expectedVersion)
{
    ObjectHttpCall call = makeWriteCall("PUT", key, value);
    call.http.headers.emplace_back("If-Match", std::to_string(expectedVersion));
    return this->write(key, call);
}

StoreResult HttpObjectStore::remove(std::string_view key, std::uint64_t expectedVersion)
{
    ObjectHttpCall call = makeWriteCall("DELETE", key, {});
    if (expectedVersion != 0)
        call.http.headers.emplace_back("If-Match", std::to_string(expectedVersion));
    return this->write(key, call);
}

StoreResult HttpObjectStore::write(std::string_view key, const ObjectHttpCall& call)
{
    StoreResult result;
    result.object.key = key;
    if (call.http.body.size() > maxObjectBytes) {
        result.status = StoreStatus::TooLarge;
        return result;
    }
    HttpReply reply = this->pool->perform(call.http, call.write, call.maxBodyBytes, this->settings.timeout);
    if (reply.end != HttpEnd::Complete) {
        result.status = statusWithoutResponse(reply, true);
        return result;
    }
    bool hasVersion = detail::readNumberHeader(reply.response, "X-Version", result.object.version);
    if (!isSuccess(reply.status())) {
        result.status = statusOfErrorResponse(reply.status(), true);
        result.retryAfter = detail::readRetryAfter(reply.response);
    } else {
        result.status = hasVersion || reply.status() == 204 ? StoreStatus::Ok : StoreStatus::Unknown;
    }
    return result;
}

ListResult HttpObjectStore::list(std::string_view prefix, bool withValues)
{
    ObjectHttpCall call;
    call.http.method = "GET";
    call.http.path
        = "/objects?prefix=" + detail::encodePath(prefix, false) + "&values=" + (withValues ? "true" : "false");
    call.maxBodyBytes = this->settings.maxListBytes;
    HttpReply reply = this->pool->perform(call.http, call.write, call.maxBodyBytes, this->settings.timeout);
    ListResult result;
    if (reply.end != HttpEnd::Complete) {
        result.status = statusWithoutResponse(reply, false);
        return result;
    }
    if (reply.status() != 200) {
        result.status = statusOfErrorResponse(reply.status(), false);
        return result;
    }
    try {
        result.objects = parseList(reply.body, withValues);
        result.status = StoreStatus::Ok;
    } catch (const std::exception&) {
        result.status = StoreStatus::Unavailable;
    }
    return result;
}

StoreResult HttpObjectStore::watch(std::string_view key, std::uint64_t knownVersion, Duration timeout)
{
    ObjectHttpCall call;
    call.http.method = "GET";
    call.http.path = "/watch/" + detail::encodePath(key, true) + "?after=" + std::to_string(knownVersion)
        + "&timeoutMs=" + std::to_string(toMillis(timeout));
    HttpReply reply = this->watchPool->perform(call.http, false, call.maxBodyBytes, timeout + this->settings.timeout);
    StoreResult result;
    result.object.key = key;
    if (reply.end != HttpEnd::Complete) {
        result.status = statusWithoutResponse(reply, false);
    } else if (reply.status() == 304) {
        result.status = StoreStatus::NotFound;
    } else if (reply.status() != 200) {
        result.status = statusOfErrorResponse(reply.status(), false);
        result.retryAfter = detail::readRetryAfter(reply.response);
    } else if (detail::readNumberHeader(reply.response, "X-Version", result.object.version)) {
        result.status = StoreStatus::Ok;
        result.object.value = std::move(reply.body);
    }
    return result;
}

} // namespace lovagecross
