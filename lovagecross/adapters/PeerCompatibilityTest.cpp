#include "lovagecross/adapters/PeerCodec.h"

#include "lovagecross/adapters/testdata/LandedSamples.h"
#include "lovagecross/adapters/testdata/PeerSamples.h"

#include <cppunit/extensions/HelperMacros.h>
#include <set>

namespace lovagecross {

static auto fieldsOf(const ShardId& value)
{
    const auto& [dataCentre, index] = value;
    return std::tie(dataCentre, index);
}

static auto fieldsOf(const NodeIncarnation& value)
{
    const auto& [node, incarnation] = value;
    return std::tie(node, incarnation);
}

static auto fieldsOf(const PromiseRequest& value)
{
    const auto& [shard, epoch, holder, standby] = value;
    return std::tie(shard, epoch, holder, standby);
}

static auto fieldsOf(const PromiseAnswer& value)
{
    const auto& [promised, epoch, from, duration] = value;
    return std::tie(promised, epoch, from, duration);
}

static auto fieldsOf(const BridgeBatch& value)
{
    const auto& [shard, epoch, generation, sequence, bytes] = value;
    return std::tie(shard, epoch, generation, sequence, bytes);
}

static auto fieldsOf(const BridgeAnswer& value)
{
    const auto& [stored, from] = value;
    return std::tie(stored, from);
}

static auto fieldsOf(const BridgeTrim& value)
{
    const auto& [shard, generation, sequence] = value;
    return std::tie(shard, generation, sequence);
}

static auto fieldsOf(const BridgeFetch& value)
{
    const auto& [shard] = value;
    return std::tie(shard);
}

static auto fieldsOf(const BridgeCopies& value)
{
    const auto& [from, batches] = value;
    return std::tie(from, batches);
}

static auto fieldsOf(const HeldShard& value)
{
    const auto& [index, epoch] = value;
    return std::tie(index, epoch);
}

static auto fieldsOf(const MemberEntry& value)
{
    const auto& [node, dataCentre, heartbeat, peerAddress, callerAddress, adminAddress, configVersion, draining, shards]
        = value;
    return std::tie(
        node, dataCentre, heartbeat, peerAddress, callerAddress, adminAddress, configVersion, draining, shards);
}

static auto fieldsOf(const Gossip& value)
{
    const auto& [entries] = value;
    return std::tie(entries);
}

static auto fieldsOf(const ConfigDocument& value)
{
    const auto& [version, json] = value;
    return std::tie(version, json);
}

static auto fieldsOf(const ForwardRequest& value)
{
    const auto& [kind, shard, program, requestId, tenant, path, bodyJson, hops] = value;
    return std::tie(kind, shard, program, requestId, tenant, path, bodyJson, hops);
}

static auto fieldsOf(const ForwardEnd& value)
{
    const auto& [httpStatus, bodyJson] = value;
    return std::tie(httpStatus, bodyJson);
}

static auto fieldsOf(const RecordCall& value)
{
    const auto& [content] = value;
    return std::tie(content);
}

static auto fieldsOf(const RecordReply& value)
{
    const auto& [content] = value;
    return std::tie(content);
}

static auto fieldsOf(const RateLimitNotice& value)
{
    const auto& [server, startedUnixMillis, perSecond, age] = value;
    return std::tie(server, startedUnixMillis, perSecond, age);
}

static auto fieldsOf(const PermitRequest& value)
{
    const auto& [known] = value;
    return std::tie(known);
}

static auto fieldsOf(const PermitAnswer& value)
{
    const auto& [issuer, granted, retryAfter, newest] = value;
    return std::tie(issuer, granted, retryAfter, newest);
}

static auto fieldsOf(const QuotaRequest& value)
{
    const auto& [tenant, perSecond, burst, configurationVersion, rosterEpoch, needed, begun, extra] = value;
    return std::tie(tenant, perSecond, burst, configurationVersion, rosterEpoch, needed, begun, extra);
}

static auto fieldsOf(const QuotaAnswer& value)
{
    const auto& [issuer, granted, level, retryAfter, configurationVersion, rosterEpoch, confirmed, rosterAge,
        configurationAge]
        = value;
    return std::tie(
        issuer, granted, level, retryAfter, configurationVersion, rosterEpoch, confirmed, rosterAge, configurationAge);
}

static auto fieldsOf(const LimitReport& value)
{
    const auto& [limits, relayed] = value;
    return std::tie(limits, relayed);
}

static auto fieldsOf(const LeavingServer& value)
{
    const auto& [server, startedUnixMillis] = value;
    return std::tie(server, startedUnixMillis);
}

static auto fieldsOf(const LeavingReport& value)
{
    const auto& [servers] = value;
    return std::tie(servers);
}

static auto fieldsOf(const CrashNotice& value)
{
    const auto& [server, startedUnixMillis, softwareVersion, seenBy, calls, age] = value;
    return std::tie(server, startedUnixMillis, softwareVersion, seenBy, calls, age);
}

static auto fieldsOf(const CrashReport& value)
{
    const auto& [notices, relayed] = value;
    return std::tie(notices, relayed);
}

static auto fieldsOf(const CrashCursor& value)
{
    const auto& [log, position] = value;
    return std::tie(log, position);
}

static auto fieldsOf(const TenantBegun& value)
{
    const auto& [tenant, programs] = value;
    return std::tie(tenant, programs);
}

static auto fieldsOf(const ProgramLoad& value)
{
    const auto& [node, calls, begun] = value;
    return std::tie(node, calls, begun);
}

static auto fieldsOf(const FleetShare& value)
{
    const auto& [nodes, calls, excessTenants] = value;
    return std::tie(nodes, calls, excessTenants);
}

static auto fieldsOf(const SentCalls& value)
{
    const auto& [dataCentre, running, reserved] = value;
    return std::tie(dataCentre, running, reserved);
}

static auto fieldsOf(const ServiceLoad& value)
{
    const auto& [service, running, waiting, refusals, callMillis, sent] = value;
    return std::tie(service, running, waiting, refusals, callMillis, sent);
}

static auto fieldsOf(const NodeLoad& value)
{
    const auto& [node, dataCentre, services] = value;
    return std::tie(node, dataCentre, services);
}

static auto fieldsOf(const LoadSummary& value)
{
    const auto& [dataCentre, load, nodes, age] = value;
    return std::tie(dataCentre, load, nodes, age);
}

static auto fieldsOf(const LoadReport& value)
{
    const auto& [from, summaries] = value;
    return std::tie(from, summaries);
}

static auto fieldsOf(const DirectoryFetch& value)
{
    const auto& [configurationVersion, serversDigest, relayAddress, relayDataCentre, relays, crashes, programLoad, load]
        = value;
    return std::tie(
        configurationVersion, serversDigest, relayAddress, relayDataCentre, relays, crashes, programLoad, load);
}

static auto fieldsOf(const RelayNode& value)
{
    const auto& [address, dataCentre] = value;
    return std::tie(address, dataCentre);
}

static auto fieldsOf(const RelayFetch& value)
{
    const auto& [ownAddress] = value;
    return std::tie(ownAddress);
}

static auto fieldsOf(const RelayList& value)
{
    const auto& [nodes] = value;
    return std::tie(nodes);
}

static auto fieldsOf(const DirectoryServer& value)
{
    const auto& [id, service, address, dataCentre, slots, draining, coldMillis, startedUnixMillis, softwareVersion,
        lapsesInMillis]
        = value;
    return std::tie(id, service, address, dataCentre, slots, draining, coldMillis, startedUnixMillis, softwareVersion,
        lapsesInMillis);
}

static auto fieldsOf(const DirectoryUpdate& value)
{
    const auto& [registryKnown, registryAgeMillis, registryRevision, hasServers, servers, configurationAgeMillis,
        configurationVersion, configurationDocument, limits, crashesUpTo, crashes, fleet, loads, loadRank]
        = value;
    return std::tie(registryKnown, registryAgeMillis, registryRevision, hasServers, servers, configurationAgeMillis,
        configurationVersion, configurationDocument, limits, crashesUpTo, crashes, fleet, loads, loadRank);
}

namespace detail {

static auto fieldsOf(const ForwardChunk& value)
{
    const auto& [position, text] = value;
    return std::tie(position, text);
}

static auto fieldsOf(const AnswerPart& value)
{
    const auto& [position, last, content] = value;
    return std::tie(position, last, content);
}

static auto fieldsOf(const Refusal& value)
{
    const auto& [nothingDone, reason] = value;
    return std::tie(nothingDone, reason);
}

static auto fieldsOf(const RequestId& value)
{
    const auto& [session, number] = value;
    return std::tie(session, number);
}

static auto fieldsOf(const PeerEnvelope& value)
{
    const auto& [id, notification, body] = value;
    return std::tie(id, notification, body);
}

} // namespace detail

// During a replacement of the VMs, nodes of a landed build and of the present one exchange messages in both directions.
class PeerCompatibilityTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PeerCompatibilityTest);
    CPPUNIT_TEST(everyKindOfMessageHasASample);
    CPPUNIT_TEST(requestsOfALandedBuildAreRead);
    CPPUNIT_TEST(answersOfALandedBuildAreRead);
    CPPUNIT_TEST(requestsAreWrittenAsInALandedBuild);
    CPPUNIT_TEST(answersAreWrittenAsInALandedBuild);
    CPPUNIT_TEST_SUITE_END();

    struct LandedBuild {
        std::string commit;
        std::map<std::string, detail::PeerBody> bodies;
        std::map<std::string, PeerAnswer> answers;
        LandedSamples samples;
    };

    // The builds before nodes told each other of servers that ended, of their loads and of quotas: these fields and
    // messages did not exist.
    static LandedBuild buildBeforeCrashReports(const std::string& commit)
    {
        LandedBuild build { commit, samplePeerBodies(), samplePeerAnswers(), {} };
        build.bodies.erase("crash-report");
        build.bodies.erase("quota-request");
        build.bodies.erase("load-report");
        build.answers.erase("quota-answer");
        DirectoryFetch fetch = sampleDirectoryFetch();
        fetch.crashes = {};
        fetch.programLoad = std::nullopt;
        fetch.load = {};
        build.bodies["directory-fetch"] = fetch;
        DirectoryUpdate update = sampleDirectoryUpdate();
        update.crashesUpTo = {};
        update.crashes.clear();
        update.fleet = {};
        update.loads.clear();
        update.loadRank = 0;
        build.answers["directory-update"] = update;
        return build;
    }

    // The commit before the relay between entry nodes: several fields and three messages did not exist.
    static LandedBuild buildBeforeRelay()
    {
        LandedBuild build = buildBeforeCrashReports("b5580bb");
        for (const char* added : { "leaving-report", "relay-fetch" })
            build.bodies.erase(added);
        for (const char* added : { "relay-list", "relay-list-empty" })
            build.answers.erase(added);
        DirectoryFetch fetch;
        fetch.configurationVersion = sampleDirectoryFetch().configurationVersion;
        fetch.serversDigest = sampleDirectoryFetch().serversDigest;
        build.bodies["directory-fetch"] = fetch;
        auto update = std::get<DirectoryUpdate>(build.answers.at("directory-update"));
        update.configurationAgeMillis = std::nullopt;
        update.configurationVersion = 0;
        update.servers.front().lapsesInMillis = std::nullopt;
        build.answers["directory-update"] = update;
        return build;
    }

    static std::vector<LandedBuild> landedBuilds()
    {
        std::vector<LandedBuild> builds { buildBeforeRelay(), buildBeforeCrashReports("e175648") };
        const std::string folder = std::string(LOVAGECROSS_SOURCE_DIR) + "/lovagecross/adapters/testdata/";
        for (LandedBuild& build : builds)
            build.samples = readLandedSamples(folder + "peer-messages-" + build.commit + ".txt");
        return builds;
    }

    static detail::PeerEnvelope envelopeOf(const detail::PeerBody& body)
    {
        return { sampleRequestId, std::holds_alternative<detail::Heartbeat>(body), body };
    }

    // Guards against a new kind of message without a sample: a change of its format would go unnoticed.
    void everyKindOfMessageHasASample()
    {
        std::set<std::size_t> requests;
        std::set<std::size_t> controls;
        std::set<std::size_t> answers;
        for (const auto& [name, body] : samplePeerBodies()) {
            if (const auto* request = std::get_if<PeerRequest>(&body))
                requests.insert(request->index());
            controls.insert(body.index());
        }
        for (const auto& [name, answer] : samplePeerAnswers())
            answers.insert(answer.index());
        CPPUNIT_ASSERT_EQUAL(std::variant_size_v<PeerRequest>, requests.size());
        CPPUNIT_ASSERT_EQUAL(std::variant_size_v<detail::PeerBody>, controls.size());
        CPPUNIT_ASSERT_EQUAL(std::variant_size_v<PeerAnswer>, answers.size());
        for (const LandedBuild& build : landedBuilds())
            CPPUNIT_ASSERT_EQUAL(build.bodies.size() + build.answers.size(), build.samples.size());
    }

    // Guards against a node that rejects or misreads what a node of a landed build asks.
    void requestsOfALandedBuildAreRead()
    {
        for (const LandedBuild& build : landedBuilds()) {
            for (const auto& [name, body] : build.bodies) {
                auto decoded = detail::decodeEnvelope(build.samples.at(name));
                CPPUNIT_ASSERT_MESSAGE(build.commit + ' ' + name, decoded);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(
                    build.commit + ' ' + name, fieldText(envelopeOf(body)), fieldText(*decoded));
            }
        }
    }

    // Guards against a node that rejects or misreads what a node of a landed build answers.
    void answersOfALandedBuildAreRead()
    {
        for (const LandedBuild& build : landedBuilds()) {
            for (const auto& [name, answer] : build.answers) {
                auto decoded = detail::decodeAnswer(build.samples.at(name));
                CPPUNIT_ASSERT_MESSAGE(build.commit + ' ' + name, decoded);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(build.commit + ' ' + name, fieldText(answer), fieldText(*decoded));
            }
        }
    }

    // Guards against a changed format that a node of a landed build rejects or misreads. With the fields that the build
    // did not know at their defaults, the bytes are the same.
    void requestsAreWrittenAsInALandedBuild()
    {
        for (const LandedBuild& build : landedBuilds()) {
            for (const auto& [name, body] : build.bodies)
                CPPUNIT_ASSERT_MESSAGE(
                    build.commit + ' ' + name, build.samples.at(name) == detail::encodeEnvelope(envelopeOf(body)));
        }
    }

    // As for requests.
    void answersAreWrittenAsInALandedBuild()
    {
        for (const LandedBuild& build : landedBuilds()) {
            for (const auto& [name, answer] : build.answers)
                CPPUNIT_ASSERT_MESSAGE(
                    build.commit + ' ' + name, build.samples.at(name) == detail::encodeAnswer(answer));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerCompatibilityTest);

} // namespace lovagecross
