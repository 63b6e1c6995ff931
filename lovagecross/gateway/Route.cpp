#include "lovagecross/gateway/Route.h"

#include <algorithm>
#include <cctype>

namespace lovagecross {

namespace {

std::string lowerCase(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
        [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return result;
}

} // namespace

RouteTable::RouteTable(const std::vector<Route>& routes)
{
    for (const Route& route : routes)
        this->byHost[lowerCase(route.host)].push_back(&route);
    for (auto& [host, list] : this->byHost) {
        std::stable_sort(list.begin(), list.end(),
            [](const Route* left, const Route* right) { return left->pathPrefix.size() > right->pathPrefix.size(); });
    }
}

const Route* RouteTable::find(std::string_view host, std::string_view path) const
{
    std::string name = lowerCase(host);
    auto found = this->byHost.find(name);
    if (found == this->byHost.end())
        found = this->byHost.find(name.substr(0, name.rfind(':')));
    if (found == this->byHost.end())
        return nullptr;
    for (const Route* route : found->second) {
        if (path.rfind(route->pathPrefix, 0) == 0)
            return route;
    }
    return nullptr;
}

const std::string& pickService(const Route& route, std::uint64_t random)
{
    std::uint64_t total = 0;
    for (const WeightedService& entry : route.services)
        total += entry.weight;
    if (total == 0)
        return route.services.front().service;
    std::uint64_t point = random % total;
    for (const WeightedService& entry : route.services) {
        if (point < entry.weight)
            return entry.service;
        point -= entry.weight;
    }
    return route.services.back().service;
}

} // namespace lovagecross
