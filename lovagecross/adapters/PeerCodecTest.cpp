#include "lovagecross/adapters/PeerCodec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace lovagecross::detail {

class PeerCodecTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PeerCodecTest);
    CPPUNIT_TEST(damagedMessagesDecodeToWellFormedOnesOrNothing);
    CPPUNIT_TEST(fullGossipMessageIsSmall);
    CPPUNIT_TEST_SUITE_END();

    static Gossip fullGossip()
    {
        Gossip gossip;
        for (std::uint32_t i = 0; i < maxGossipEntries; ++i)
            gossip.entries.push_back(
                { { "entry1" + std::to_string(i % 10), 0x9f03c1d2a4b5e677 }, "lodz1", 1'000'000, "192.168.100.101:7102",
                    "192.168.100.101:7100", "192.168.100.101:7101", 100'000, false, { { i % 4, 1000 } } });
        return gossip;
    }

    // Guards against corrupted or forged messages that crash the decoder or decode to a name that is invalid in ids and
    // object keys.
    void damagedMessagesDecodeToWellFormedOnesOrNothing()
    {
        constexpr int trials = 20'000;
        std::mt19937_64 random(7);
        ForwardRequest forward { ForwardKind::Read, { "lodz1", 2 }, "p", "r", "t", "history", "{}", 1 };
        std::vector<std::string> originals { encodeEnvelope({ { 1, 2 }, true, fullGossip() }),
            encodeEnvelope({ { 1, 2 }, false, forward }),
            encodeEnvelope({ { 1, 2 }, false, BridgeBatch { { "lodz1", 2 }, 1, 2, 3, "bytes" } }),
            encodeAnswer(BridgeCopies { { "n", 1 }, { { { "lodz1", 2 }, 1, 2, 3, "bytes" } } }) };
        int decoded = 0;
        for (int i = 0; i < trials; ++i) {
            std::string bytes = originals[random() % originals.size()];
            for (std::uint64_t changes = random() % 4; changes > 0; --changes)
                bytes[random() % bytes.size()] = static_cast<char>(random());
            if (random() % 4 == 0)
                bytes.resize(random() % bytes.size());
            decodeAnswer(bytes);
            auto envelope = decodeEnvelope(bytes);
            if (!envelope)
                continue;
            ++decoded;
            const auto* request = std::get_if<PeerRequest>(&envelope->body);
            if (const auto* gossip = request != nullptr ? std::get_if<Gossip>(request) : nullptr) {
                for (const MemberEntry& entry : gossip->entries)
                    CPPUNIT_ASSERT(isValidName(entry.node.node) && isValidName(entry.dataCentre)
                        && entry.peerAddress.find_first_of("/ \n") == std::string::npos);
            }
            if (const auto* read = request != nullptr ? std::get_if<ForwardRequest>(request) : nullptr)
                CPPUNIT_ASSERT(isValidName(read->shard.dataCentre) && read->shard.index < maxShardsPerDataCentre);
        }
        CPPUNIT_ASSERT(decoded > trials / 10 && decoded < trials);
    }

    // A node sends one gossip request and one gossip answer per second, and its budget is 5 KB/s. Measured: 1773 bytes.
    void fullGossipMessageIsSmall()
    {
        std::size_t size = encodeEnvelope({ { 1, 2 }, false, fullGossip() }).size();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(size), size <= 2000);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerCodecTest);

} // namespace lovagecross::detail
