// The soak's command line. Exits 1 when a promise was broken.

#include "lovagecross/soak/Soak.h"

#include <cxxopts.hpp>
#include <iostream>

namespace {

using lovagecross::soak::Soak;
using lovagecross::soak::SoakMode;
using lovagecross::soak::SoakOptions;

cxxopts::Options describeOptions()
{
    cxxopts::Options description("lovagecross-soak", "Randomized soak of entry and record nodes as processes.");
    auto add = description.add_options();
    add("seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("seeds", "number of seeds", cxxopts::value<int>()->default_value("1"));
    add("seconds", "with faults, each seed", cxxopts::value<int>()->default_value("30"));
    add("entries", "entry nodes", cxxopts::value<int>()->default_value("3"));
    add("records", "record nodes", cxxopts::value<int>()->default_value("3"));
    add("callers", "threads of callers", cxxopts::value<int>()->default_value("6"));
    add("calm", "only planned work and pauses of servers; no response may be cut");
    add("ending-calls", "requests that end each server that runs them; the other faults are fewer");
    add("ending-callers", "threads that repeat such requests", cxxopts::value<int>()->default_value("2"));
    add("only-ending-calls", "the same without other faults");
    add("replace", "replace every node by the other program's and back; needs --older-program");
    add("program", "the nodes' program", cxxopts::value<std::string>()->default_value(""));
    add("older-program", "of another version, for nodes beside those of --program",
        cxxopts::value<std::string>()->default_value(""));
    add("keep-logs", "also of good seeds");
    add("help", "print this text");
    return description;
}

SoakOptions readOptions(const cxxopts::ParseResult& arguments)
{
    SoakOptions options;
    options.seconds = arguments["seconds"].as<int>();
    options.entries = arguments["entries"].as<int>();
    options.recordNodes = arguments["records"].as<int>();
    options.callers = arguments["callers"].as<int>();
    options.keepLogs = arguments.count("keep-logs") > 0;
    options.otherProgram = arguments["older-program"].as<std::string>();
    options.program = arguments["program"].as<std::string>();
    if (options.program.empty())
        options.program = lovagecross::testing::programPath("lovagecrossd");
    if (arguments.count("calm") > 0)
        options.mode = SoakMode::Calm;
    options.endingCallers = arguments["ending-callers"].as<int>();
    options.onlyEndingCalls = arguments.count("only-ending-calls") > 0;
    if (arguments.count("ending-calls") > 0 || options.onlyEndingCalls)
        options.mode = SoakMode::EndingCalls;
    if (arguments.count("replace") > 0)
        options.mode = SoakMode::Replacement;
    if (options.mode == SoakMode::Replacement && options.otherProgram.empty())
        throw std::invalid_argument("--replace needs --older-program");
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    lovagecross::standins::prepareSignals();
    cxxopts::Options description = describeOptions();
    try {
        auto arguments = description.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << description.help() << "\nExit codes: 0 all promises held, 1 one was broken, 2 usage.\n";
            return 0;
        }
        int broken = 0;
        SoakOptions options = readOptions(arguments);
        auto firstSeed = arguments["seed"].as<std::uint64_t>();
        for (int i = 0; i < arguments["seeds"].as<int>(); ++i) {
            options.seed = firstSeed + static_cast<std::uint64_t>(i);
            broken += Soak(options).run() > 0 ? 1 : 0;
        }
        return broken > 0 ? 1 : 0;
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
