#include "lovagecross/adapters/HttpServiceClient.h"

#include "lovagecross/adapters/HttpConnection.h"

namespace lovagecross {

using detail::HttpCall;
using detail::HttpConnection;
using detail::HttpEnd;
using detail::HttpLimits;

namespace {

BackendStatus statusWithoutResponse(HttpEnd end)
{
    switch (end) {
    case HttpEnd::NotSent:
        return BackendStatus::NotSent;
    case HttpEnd::DeadlinePassed:
        return BackendStatus::DeadlineExceeded;
    case HttpEnd::TooLarge:
        return BackendStatus::Failed;
    default:
        return BackendStatus::ConnectionLost;
    }
}

BackendStatus statusOfResponse(int status, const std::string& body)
{
    if (status >= 200 && status < 300)
        return BackendStatus::Ok;
    if (status == 429 || status == 503 || (status == 409 && detail::readErrorCode(body) == "old_epoch"))
        return BackendStatus::Refused;
    return BackendStatus::Failed;
}

} // namespace

HttpServiceClient::HttpServiceClient(HttpServiceClientSettings settings, const Clock& clock)
    : settings(settings)
    , clock(clock)
{
}

ServiceAnswer HttpServiceClient::call(const ServiceRequest& request)
{
    ServiceAnswer answer;
    bool validOperation = !request.operation.empty() && request.operation != "." && request.operation != "..";
    if (!validOperation || !detail::isHeaderValue(request.callId)) {
        answer.message
            = "the operation is not a valid path segment or the call id contains characters not allowed in a header";
        return answer;
    }
    HttpCall call;
    call.method = "POST";
    call.path = "/" + detail::encodePath(request.operation, false);
    call.headers = { { "X-Call-Id", request.callId }, { "X-Epoch", std::to_string(request.epoch) } };
    call.body = request.body;
    HttpLimits limits;
    limits.deadline = request.deadline;
    limits.connectTimeout = this->settings.connectTimeout;
    HttpConnection connection(request.address, this->clock);
    Poco::Net::HTTPResponse response;
    HttpEnd end = connection.exchange(call, limits, response);
    if (end == HttpEnd::Complete) {
        answer.httpStatus = response.getStatus();
        end = connection.readBody(answer.body, this->settings.maxBodyBytes);
    }
    if (end != HttpEnd::Complete) {
        answer.status = statusWithoutResponse(end);
        answer.message = connection.errorMessage();
        answer.body.clear();
        return answer;
    }
    answer.status = statusOfResponse(answer.httpStatus, answer.body);
    if (answer.status != BackendStatus::Ok)
        answer.message = "HTTP status " + std::to_string(answer.httpStatus);
    return answer;
}

} // namespace lovagecross
