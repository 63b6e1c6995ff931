#include "lovagecross/config/Address.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <cstdint>
#include <netinet/in.h>
#include <string>

namespace lovagecross {

namespace {

constexpr std::size_t maxPortDigits = 5;

bool isPort(std::string_view text)
{
    if (text.empty() || text.size() > maxPortDigits || text.front() == '0')
        return false;
    std::uint32_t port = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
    return error == std::errc() && end == text.data() + text.size() && port <= 65535;
}

bool isIpV4(std::string_view text)
{
    in_addr address {};
    return inet_pton(AF_INET, std::string(text).c_str(), &address) == 1 && address.s_addr != INADDR_ANY;
}

bool isIpV6(std::string_view text)
{
    in6_addr address {};
    return inet_pton(AF_INET6, std::string(text).c_str(), &address) == 1
        && std::any_of(std::begin(address.s6_addr), std::end(address.s6_addr), [](auto byte) { return byte != 0; });
}

bool isIp(std::string_view text)
{
    if (text.find('\0') != std::string_view::npos)
        return false;
    if (text.size() > 2 && text.front() == '[' && text.back() == ']')
        return isIpV6(text.substr(1, text.size() - 2));
    return isIpV4(text);
}

} // namespace

bool isAddress(std::string_view text)
{
    std::size_t colon = text.rfind(':');
    return colon != std::string_view::npos && isPort(text.substr(colon + 1)) && isIp(text.substr(0, colon));
}

} // namespace lovagecross
