#pragma once

// A tool service or a plain application service over HTTP (docs/backend-protocols.md), with faults and run counts.
// The service does not deduplicate: each request that gets through is a run.
//
// Thread safety: requests are served on many threads; the counter is behind one lock.

#include "lovagecross/standins/FaultTable.h"
#include "lovagecross/standins/HttpService.h"
#include "lovagecross/standins/RunCounter.h"

#include <cstdint>
#include <mutex>
#include <string>

namespace lovagecross::standins {

struct OperationFaults {
    bool hang = false; // runs, and never answers
    std::int64_t delayMs = 0; // before the run
    std::int64_t failBefore = 0; // so many requests get 503 and are not run
    std::int64_t dropAfterRun = 0; // so many requests are run and get no answer
    bool error = false; // 500 after the run
};

struct OperationOptions {
    std::string kind; // "tool" or "app", part of each answer
    std::int64_t workMs = 0; // time that each run takes
};

class OperationService final : public HttpService {
public:
    explicit OperationService(OperationOptions options);

protected:
    void serve(Exchange& exchange) override;
    bool serveControl(Exchange& exchange) override;
    std::string applyFaults(const std::string& json) override;
    void resetState() override;

private:
    Poco::JSON::Object runsJson();
    void run(Exchange& exchange, const std::string& operation);

    const OperationOptions options;
    FaultTable<OperationFaults> faults;
    std::mutex mutex; // guards the counter
    RunCounter counter;
};

// The whole `main` of standin-tool and standin-app.
int runOperationService(const std::string& kind, int argc, char** argv);

} // namespace lovagecross::standins
