#pragma once

// Counts how often each call ran, so that a test sees a call that ran twice or not at all.
//
// Thread safety: none; the owner locks.

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace lovagecross::standins {

struct RunCount {
    std::string callId;
    std::string operation;
    std::uint64_t count = 0;
};

struct BodyCount {
    std::string operation;
    std::string body;
    std::uint64_t count = 0;
};

class RunCounter {
public:
    // Counts one run and returns how often this call id has run this operation, 1 for the first.
    std::uint64_t add(const std::string& callId, const std::string& operation, const std::string& body);

    std::vector<RunCount> runs() const; // in order of call id and operation
    std::vector<BodyCount> bodies() const; // in order of operation and body
    std::uint64_t total() const { return this->totalRuns; }
    void clear();

private:
    using Key = std::pair<std::string, std::string>;

    std::map<Key, std::uint64_t> byCall; // call id, operation
    std::map<Key, std::uint64_t> byBody; // operation, body
    std::uint64_t totalRuns = 0;
};

} // namespace lovagecross::standins
