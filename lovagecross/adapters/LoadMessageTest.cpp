#include "lovagecross/adapters/PeerCodec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <iostream>

namespace lovagecross {

namespace {

constexpr std::size_t services = 5;
constexpr std::size_t dataCentres = 3;
constexpr std::uint32_t callsPerNode = 6; // of each service

ServiceLoad loadOf(std::size_t service, std::uint32_t nodes)
{
    std::uint32_t calls = callsPerNode * nodes;
    return { "service-" + std::to_string(service), calls, 0, calls / 4, 240,
        { { "lodz2", calls / 3, calls / 2 }, { "lodz3", calls / 6, calls / 4 } } };
}

std::size_t fetchBytes(bool withLoad)
{
    DirectoryFetch fetch;
    if (withLoad) {
        fetch.load = { "entry-001", "lodz1", {} };
        for (std::size_t i = 0; i < services; ++i)
            fetch.load.services.push_back(loadOf(i, 1));
    }
    return detail::encodeEnvelope({ { 1, 1 }, false, PeerRequest(fetch) }).size();
}

std::size_t updateBytes(std::uint32_t nodes)
{
    DirectoryUpdate update;
    update.loadRank = nodes;
    for (std::size_t i = 0; nodes > 0 && i < services * dataCentres; ++i)
        update.loads.push_back({ "lodz" + std::to_string(i % dataCentres), loadOf(i / dataCentres, nodes / dataCentres),
            nodes / static_cast<std::uint32_t>(dataCentres), std::chrono::milliseconds(480) });
    return detail::encodeAnswer(update).size();
}

} // namespace

class LoadMessageTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LoadMessageTest);
    CPPUNIT_TEST(bytesDontGrowWithTheNodes);
    CPPUNIT_TEST_SUITE_END();

    // Guards against messages that list nodes: each node fetches several times a second.
    void bytesDontGrowWithTheNodes()
    {
        std::size_t empty = updateBytes(0);
        std::cout << " [fetch +" << fetchBytes(true) - fetchBytes(false) << " B, update";
        for (std::uint32_t nodes : { 3U, 74U, 300U })
            std::cout << " +" << updateBytes(nodes) - empty << " B at " << nodes;
        std::cout << "]";
        CPPUNIT_ASSERT(updateBytes(300) <= updateBytes(3) * 5 / 4);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadMessageTest);

} // namespace lovagecross
