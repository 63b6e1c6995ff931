#pragma once

// Parses and validates the command line of lovagectl.
//
// Thread safety: plain values and free functions.

#include "lovagecross/base/Error.h"
#include "lovagecross/ctl/ExitCode.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lovagecross {

enum class OutputFormat {
    Text,
    Json,
};

inline constexpr NameTable<OutputFormat, 2> outputFormatNames { { {
    { OutputFormat::Text, "text" },
    { OutputFormat::Json, "json" },
} } };

struct CommandContext;

struct Command {
    std::string_view name; // one or two words
    std::string_view operands; // as shown in the usage line
    std::size_t operandCount = 0;
    std::string_view help;
    Result<ExitCode> (*run)(CommandContext&) = nullptr;
    bool needsNode = true; // false: the command asks no node
};

// Returns all commands, in the order in which the help lists them.
std::span<const Command> allCommands();

struct Arguments {
    const Command* command = nullptr; // nullptr only if `help` is set
    std::vector<std::string>
        operands; // without the words of the command name; operandCount elements unless `help` is set
    bool help = false;
    std::string node; // IP:port, empty if not given
    std::string tokenFile; // empty: no token
    OutputFormat output = OutputFormat::Text;
    std::chrono::milliseconds timeout { 5000 };
    std::optional<std::uint64_t> baseVersion;
    std::optional<std::uint64_t> atLeast;
    std::chrono::seconds wait { 0 };
    bool dryRun = false;
    std::string inForceFile; // empty if not given
    std::string platform; // IP:port; empty if not given
    bool confirmStopped = false;
};

// Parses `arguments`, which don't include the program name. `defaultNode` is the value of LOVAGECTL_NODE, or empty if
// it is unset. Errors: CtlFailure with Usage.
Result<Arguments> parseArguments(const std::vector<std::string>& arguments, const std::string& defaultNode);

// Returns the help for one command, or the general help if `command` is nullptr.
std::string describeUsage(const Command* command);

} // namespace lovagecross
