#pragma once

// A stand-in for the users' platform: objects by kind and name with one revision counter, conditional writes, lists,
// changes since a revision with waiting, and statuses.
//
// Thread safety: every member may be called from any thread.

#include "lovagecross/standins/HttpService.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace lovagecross::soak {

class FakePlatform final : public standins::HttpService {
public:
    // Writes an object as the operator or a server does.
    void put(const std::string& kind, const std::string& name, const std::string& spec);

    // Drops the history: every waiting or later watch of an older revision is answered with 410.
    void forgetHistory();

protected:
    void serve(standins::Exchange& exchange) override;
    std::string applyFaults(const std::string&) override { return {}; }
    void resetState() override { }

private:
    struct Object {
        std::uint64_t revision = 0;
        std::string spec;
        std::string status = "null";
    };
    struct Change {
        std::uint64_t revision = 0;
        std::string kind;
        std::string event; // as JSON
    };

    static std::string print(const std::string& name, const Object& object);
    std::uint64_t store(const std::string& kind, const std::string& name, const std::string& spec);
    void addChange(const std::string& kind, const std::string& object, bool deleted);
    void serveKind(standins::Exchange& exchange, const std::string& kind);
    void serveObject(standins::Exchange& exchange, const std::string& kind, const std::string& name);
    void serveChanges(standins::Exchange& exchange, const std::string& kind);

    std::mutex mutex;
    std::condition_variable changed;
    std::uint64_t revision = 1;
    std::uint64_t historyFrom = 1; // changes after this revision are known
    std::map<std::string, std::map<std::string, Object>> kinds;
    std::deque<Change> changes;
};

} // namespace lovagecross::soak
