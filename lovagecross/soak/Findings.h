#pragma once

// Broken promises that a soak has seen.
//
// Thread safety: every member may be called from any thread.

#include <mutex>
#include <string>
#include <vector>

namespace lovagecross::soak {

class Findings {
public:
    void add(const std::string& promise, const std::string& what)
    {
        std::lock_guard lock(this->mutex);
        if (this->list.size() < maxKept)
            this->list.push_back(promise + ": " + what);
    }

    std::vector<std::string> all() const
    {
        std::lock_guard lock(this->mutex);
        return this->list;
    }

private:
    static constexpr std::size_t maxKept = 200;

    mutable std::mutex mutex;
    std::vector<std::string> list;
};

} // namespace lovagecross::soak
