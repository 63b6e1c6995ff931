#include "lovagecross/adapters/PeerCodec.h"

#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <limits>
#include <random>

namespace lovagecross::detail {

class PeerCodecTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PeerCodecTest);
    CPPUNIT_TEST(damagedMessagesDecodeToWellFormedOnesOrNothing);
    CPPUNIT_TEST(quotaMessagesThatMakeNoSenseAreRejected);
    CPPUNIT_TEST(fullGossipMessageIsSmall);
    CPPUNIT_TEST(permitMessagesSurviveEncoding);
    CPPUNIT_TEST(rateLimitsThatMakeNoSenseAreRejected);
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

    // A limit that another node reads with another rate, age or end is not kept by all nodes together.
    void permitMessagesSurviveEncoding()
    {
        RateLimitNotice limited { "i-7f", 17, 7.25, std::chrono::milliseconds(30) };
        RateLimitNotice ended { "i-80", 18, std::nullopt, std::chrono::seconds(2) };
        auto report = decodeEnvelope(encodeEnvelope({ { 1, 2 }, true, LimitReport { { limited, ended }, true } }));
        CPPUNIT_ASSERT(report);
        const auto& read = std::get<LimitReport>(std::get<PeerRequest>(report->body));
        CPPUNIT_ASSERT(read.relayed && read.limits.size() == 2 && read.limits[0].perSecond == 7.25);
        CPPUNIT_ASSERT(read.limits[0].server == "i-7f" && read.limits[0].startedUnixMillis == 17);
        CPPUNIT_ASSERT(!read.limits[1].perSecond && read.limits[1].age == std::chrono::seconds(2));
        auto answer = decodeAnswer(encodeAnswer(PermitAnswer { true, false, std::chrono::milliseconds(70), limited }));
        CPPUNIT_ASSERT(answer);
        const auto& permit = std::get<PermitAnswer>(*answer);
        CPPUNIT_ASSERT(permit.issuer && !permit.granted && permit.retryAfter == std::chrono::milliseconds(70));
        CPPUNIT_ASSERT(permit.newest.perSecond == 7.25);
    }

    // A negative rate or an endless time would disable the arithmetic that keeps the limit.
    void rateLimitsThatMakeNoSenseAreRejected()
    {
        for (const RateLimitNotice& notice : { RateLimitNotice { "i", 0, -1.0, Duration(0) },
                 RateLimitNotice { "i", 0, std::numeric_limits<double>::infinity(), Duration(0) },
                 RateLimitNotice { "i", 0, 1.0, Duration(-1) }, RateLimitNotice { "i", 0, 1.0, Duration::max() } })
            CPPUNIT_ASSERT(!decodeEnvelope(encodeEnvelope({ { 1, 2 }, false, PermitRequest { notice } })));
    }

    // Guards against a message that makes a node grant or hold tokens without limit.
    void quotaMessagesThatMakeNoSenseAreRejected()
    {
        const double infinity = std::numeric_limits<double>::infinity();
        for (const QuotaRequest& request : { QuotaRequest { "t", -1.0, 0, 1, 1, 1, 0, 0 },
                 QuotaRequest { "t", 1, infinity, 1, 1, 1, 0, 0 }, QuotaRequest { "t", 1, 1, 1, 1, 1'000'000, 0, 0 },
                 QuotaRequest { "t", 1, 1, 1, 1, 1, 2, 0 }, QuotaRequest { "t", 1, 1, 1, 1, 1, 0, 1'000'000 },
                 QuotaRequest { std::string(2000, 't'), 1, 1, 1, 1, 1, 0, 0 } })
            CPPUNIT_ASSERT(!decodeEnvelope(encodeEnvelope({ { 1, 2 }, false, request })));
        for (const QuotaAnswer& answer : { QuotaAnswer { true, 1'000'000, 0, Duration(0), 1, 1 },
                 QuotaAnswer { true, 1, std::nan(""), Duration(0), 1, 1 },
                 QuotaAnswer { true, 1, 0, Duration(-1), 1, 1 },
                 QuotaAnswer { true, 1, 0, Duration(0), 1, 1, true, Duration(-1), Duration(0) },
                 QuotaAnswer { true, 1, 0, Duration::max(), 1, 1 } })
            CPPUNIT_ASSERT(!decodeAnswer(encodeAnswer(answer)));
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
