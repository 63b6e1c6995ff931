#include "lovagecross/ctl/CommandLine.h"

#include "lovagecross/config/Address.h"
#include "lovagecross/ctl/Commands.h"

#include <algorithm>
#include <array>
#include <cxxopts.hpp>
#include <utility>

namespace lovagecross {

namespace {

constexpr std::string_view globalGroup = "Global";
constexpr std::size_t helpWidth = 110;
constexpr std::uint32_t maxTimeoutSeconds = 600;
constexpr std::uint32_t maxWaitSeconds = 3600;

constexpr std::string_view exitCodeHelp = R"(
Exit codes:
  0  ok
  1  failed: the node refused the request, or the condition asked for does not hold
  2  usage: the command line is wrong; nothing was sent
  3  not found: the node knows no such object
  4  conflict: the configuration changed since the base version
  5  unreachable: the node did not answer in time
)";

const std::array<Command, 14> commands { {
    { "apply", "FILE", 1,
        "Checks the configuration in FILE (- for standard input) and puts it in force, if the configuration did not "
        "change since the base version (by default the version in force now). Prints the differences. A conflict "
        "shows both versions and the differences between the configuration in force and FILE.",
        runApply },
    { "diff", "FILE", 1, "Prints the differences between the configuration in force and FILE (- for standard input).",
        runDiff },
    { "check", "FILE", 1,
        "Checks a configuration for a platform with a registry in FILE (- for standard input) before it is sent: "
        "errors, entries that can never match, limits that contradict each other and, with --in-force or --platform, "
        "the differences from the configuration in force. Exits with 1 if there is anything but differences.",
        runCheck, false },
    { "show config", "", 0,
        "Prints the configuration in force, in the form that `apply` takes, and its version on standard error.",
        runShowConfig },
    { "versions", "", 0,
        "Prints the configuration version in force on each node that the asked node knows. Exits with 0 when all "
        "nodes that are not dead agree, else with 1.",
        runVersions },
    { "get", "nodes|backends|programs|leases|budgets", 1,
        "Prints a table. `programs` lists those of the shards that the asked node owns.", runGet },
    { "describe", "node|backend|program|lease|budget NAME", 2,
        "Prints every field of one object. Programs go by their id, leases by their shard.", runDescribe },
    { "explain", "CALL", 1,
        "Prints why a call waited and where its attempts went. CALL is <program>:<requestId>. Asks each live node that "
        "the asked node knows until one keeps the decision; each node keeps those of its last 1,000 ended calls.",
        runExplain },
    { "drain", "", 0,
        "Asks the node to hand its shards over and to refuse new calls, so that it can be stopped. Calls that run are "
        "finished.",
        runDrain },
    { "quarantine list", "", 0,
        "Prints the calls that entry nodes refuse because backend servers have ended under them. The node is one on a "
        "platform with a registry, by its metrics address.",
        runQuarantineList },
    { "quarantine release", "CALL", 1,
        "Releases such a call on all nodes. CALL is its name in `quarantine list` and in the log.",
        runQuarantineRelease },
    { "shard release", "INDEX", 1,
        "Releases the shard with this index of the node's data centre, so that any node may take it over at once. Only "
        "for a shard whose holder and standby have both stopped for good: a holder that still runs would work on "
        "until its lease lapses. Needs --confirm-stopped.",
        runShardRelease },
    { "counters", "", 0, "Prints the node's counters.", runCounters },
    { "status", "", 0, "Prints the node's status.", runStatus },
} };

cxxopts::Options makeOptions()
{
    cxxopts::Options options("lovagectl", "Operates a lovagecross fleet through one of its nodes.");
    options.add_options(std::string(globalGroup))("node", "Admin address of a node; default: $LOVAGECTL_NODE",
        cxxopts::value<std::string>(),
        "IP:port")("token-file", "File that contains the admin token", cxxopts::value<std::string>(), "FILE")(
        "output", "text or json", cxxopts::value<std::string>()->default_value("text"), "FORMAT")("timeout",
        "Longest wait for the node, from 1 to 600", cxxopts::value<std::string>()->default_value("5"),
        "SECONDS")("help", "Prints this help");
    options.add_options("apply")("base-version", "Version that the change is based on", cxxopts::value<std::string>(),
        "N")("dry-run", "Checks and prints the differences only");
    options.add_options("check")(
        "in-force", "File with the configuration in force", cxxopts::value<std::string>(), "FILE")("platform",
        "Object API from which to read the configuration in force", cxxopts::value<std::string>(), "IP:port");
    options.add_options("versions")(
        "wait", "Waits until all agree, from 0 to 3600", cxxopts::value<std::string>()->default_value("0"), "SECONDS")(
        "at-least", "Also asks for this version or a higher one on each node", cxxopts::value<std::string>(), "N");
    options.add_options("shard release")("confirm-stopped", "States that the holder has stopped for good");
    options.add_options("operands")("words", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional("words");
    options.positional_help("");
    options.set_width(helpWidth);
    return options;
}

boost::leaf::error_id failUsage(std::string message)
{
    return failWith(ExitCode::Usage, std::move(message) + " (see lovagectl --help)");
}

std::size_t wordCount(const Command& command)
{
    return 1 + static_cast<std::size_t>(std::count(command.name.begin(), command.name.end(), ' '));
}

std::string nameAndOperands(const Command& command)
{
    std::string text(command.name);
    return text.append(command.operands.empty() ? "" : " ").append(command.operands);
}

std::string wrap(std::string_view text)
{
    std::string wrapped;
    while (text.size() > helpWidth) {
        std::size_t space = text.rfind(' ', helpWidth);
        wrapped.append(text.substr(0, space)).append("\n");
        text.remove_prefix(space + 1);
    }
    return wrapped.append(text).append("\n");
}

const Command* findCommand(const std::vector<std::string>& words)
{
    for (const Command& command : commands) {
        std::string name = words[0];
        if (wordCount(command) == 2 && words.size() > 1)
            name += " " + words[1];
        if (name == command.name)
            return &command;
    }
    return nullptr;
}

Result<std::uint64_t> parseNumber(const std::string& option, const std::string& text, std::uint64_t max)
{
    constexpr std::size_t maxDigits = 18;
    bool digits = !text.empty() && text.size() <= maxDigits
        && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
    if (!digits || std::stoull(text) > max)
        return failUsage("--" + option + " must be an integer from 0 to " + std::to_string(max));
    return std::stoull(text);
}

constexpr std::uint64_t maxVersion = 999'999'999'999'999'999;

Result<void> readGlobalOptions(const cxxopts::ParseResult& parsed, const std::string& defaultNode, Arguments& arguments)
{
    arguments.node = parsed.count("node") > 0 ? parsed["node"].as<std::string>() : defaultNode;
    if (parsed.count("token-file") > 0)
        arguments.tokenFile = parsed["token-file"].as<std::string>();
    auto output = outputFormatNames.parse(parsed["output"].as<std::string>());
    if (!output)
        return failUsage("--output must be one of " + outputFormatNames.listNames());
    arguments.output = *output;
    BOOST_LEAF_AUTO(timeout, parseNumber("timeout", parsed["timeout"].as<std::string>(), maxTimeoutSeconds));
    if (timeout == 0)
        return failUsage("--timeout must be at least 1");
    arguments.timeout = std::chrono::seconds(timeout);
    return {};
}

Result<void> readCommandOptions(const cxxopts::ParseResult& parsed, Arguments& arguments)
{
    arguments.dryRun = parsed.count("dry-run") > 0;
    arguments.confirmStopped = parsed.count("confirm-stopped") > 0;
    if (parsed.count("in-force") > 0)
        arguments.inForceFile = parsed["in-force"].as<std::string>();
    if (parsed.count("platform") > 0)
        arguments.platform = parsed["platform"].as<std::string>();
    if (!arguments.platform.empty() && !isAddress(arguments.platform))
        return failUsage("--platform must be an IP address and a port, such as 10.0.0.1:7401");
    if (!arguments.platform.empty() && !arguments.inForceFile.empty())
        return failUsage("--in-force and --platform exclude each other");
    BOOST_LEAF_AUTO(wait, parseNumber("wait", parsed["wait"].as<std::string>(), maxWaitSeconds));
    arguments.wait = std::chrono::seconds(wait);
    if (parsed.count("base-version") > 0) {
        BOOST_LEAF_ASSIGN(
            arguments.baseVersion, parseNumber("base-version", parsed["base-version"].as<std::string>(), maxVersion));
    }
    if (parsed.count("at-least") > 0) {
        BOOST_LEAF_ASSIGN(arguments.atLeast, parseNumber("at-least", parsed["at-least"].as<std::string>(), maxVersion));
    }
    return {};
}

bool groupHasOption(const cxxopts::Options& options, std::string_view group, const std::string& option)
{
    auto groups = options.groups();
    if (std::find(groups.begin(), groups.end(), group) == groups.end())
        return false;
    const auto& entries = options.group_help(std::string(group)).options;
    return std::any_of(entries.begin(), entries.end(),
        [&](const auto& entry) { return std::find(entry.l.begin(), entry.l.end(), option) != entry.l.end(); });
}

Result<void> checkOptionsApply(
    const cxxopts::Options& options, const cxxopts::ParseResult& parsed, const Command& command)
{
    for (const auto& argument : parsed.arguments()) {
        const std::string& key = argument.key();
        if (key != "words" && !groupHasOption(options, globalGroup, key) && !groupHasOption(options, command.name, key))
            return failUsage("--" + key + " does not apply to " + std::string(command.name));
    }
    return {};
}

Result<Arguments> toArguments(
    const cxxopts::Options& options, const cxxopts::ParseResult& parsed, const std::string& defaultNode)
{
    Arguments arguments;
    arguments.help = parsed.count("help") > 0;
    std::vector<std::string> words;
    if (parsed.count("words") > 0)
        words = parsed["words"].as<std::vector<std::string>>();
    if (words.empty() && arguments.help)
        return arguments;
    if (words.empty())
        return failUsage("a command is missing");
    arguments.command = findCommand(words);
    if (arguments.command == nullptr)
        return failUsage("unknown command \"" + words[0] + "\"");
    if (arguments.help)
        return arguments;
    arguments.operands.assign(words.begin() + static_cast<std::ptrdiff_t>(wordCount(*arguments.command)), words.end());
    if (arguments.operands.size() != arguments.command->operandCount)
        return failUsage(std::string(arguments.command->name) + " takes "
            + std::to_string(arguments.command->operandCount) + " operands, got "
            + std::to_string(arguments.operands.size()));
    if (auto applies = checkOptionsApply(options, parsed, *arguments.command); !applies)
        return applies.error();
    if (auto read = readGlobalOptions(parsed, defaultNode, arguments); !read)
        return read.error();
    if (auto read = readCommandOptions(parsed, arguments); !read)
        return read.error();
    if (arguments.command->needsNode && !isAddress(arguments.node))
        return failUsage(arguments.node.empty() ? "--node or LOVAGECTL_NODE must be given"
                                                : "--node must be an IP address and a port, such as 10.0.0.1:7401");
    return arguments;
}

} // namespace

std::span<const Command> allCommands()
{
    return commands;
}

Result<Arguments> parseArguments(const std::vector<std::string>& arguments, const std::string& defaultNode)
{
    std::vector<const char*> argv { "lovagectl" };
    for (const std::string& argument : arguments)
        argv.push_back(argument.c_str());
    cxxopts::Options options = makeOptions();
    try {
        cxxopts::ParseResult parsed = options.parse(static_cast<int>(argv.size()), argv.data());
        return toArguments(options, parsed, defaultNode);
    } catch (const cxxopts::exceptions::exception& error) {
        return failUsage(error.what());
    }
}

std::string describeUsage(const Command* command)
{
    cxxopts::Options options = makeOptions();
    std::vector<std::string> groups { std::string(globalGroup) };
    if (command == nullptr) {
        options.custom_help("COMMAND [options]");
        std::string text = "\nCommands (lovagectl COMMAND --help describes one):\n";
        for (const Command& known : commands)
            text.append("  ").append(nameAndOperands(known)).append("\n");
        return options.help(groups) + text + std::string(exitCodeHelp);
    }
    auto known = options.groups();
    if (std::find(known.begin(), known.end(), command->name) != known.end())
        groups.insert(groups.begin(), std::string(command->name));
    options.custom_help(nameAndOperands(*command) + " [options]");
    return options.help(groups) + "\n" + wrap(command->help) + std::string(exitCodeHelp);
}

} // namespace lovagecross
