// standin-engine: a model engine on a loopback address, with faults set over HTTP.

#include "lovagecross/standins/EngineService.h"
#include "lovagecross/standins/HttpService.h"

#include <cstdint>
#include <cxxopts.hpp>
#include <exception>
#include <iostream>
#include <stdexcept>
#include <string>
#include <vector>

namespace {

using lovagecross::standins::EngineServiceOptions;

void addOptions(cxxopts::Options& options, const EngineServiceOptions& defaults)
{
    const auto number
        = [](auto value) { return cxxopts::value<decltype(value)>()->default_value(std::to_string(value)); };
    cxxopts::OptionAdder add = options.add_options();
    add("address", "IP:port; port 0 picks a free one", cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    add("models", "loaded models, separated by commas",
        cxxopts::value<std::vector<std::string>>()->default_value("model"));
    add("slots", "requests that run at once", number(defaults.engine.slots));
    add("kv-tokens", "KV memory in tokens", number(defaults.engine.kvTokens));
    add("prefill-tps", "prompt tokens a second", number(defaults.engine.prefillTokensPerSecond));
    add("decode-tps", "answer tokens a second of one stream", number(defaults.engine.decodeTokensPerSecond));
    add("check-epoch", "refuse requests and orders with an old epoch");
    add("max-queue", "requests that wait for a slot", number(defaults.engine.maxQueue));
    add("model-load-ms", "time to load a model", number(defaults.engine.modelLoadMs));
    add("kv-transfer-tps", "tokens a second of KV export and import", number(defaults.kvTransferTokensPerSecond));
    add("help", "print this help");
}

EngineServiceOptions readOptions(const cxxopts::ParseResult& arguments)
{
    EngineServiceOptions options;
    options.engine.models = arguments["models"].as<std::vector<std::string>>();
    options.engine.slots = arguments["slots"].as<std::uint32_t>();
    options.engine.kvTokens = arguments["kv-tokens"].as<std::uint32_t>();
    options.engine.prefillTokensPerSecond = arguments["prefill-tps"].as<double>();
    options.engine.decodeTokensPerSecond = arguments["decode-tps"].as<double>();
    options.engine.checkEpoch = arguments.count("check-epoch") > 0;
    options.engine.maxQueue = arguments["max-queue"].as<std::uint32_t>();
    options.engine.modelLoadMs = arguments["model-load-ms"].as<std::int64_t>();
    options.kvTransferTokensPerSecond = arguments["kv-transfer-tps"].as<double>();
    if (options.engine.slots == 0 || options.engine.prefillTokensPerSecond <= 0
        || options.engine.decodeTokensPerSecond <= 0 || options.kvTransferTokensPerSecond <= 0)
        throw std::invalid_argument("slots and rates must be above 0");
    return options;
}

int run(int argc, char** argv)
{
    cxxopts::Options options("standin-engine", "Stand-in for a model engine");
    addOptions(options, {});
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help() << std::endl;
        return 0;
    }
    lovagecross::standins::EngineService service(readOptions(arguments));
    return lovagecross::standins::runUntilTerminated(service, arguments["address"].as<std::string>());
}

} // namespace

int main(int argc, char** argv)
{
    lovagecross::standins::prepareSignals();
    try {
        return run(argc, argv);
    } catch (const std::exception& error) {
        std::cerr << "standin-engine: " << error.what() << std::endl;
        return 2;
    }
}
