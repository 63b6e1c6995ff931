// Prints the configuration of a printer of carrier bags: one agent drafts quotes, another walks prepress staff through
// artwork fixes over a long conversation.
//
//     print_bags_configuration > bags.json
//     lovagectl apply bags.json
#include "lovagecross/operators/ConfigurationBuilder.h"

#include <array>
#include <chrono>
#include <iostream>
#include <string>

using namespace std::chrono_literals;

namespace {

constexpr std::array<const char*, 3> dataCentres { "lodz1", "lodz2", "lodz3" };

// Model workers 10.20.1.1 to 10.20.1.10 in turn over the data centres.
void addModelWorkers(lovagecross::ConfigurationBuilder& builder)
{
    constexpr int workers = 10;
    for (int i = 0; i < workers; ++i) {
        std::string number = std::to_string(i + 1);
        builder.addModelServer("engine" + number,
            {
                .address = "10.20.1." + number + ":8000",
                .dataCentre = dataCentres.at(i % dataCentres.size()),
                .models = { "bags/quote-8b", "bags/artwork-8b" },
                .slots = 16,
                .checksEpoch = true,
            });
    }
}

// Application workers of the press hall, two in each data centre.
void addPrepress(lovagecross::ConfigurationBuilder& builder)
{
    constexpr int workers = 6;
    for (int i = 0; i < workers; ++i) {
        std::string number = std::to_string(i + 1);
        builder.addServiceServer("prepress" + number,
            {
                .address = "10.20.2." + number + ":8080",
                .dataCentre = dataCentres.at(i % dataCentres.size()),
                .service = "prepress",
                .costTokens = 20,
                .slots = 4,
            });
    }
}

} // namespace

int main()
{
    lovagecross::ConfigurationBuilder builder;
    auto urgent
        = builder.addRank("urgent", { .urgency = 10, .floorPercent = 60, .maxQueued = 200, .callTimeout = 20s });
    auto standard = builder.addRank("standard", { .urgency = 1, .floorPercent = 40, .callTimeout = 60s });
    addModelWorkers(builder);
    addPrepress(builder);
    // One slot: the order system takes orders one after another.
    builder.addServiceServer("orders1",
        { .address = "10.20.3.1:8090", .dataCentre = "lodz1", .service = "orders", .costTokens = 50, .slots = 1 });
    builder.addBudget("credits",
        {
            .tokens = 4'000'000'000,
            .expires = std::chrono::sys_days { 2027y / std::chrono::June / 30 },
        });
    builder.addProgram("stop-press", urgent, { .budgetTokens = 20'000, .maxTurns = 12, .maxTokensPerCall = 512 });
    builder.addProgram("artwork-fix", urgent, { .budgetTokens = 150'000 });
    builder.addProgram("quote", standard, { .budgetTokens = 60'000, .maxTurns = 40, .maxTokensPerCall = 2048 });
    return lovagecross::printOrExplain(builder, std::cout, std::cerr);
}
