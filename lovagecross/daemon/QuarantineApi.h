#pragma once

// What operators ask a node on a platform with a registry about quarantined calls, over the listener for metrics:
//
//     GET /admin/quarantine                  {"calls":[{"call","ends","servers","versions","ageMs"}]}
//     POST /admin/quarantine/CALL/release    {"call":CALL}; 404 if nothing is known of the call
//
// Thread safety: every member may be called from any thread.

#include "lovagecross/crashes/CrashLedger.h"

#include <functional>
#include <optional>
#include <string>

namespace lovagecross {

class QuarantineApi {
public:
    // Releases a call on all nodes. Returns whether any server's end had counted for it.
    using Release = std::function<bool(const std::string& fingerprint)>;

    struct Answer {
        int status = 200;
        std::string body; // JSON
    };

    QuarantineApi(const CrashLedger& ownLedger, Release releaseCall);

    // Returns nullopt if the path is none of the above.
    std::optional<Answer> answer(const std::string& method, const std::string& path) const;

private:
    Answer list() const;
    Answer release(const std::string& call) const;

    const CrashLedger& ledger;
    const Release releaseOnAllNodes;
};

} // namespace lovagecross
