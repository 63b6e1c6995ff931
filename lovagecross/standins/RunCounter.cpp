#include "lovagecross/standins/RunCounter.h"

namespace lovagecross::standins {

std::uint64_t RunCounter::add(const std::string& callId, const std::string& operation, const std::string& body)
{
    ++this->totalRuns;
    ++this->byBody[{ operation, body }];
    return ++this->byCall[{ callId, operation }];
}

std::vector<RunCount> RunCounter::runs() const
{
    std::vector<RunCount> list;
    for (const auto& [key, count] : this->byCall)
        list.push_back({ key.first, key.second, count });
    return list;
}

std::vector<BodyCount> RunCounter::bodies() const
{
    std::vector<BodyCount> list;
    for (const auto& [key, count] : this->byBody)
        list.push_back({ key.first, key.second, count });
    return list;
}

void RunCounter::clear()
{
    this->byCall.clear();
    this->byBody.clear();
    this->totalRuns = 0;
}

} // namespace lovagecross::standins
