// standin-platform: the platform's object API on a loopback address, with faults set over HTTP.

#include "lovagecross/base/Clock.h"
#include "lovagecross/standins/HttpService.h"
#include "lovagecross/standins/PlatformService.h"

#include <cstdint>
#include <cxxopts.hpp>
#include <exception>
#include <iostream>
#include <string>

namespace {

int run(int argc, char** argv)
{
    using namespace lovagecross;
    standins::PlatformOptions defaults;
    cxxopts::Options options("standin-platform", "Stand-in for the platform's object API");
    cxxopts::OptionAdder add = options.add_options();
    add("address", "IP:port; port 0 picks a free one", cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    add("writes-per-second", "limit of writes, 0: none",
        cxxopts::value<std::int64_t>()->default_value(std::to_string(defaults.faults.writesPerSecond)));
    add("reads-per-second", "limit of reads, 0: none",
        cxxopts::value<std::int64_t>()->default_value(std::to_string(defaults.faults.readsPerSecond)));
    add("vm-lag-ms", "age of the served VM list",
        cxxopts::value<std::int64_t>()->default_value(std::to_string(defaults.vmLagMs)));
    add("help", "print this help");
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help() << std::endl;
        return 0;
    }
    defaults.faults.writesPerSecond = arguments["writes-per-second"].as<std::int64_t>();
    defaults.faults.readsPerSecond = arguments["reads-per-second"].as<std::int64_t>();
    defaults.vmLagMs = arguments["vm-lag-ms"].as<std::int64_t>();
    const SystemClock clock;
    standins::PlatformService service(clock, defaults);
    return standins::runUntilTerminated(service, arguments["address"].as<std::string>());
}

} // namespace

int main(int argc, char** argv)
{
    lovagecross::standins::prepareSignals();
    try {
        return run(argc, argv);
    } catch (const std::exception& error) {
        std::cerr << "standin-platform: " << error.what() << std::endl;
        return 2;
    }
}
