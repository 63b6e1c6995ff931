#pragma once

// Interfaces of the gateway to the program state shared between nodes: stored conversation turns, token budgets and the
// origins of streams.
// Implemented by `records/RecordClient`; tests use fakes.
//
// Thread safety: implementations may be called from any thread.

#include "lovagecross/base/Clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <string>

namespace lovagecross {

inline constexpr std::size_t minTurnOutputBytes = 32 * 1024; // room that a turn's input must leave

// A stored conversation turn. Immutable once written.
struct TurnRecord {
    std::string id; // request id of the turn
    std::string previous; // id of the preceding turn; empty for the first turn of a conversation
    std::string program; // id of the program that the turn belongs to
    std::string input; // the caller's request body
    std::string output; // data of each response event, followed by a line feed
    Duration retention { 0 };
    std::string group {}; // as read with the preceding turns; empty for the first turn of a conversation
};

enum class ConversationStatus {
    Found,
    Absent, // every replica that could hold the turn confirmed that it does not
    Unavailable, // a replica that could hold the turn can't be reached
    TooLong, // the conversation exists, but is too long to be passed to a server
    NoMemory, // the conversation exists, but there is no memory to read it now
};

struct Conversation {
    ConversationStatus status = ConversationStatus::Unavailable;
    std::string text; // input and output of each turn, oldest first
    std::size_t turns = 0;
    Duration retryAfter { 0 }; // for Unavailable: when the caller should retry
    // Where the conversation is stored: the program that began it. Its further turns must be stored there too,
    // whichever program continues it, so that they expire together.
    std::string group {};
};

// Reserves memory for further bytes of a conversation while it is read. Returns false if there is none.
using ReserveMemory = std::function<bool(std::size_t moreBytes)>;

inline bool unlimitedMemory(std::size_t)
{
    return true;
}

class TurnStore {
public:
    virtual ~TurnStore() = default;

    // Reads the conversation up to and including the turn `id`. `program` is the program that continues it, usually
    // also that of the turn itself. Reserves twice the bytes of the text, which is held in pieces and then as a whole.
    virtual Conversation readConversation(
        const std::string& id, const std::string& program, TimePoint deadline, const ReserveMemory& reserve)
        = 0;

    // The largest turn that can be stored, input and output together.
    virtual std::size_t maxTurnBytes() const { return std::numeric_limits<std::size_t>::max(); }

    // Stores a turn. Returns true once the record survives the failures that the deployment tolerates.
    virtual bool keep(TurnRecord record, TimePoint deadline) = 0;
};

enum class GrantStatus {
    Granted,
    Exhausted, // the remaining budget is smaller than the requested tokens
    NoRoom, // too little room is left to store the turn
    Unavailable,
};

// The service and the software version of the servers that a resumable stream may come from. It is recorded before the
// first event reaches the caller, and replaced by a higher revision while there is no event.
struct StreamOrigin {
    std::string softwareVersion; // empty for servers without a version, which count as one version
    std::uint32_t revision = 0; // 0 if nothing is recorded
    std::string service {}; // of those servers; empty in records of earlier versions

    bool operator==(const StreamOrigin&) const = default;
};

struct GrantRequest {
    std::string program;
    std::string requestId;
    std::uint64_t tokens = 0; // maximum number of tokens that the turn can generate
    std::uint64_t budget = 0;
    Duration retention { 0 }; // of the budget and of the stream's origin after their last use
    StreamOrigin origin {}; // of the stream that the request is about to begin
    std::string resumes {}; // id of an earlier request of the program whose stream is to be continued
    std::size_t turnBytes = 0; // at most, of the turn that will be stored; 0: none
    bool continuesTurn = false;
};

struct Grant {
    GrantStatus status = GrantStatus::Unavailable;
    std::uint64_t usedTokens = 0; // by other turns; unsettled grants count in full
    Duration retryAfter { 0 }; // for Unavailable and NoRoom: when the caller should retry
    StreamOrigin resumed {}; // for Granted: the origin of the stream of `resumes`
};

class TokenBudgets {
public:
    virtual ~TokenBudgets() = default;

    // Reserves the tokens durably: they count as used until `settle`. Records the origin with them, and reserves room
    // for the turn. A repeated request with a higher revision of the origin replaces the origin and reserves nothing
    // more.
    virtual Grant reserve(const GrantRequest& request, TimePoint deadline) = 0;

    // Replaces a grant by the tokens that were sent to the caller. If this update is lost, the grant counts in full.
    virtual void settle(const GrantRequest& request, std::uint64_t usedTokens) = 0;
};

} // namespace lovagecross
