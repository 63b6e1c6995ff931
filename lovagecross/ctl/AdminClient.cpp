#include "lovagecross/ctl/AdminClient.h"

#include "lovagecross/config/JsonText.h"
#include "lovagecross/ctl/ExitCode.h"
#include "lovagecross/ctl/Output.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>
#include <array>
#include <chrono>
#include <istream>
#include <utility>

namespace lovagecross {

namespace {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

// /admin/counters answers with one object that has a key for each counter.
constexpr std::size_t maxAnswerKeys = 4096;

struct RawAnswer {
    int httpStatus = 0;
    std::string body;
};

Result<std::string> readBounded(std::istream& in)
{
    std::string body;
    std::array<char, 16 * 1024> block {};
    while (in.read(block.data(), block.size()) || in.gcount() > 0) {
        body.append(block.data(), static_cast<std::size_t>(in.gcount()));
        if (body.size() > maxAdminAnswerBytes)
            return failWith(
                ExitCode::Failed, "the node's answer exceeds " + std::to_string(maxAdminAnswerBytes) + " bytes");
    }
    return body;
}

// Sends one request and reads its answer. Throws Poco exceptions; `exchangeOrFail` turns them into errors.
Result<RawAnswer> exchange(
    const AdminTarget& target, const std::string& method, const std::string& path, const std::string& body)
{
    Poco::Net::HTTPClientSession session { Poco::Net::SocketAddress(target.node) };
    session.setTimeout(Poco::Timespan(std::chrono::duration_cast<std::chrono::microseconds>(target.timeout).count()));
    HTTPRequest request(method, path, HTTPRequest::HTTP_1_1);
    if (!target.token.empty())
        request.set("Authorization", "Bearer " + target.token);
    if (method != HTTPRequest::HTTP_GET) {
        request.setContentType("application/json");
        request.setContentLength64(static_cast<Poco::Int64>(body.size()));
    }
    session.sendRequest(request) << body;
    HTTPResponse response;
    std::istream& in = session.receiveResponse(response);
    BOOST_LEAF_AUTO(text, readBounded(in));
    return RawAnswer { response.getStatus(), std::move(text) };
}

boost::leaf::error_id failUnreachable(const std::string& method, std::string message)
{
    if (method != HTTPRequest::HTTP_GET)
        message += "; the request may have taken effect, check before repeating it";
    return failWith(ExitCode::Unreachable, std::move(message));
}

Result<RawAnswer> exchangeOrFail(
    const AdminTarget& target, const std::string& method, const std::string& path, const std::string& body)
{
    try {
        return exchange(target, method, path, body);
    } catch (const Poco::Net::ConnectionRefusedException&) {
        return failWith(ExitCode::Unreachable, "node " + target.node + " refused the connection");
    } catch (const Poco::TimeoutException&) {
        return failUnreachable(method,
            "node " + target.node + " did not answer within " + std::to_string(toMillis(target.timeout)) + " ms");
    } catch (const Poco::Exception& reason) {
        return failUnreachable(
            method, "connection to node " + target.node + " failed: " + printableText(reason.displayText()));
    }
}

Result<AdminAnswer> request(
    const AdminTarget& target, const std::string& method, const std::string& path, const std::string& body)
{
    BOOST_LEAF_AUTO(raw, exchangeOrFail(target, method, path, body));
    std::string reason;
    AdminAnswer answer { raw.httpStatus,
        handle([&] { return parseJson(raw.body, { .maxBytes = maxAdminAnswerBytes, .maxKeys = maxAnswerKeys }); },
            [&](const Error& error) {
                reason = joinErrorText(error.field, error.message);
                return JsonNode();
            }) };
    if (!reason.empty())
        return failWith(ExitCode::Failed,
            "node " + target.node + " answered " + method + " " + path + " with HTTP " + std::to_string(raw.httpStatus)
                + " and a body that could not be parsed: " + reason);
    return answer;
}

Result<JsonNode> requireSuccess(AdminAnswer answer)
{
    if (answer.httpStatus >= 300)
        return failFromAnswer(answer);
    return std::move(answer.body);
}

ExitCode exitCodeOf(int httpStatus)
{
    switch (httpStatus) {
    case HTTPResponse::HTTP_NOT_FOUND:
        return ExitCode::NotFound;
    case HTTPResponse::HTTP_CONFLICT:
        return ExitCode::Conflict;
    default:
        return ExitCode::Failed;
    }
}

} // namespace

AdminClient::AdminClient(AdminTarget adminTarget)
    : target(std::move(adminTarget))
{
}

AdminClient AdminClient::forNode(const std::string& node) const
{
    AdminTarget other = this->target;
    other.node = node;
    return AdminClient(std::move(other));
}

Result<JsonNode> AdminClient::get(const std::string& path)
{
    BOOST_LEAF_AUTO(answer, request(this->target, HTTPRequest::HTTP_GET, path, {}));
    return requireSuccess(std::move(answer));
}

Result<JsonNode> AdminClient::post(const std::string& path, const std::string& body)
{
    BOOST_LEAF_AUTO(answer, request(this->target, HTTPRequest::HTTP_POST, path, body));
    return requireSuccess(std::move(answer));
}

Result<AdminAnswer> AdminClient::put(const std::string& path, const std::string& body)
{
    return request(this->target, HTTPRequest::HTTP_PUT, path, body);
}

boost::leaf::error_id failFromAnswer(const AdminAnswer& answer)
{
    const JsonNode* error = findMember(answer.body, "error");
    auto errorField = [&](const char* key) {
        const JsonNode* node = error == nullptr ? nullptr : findMember(*error, key);
        return node == nullptr ? std::string() : cellText(*node);
    };
    std::string message = "HTTP " + std::to_string(answer.httpStatus) + " " + errorField("code") + ": "
        + joinErrorText(errorField("field"), errorField("message"));
    if (std::string retryAfter = errorField("retryAfterMs"); !retryAfter.empty())
        message += "; try again in " + retryAfter + " ms";
    if (answer.httpStatus == HTTPResponse::HTTP_UNAUTHORIZED)
        message += "; pass the admin token with --token-file";
    return failWith(exitCodeOf(answer.httpStatus), std::move(message));
}

} // namespace lovagecross
