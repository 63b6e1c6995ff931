#pragma once

// Addresses in settings and configuration: an IPv4 address, or an IPv6 address in brackets, and a port.
//
//     isAddress("10.0.0.1:7400");    // true
//     isAddress("[fd00::1]:7400");   // true
//     isAddress("db1:7400");         // false: host names are not looked up
//
// Thread safety: free functions without state.

#include <string_view>

namespace lovagecross {

// False for port 0 and the unspecified address (0.0.0.0, ::): the address is sent to other nodes as it is written.
bool isAddress(std::string_view text);

} // namespace lovagecross
