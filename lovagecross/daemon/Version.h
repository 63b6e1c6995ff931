#pragma once

namespace lovagecross {

inline constexpr const char* versionText = "0.1.0";

} // namespace lovagecross
