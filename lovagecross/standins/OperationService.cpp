#include "lovagecross/standins/OperationService.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <chrono>
#include <cxxopts.hpp>
#include <exception>
#include <iostream>
#include <utility>

namespace lovagecross::standins {

namespace {

void checkRequest(const Exchange& exchange)
{
    if (exchange.method() != "POST")
        throw BadRequest("operations take POST");
    if (exchange.path().size() < 2 || exchange.path().find('/', 1) != std::string::npos)
        throw BadRequest("the path must be /{operation}");
    try {
        static_cast<void>(Poco::JSON::Parser().parse(exchange.body()));
    } catch (const Poco::Exception&) {
        throw BadRequest("the body must be JSON");
    }
}

} // namespace

OperationService::OperationService(OperationOptions options)
    : options(std::move(options))
    , faults({
          { "hang", &OperationFaults::hang },
          { "delayMs", &OperationFaults::delayMs },
          { "failBefore", &OperationFaults::failBefore },
          { "dropAfterRun", &OperationFaults::dropAfterRun },
          { "error", &OperationFaults::error },
      })
{
}

void OperationService::serve(Exchange& exchange)
{
    this->count("requests");
    checkRequest(exchange);
    if (this->faults.takeOne(&OperationFaults::failBefore)) {
        this->count("refused");
        exchange.replyError(503, "unavailable", "not run");
        return;
    }
    this->run(exchange, exchange.path().substr(1));
}

void OperationService::run(Exchange& exchange, const std::string& operation)
{
    std::uint64_t runNumber = 0;
    {
        const std::lock_guard lock(this->mutex);
        runNumber = this->counter.add(exchange.header("X-Call-Id"), operation, exchange.body());
    }
    this->count("runs");
    const OperationFaults faults = this->faults.get();
    // The run is counted when it begins: its effect happens even if the caller goes away meanwhile.
    const std::int64_t waitMs = faults.delayMs + this->options.workMs;
    if (waitMs > 0)
        exchange.stopSignal().wait(std::chrono::milliseconds(waitMs));
    if (faults.hang) {
        this->count("hung");
        exchange.holdSilent();
    } else if (this->faults.takeOne(&OperationFaults::dropAfterRun)) {
        this->count("dropped");
        exchange.drop();
    } else if (faults.error) {
        exchange.replyError(500, "failed", "the operation ran and failed");
    } else {
        Poco::JSON::Object body;
        body.set("service", this->options.kind);
        body.set("operation", operation);
        body.set("run", runNumber);
        body.set("input", Poco::JSON::Parser().parse(exchange.body()));
        exchange.replyJson(200, body);
    }
}

Poco::JSON::Object OperationService::runsJson()
{
    const std::lock_guard lock(this->mutex);
    Poco::JSON::Array runs;
    for (const RunCount& run : this->counter.runs()) {
        Poco::JSON::Object entry;
        entry.set("callId", run.callId);
        entry.set("operation", run.operation);
        entry.set("count", run.count);
        runs.add(entry);
    }
    Poco::JSON::Array bodies;
    for (const BodyCount& run : this->counter.bodies()) {
        Poco::JSON::Object entry;
        entry.set("operation", run.operation);
        entry.set("body", run.body);
        entry.set("count", run.count);
        bodies.add(entry);
    }
    Poco::JSON::Object body;
    body.set("runs", runs);
    body.set("bodies", bodies);
    body.set("total", this->counter.total());
    return body;
}

bool OperationService::serveControl(Exchange& exchange)
{
    if (exchange.method() != "GET" || exchange.path() != "/control/runs")
        return false;
    exchange.replyJson(200, this->runsJson());
    return true;
}

std::string OperationService::applyFaults(const std::string& json)
{
    return this->faults.apply(json);
}

void OperationService::resetState()
{
    this->faults.reset();
    const std::lock_guard lock(this->mutex);
    this->counter.clear();
}

namespace {

int parseAndRun(const std::string& kind, int argc, char** argv)
{
    cxxopts::Options options("standin-" + kind, "Stand-in for a service that runs operations");
    cxxopts::OptionAdder add = options.add_options();
    add("address", "IP:port; port 0 picks a free one", cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    add("work-ms", "time that each run takes", cxxopts::value<std::int64_t>()->default_value("0"));
    add("help", "print this help");
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help() << std::endl;
        return 0;
    }
    OperationService service({ kind, arguments["work-ms"].as<std::int64_t>() });
    return runUntilTerminated(service, arguments["address"].as<std::string>());
}

} // namespace

int runOperationService(const std::string& kind, int argc, char** argv)
{
    prepareSignals();
    try {
        return parseAndRun(kind, argc, argv);
    } catch (const std::exception& error) {
        std::cerr << "standin-" << kind << ": " << error.what() << std::endl;
        return 2;
    }
}

} // namespace lovagecross::standins
