#include "lovagecross/daemon/PlatformListeners.h"

#include <utility>

namespace lovagecross {

namespace {

constexpr int maxConnections = 32;
constexpr int idleThreads = 1;
// Their callers send a request of one packet as soon as they have connected.
constexpr Duration minWaitToClose = std::chrono::milliseconds(20);
constexpr Duration stopTimeout = std::chrono::milliseconds(100);

std::string formatCounters(const Counters& counters)
{
    std::string text;
    for (const auto& [name, value] : counters.snapshot())
        text += name + ' ' + std::to_string(value) + '\n';
    return text;
}

void sendText(Poco::Net::HTTPServerResponse& response, int status, const std::string& text,
    const std::string& contentType = "text/plain")
{
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(response.getStatus()));
    response.setContentType(contentType);
    response.setContentLength(static_cast<std::streamsize>(text.size()));
    response.send() << text;
}

} // namespace

ReadyListener::ReadyListener(const std::string& address, const Counters& counters, std::string readyPath,
    std::function<std::string()> notReadyReason)
    : listener({ address, maxConnections, idleThreads, minWaitToClose },
        [&counters, path = std::move(readyPath), reason = std::move(notReadyReason)](auto& request, auto& response) {
            if (request.getURI() == path) {
                std::string why = reason();
                sendText(response, why.empty() ? 200 : 503, why.empty() ? "ready\n" : why + '\n');
            } else if (request.getURI() == "/metrics") {
                sendText(response, 200, formatCounters(counters));
            } else {
                sendText(response, 404, "unknown path\n");
            }
        })
{
    this->listener.start();
}

void ReadyListener::stop()
{
    this->listener.stop(stopTimeout);
}

MetricsListener::MetricsListener(const std::string& address, const Counters& counters, const QuarantineApi& quarantine)
    : listener({ address, maxConnections, idleThreads, minWaitToClose },
        [&counters, &quarantine](auto& request, auto& response) {
            if (request.getURI() == "/metrics")
                sendText(response, 200, formatCounters(counters));
            else if (auto answer = quarantine.answer(request.getMethod(), request.getURI()))
                sendText(response, answer->status, answer->body, "application/json");
            else
                sendText(response, 404, "unknown path\n");
        })
{
    this->listener.start();
}

void MetricsListener::stop()
{
    this->listener.stop(stopTimeout);
}

} // namespace lovagecross
