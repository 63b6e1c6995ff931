#include "lovagecross/records/RecordStoreFixture.h"

#include "lovagecross/adapters/testdata/LandedSamples.h"
#include "lovagecross/records/testdata/RecordSamples.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fstream>
#include <set>

namespace lovagecross {

static auto fieldsOf(const StreamOrigin& value)
{
    const auto& [softwareVersion, revision, service] = value;
    return std::tie(softwareVersion, revision, service);
}

static auto fieldsOf(const RosterMember& value)
{
    const auto& [node, disk, address, dataCentre] = value;
    return std::tie(node, disk, address, dataCentre);
}

static auto fieldsOf(const RosterChange& value)
{
    const auto& [epoch, added, removed] = value;
    return std::tie(epoch, added, removed);
}

static auto fieldsOf(const Roster& value)
{
    const auto& [epoch, members, changes] = value;
    return std::tie(epoch, members, changes);
}

static auto fieldsOf(const FillFilter& value)
{
    const auto& [node, target, alreadyHeld] = value;
    return std::tie(node, target, alreadyHeld);
}

static auto fieldsOf(const ReplicaProgress& value)
{
    const auto& [roster, filledEpochs] = value;
    return std::tie(roster, filledEpochs);
}

static auto fieldsOf(const StoredTurn& value)
{
    const auto& [id, previous, input, output, group, expiresUnixMillis] = value;
    return std::tie(id, previous, input, output, group, expiresUnixMillis);
}

static auto fieldsOf(const Reservation& value)
{
    const auto& [program, requestId, tokens, settled, expiresUnixMillis, origin] = value;
    return std::tie(program, requestId, tokens, settled, expiresUnixMillis, origin);
}

static auto fieldsOf(const StoreTurnRequest& value)
{
    const auto& [epoch, turn] = value;
    return std::tie(epoch, turn);
}

static auto fieldsOf(const ReadChainRequest& value)
{
    const auto& [id] = value;
    return std::tie(id);
}

static auto fieldsOf(const ReserveRequest& value)
{
    const auto& [epoch, reservation, budget, turnBytes, continuesTurn] = value;
    return std::tie(epoch, reservation, budget, turnBytes, continuesTurn);
}

static auto fieldsOf(const SettleRequest& value)
{
    const auto& [reservation] = value;
    return std::tie(reservation);
}

static auto fieldsOf(const AdoptRequest& value)
{
    const auto& [roster] = value;
    return std::tie(roster);
}

static auto fieldsOf(const FillRequest& value)
{
    const auto& [after, filter] = value;
    return std::tie(after, filter);
}

static auto fieldsOf(const ExpiringTurn& value)
{
    const auto& [id, group] = value;
    return std::tie(id, group);
}

static auto fieldsOf(const ExpiredRecords& value)
{
    const auto& [turns, programs] = value;
    return std::tie(turns, programs);
}

static auto fieldsOf(const ConfirmExpiryRequest& value)
{
    const auto& [epoch, expired] = value;
    return std::tie(epoch, expired);
}

static auto fieldsOf(const RecordResponse& value)
{
    const auto& [status, roster, complete, turns, reservations, reachedStart, next, last, session, filledEpoch,
        filledEpochs, disk, turnsConfirmed, programsConfirmed, full]
        = value;
    return std::tie(status, roster, complete, turns, reservations, reachedStart, next, last, session, filledEpoch,
        filledEpochs, disk, turnsConfirmed, programsConfirmed, full);
}

// A log folder of a node of a landed build, and a node of the present build that opens it.
class UpgradedNode {
public:
    explicit UpgradedNode(const LandedSamples& log)
    {
        this->settings.node = sampleNode;
        this->settings.address = "10.0.0.1:7001";
        this->settings.dataCentre = "a";
        this->settings.dataFolder = Poco::TemporaryFile::tempName();
        this->settings.diskBytes = 64 * 1024 * 1024;
        Poco::TemporaryFile::registerForDeletion(this->settings.dataFolder);
        const std::string folder = this->settings.dataFolder + "/records/";
        Poco::File(folder).createDirectories();
        for (const auto& [name, bytes] : log) {
            if (name != "roster")
                std::ofstream(folder + name, std::ios::binary) << bytes;
        }
        this->node
            = std::make_unique<RecordNode>(this->settings, RecordNodeParts { clock, store, peers, this->counters });
        CPPUNIT_ASSERT_EQUAL(std::string(), this->node->load());
    }

    RecordResponse handle(const RecordRequest& request) { return this->node->handle(request); }
    Roster roster() const { return this->node->roster(); }
    bool ready() const { return this->node->ready(); }

    // Returns everything that the node holds.
    RecordResponse allRecords() { return this->handle(FillRequest { 0, { "n7002", {}, {} } }); }

private:
    RecordNodeSettings settings;
    SystemClock clock;
    InMemoryObjectStore store;
    LoopbackNetwork network;
    LoopbackPeers peers { this->network, "10.0.0.1:7001" };
    Counters counters;
    std::unique_ptr<RecordNode> node;
};

// During a replacement of the VMs, nodes of a landed build and of the present one share the records, and a present node
// starts on the disk of one of a landed build.
class RecordCompatibilityTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RecordCompatibilityTest);
    CPPUNIT_TEST(everyKindOfMessageHasASample);
    CPPUNIT_TEST(messagesOfALandedBuildAreRead);
    CPPUNIT_TEST(messagesAreWrittenAsInALandedBuild);
    CPPUNIT_TEST(logOfALandedBuildKeepsItsRecords);
    CPPUNIT_TEST(budgetsOfALandedBuildAreNotExceeded);
    CPPUNIT_TEST(conversationsOfALandedBuildGoOn);
    CPPUNIT_TEST(objectsOfALandedBuildAreRead);
    CPPUNIT_TEST(objectsAreWrittenAsInALandedBuild);
    CPPUNIT_TEST_SUITE_END();

    static constexpr const char* landedCommits[] { "b5580bb", "e175648" };

    static LandedSamples samplesOf(const std::string& kind, const std::string& commit)
    {
        return readLandedSamples(std::string(LOVAGECROSS_SOURCE_DIR) + "/lovagecross/records/testdata/record-" + kind
            + '-' + commit + ".txt");
    }

    static void putObjects(const LandedSamples& objects, InMemoryObjectStore& store)
    {
        for (const auto& [key, value] : objects)
            CPPUNIT_ASSERT(store.create(key, value).ok());
    }

    static Roster parsedRoster(const std::string& json)
    {
        return handle([&] { return parseRoster(json); },
            [](const Error& error) -> Roster {
                CPPUNIT_FAIL(error.field + ": " + error.message);
                return {};
            });
    }

    // Nodes and objects have their records in an order of their own.
    template <typename Record> static std::set<std::string> textsOf(const std::vector<Record>& records)
    {
        std::set<std::string> texts;
        for (const Record& record : records)
            texts.insert(fieldText(record));
        return texts;
    }

    // Guards against a new kind of message or log entry without a sample: a change of its format would go unnoticed.
    void everyKindOfMessageHasASample()
    {
        std::set<std::size_t> requests;
        std::set<std::size_t> entries;
        for (const auto& [name, request] : sampleRecordRequests())
            requests.insert(request.index());
        for (const auto& [name, entry] : sampleLoggedEntries())
            entries.insert(entry.index());
        CPPUNIT_ASSERT_EQUAL(std::variant_size_v<RecordRequest>, requests.size());
        CPPUNIT_ASSERT_EQUAL(std::variant_size_v<LoggedEntry>, entries.size());
        std::size_t count
            = sampleRecordRequests().size() + sampleRecordResponses().size() + sampleLoggedEntries().size();
        for (const char* commit : landedCommits)
            CPPUNIT_ASSERT_EQUAL(count, samplesOf("messages", commit).size());
    }

    // Guards against a node that rejects or misreads a record message or log entry of a landed build.
    void messagesOfALandedBuildAreRead()
    {
        for (const char* commit : landedCommits) {
            LandedSamples samples = samplesOf("messages", commit);
            for (const auto& [name, request] : sampleRecordRequests())
                CPPUNIT_ASSERT_EQUAL_MESSAGE(commit + (' ' + name), fieldText(std::optional(request)),
                    fieldText(decodeRecordRequest(samples.at(name))));
            for (const auto& [name, response] : sampleRecordResponses())
                CPPUNIT_ASSERT_EQUAL_MESSAGE(commit + (' ' + name), fieldText(std::optional(response)),
                    fieldText(decodeRecordResponse(samples.at(name))));
            for (const auto& [name, entry] : sampleLoggedEntries())
                CPPUNIT_ASSERT_EQUAL_MESSAGE(commit + (' ' + name), fieldText(std::optional(entry)),
                    fieldText(decodeLoggedEntry(samples.at(name))));
        }
    }

    // Guards against a changed format that a node of a landed build rejects or misreads, also after a return to it.
    void messagesAreWrittenAsInALandedBuild()
    {
        for (const char* commit : landedCommits) {
            LandedSamples samples = samplesOf("messages", commit);
            for (const auto& [name, request] : sampleRecordRequests())
                CPPUNIT_ASSERT_MESSAGE(commit + (' ' + name), samples.at(name) == encodeRecordRequest(request));
            for (const auto& [name, response] : sampleRecordResponses())
                CPPUNIT_ASSERT_MESSAGE(commit + (' ' + name), samples.at(name) == encodeRecordResponse(response));
            for (const auto& [name, entry] : sampleLoggedEntries())
                CPPUNIT_ASSERT_MESSAGE(commit + (' ' + name), samples.at(name) == encodeLoggedEntry(entry));
        }
    }

    // Guards against an upgrade that loses turns, reservations, the roster or the completed fills on a node's disk. The
    // samples have two segments, since the node had been restarted.
    void logOfALandedBuildKeepsItsRecords()
    {
        for (const char* commit : landedCommits) {
            LandedSamples log = samplesOf("log", commit);
            UpgradedNode node(log);
            CPPUNIT_ASSERT_MESSAGE(commit, node.ready());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(commit, fieldText(parsedRoster(log.at("roster"))), fieldText(node.roster()));
            RecordResponse held = node.allRecords();
            CPPUNIT_ASSERT_MESSAGE(commit, held.last);
            CPPUNIT_ASSERT_MESSAGE(commit, node.roster().hasDisk(sampleNode, held.disk));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(commit, sampleTurns().size(), held.turns.size());
            CPPUNIT_ASSERT_MESSAGE(commit, textsOf(sampleTurns()) == textsOf(held.turns));
            // A reservation is listed again for each of its changes, each time as it is now.
            CPPUNIT_ASSERT_MESSAGE(commit, textsOf(sampleReservations()) == textsOf(held.reservations));
        }
    }

    // Guards against tokens that are granted twice, once by each build.
    void budgetsOfALandedBuildAreNotExceeded()
    {
        constexpr std::uint64_t left = 530;
        for (const char* commit : landedCommits) {
            UpgradedNode node(samplesOf("log", commit));
            std::uint64_t epoch = node.roster().epoch;
            Reservation tooMuch { "p1", "t9", left + 1, false, sampleExpiryUnixMillis };
            CPPUNIT_ASSERT(
                node.handle(ReserveRequest { epoch, tooMuch, sampleBudget }).status == RecordStatus::Exhausted);
            Reservation rest { "p1", "t9", left, false, sampleExpiryUnixMillis };
            CPPUNIT_ASSERT(node.handle(ReserveRequest { epoch, rest, sampleBudget }).status == RecordStatus::Ok);
        }
    }

    // Guards against a conversation that can't be continued after the upgrade.
    void conversationsOfALandedBuildGoOn()
    {
        for (const char* commit : landedCommits) {
            UpgradedNode node(samplesOf("log", commit));
            RecordResponse chain = node.handle(ReadChainRequest { "t2" });
            CPPUNIT_ASSERT(chain.status == RecordStatus::Ok && chain.reachedStart);
            std::vector<StoredTurn> newestFirst { sampleTurns()[1], sampleTurns()[0] };
            CPPUNIT_ASSERT_EQUAL(fieldText(newestFirst), fieldText(chain.turns));
        }
    }

    // Guards against turns, token budgets and rosters at the platform that the present build can't read.
    void objectsOfALandedBuildAreRead()
    {
        for (const char* commit : landedCommits) {
            InMemoryObjectStore store;
            putObjects(samplesOf("objects", commit), store);
            Counters counters;
            PlatformRecords platform(store, counters);
            for (const StoredTurn& expected : sampleTurns()) {
                StoredTurn turn;
                CPPUNIT_ASSERT(platform.readTurn(expected.id, turn) == TurnRead::Found);
                CPPUNIT_ASSERT_EQUAL(fieldText(expected), fieldText(turn));
            }
            auto reservations = platform.reservations();
            CPPUNIT_ASSERT(reservations && textsOf(sampleReservations()) == textsOf(*reservations));
            CPPUNIT_ASSERT_EQUAL(fieldText(sampleRoster()), fieldText(parsedRoster(store.get(rosterKey).object.value)));
        }
    }

    // Guards against objects that a node of a landed build can't read. It rejects a roster with an unknown key.
    void objectsAreWrittenAsInALandedBuild()
    {
        InMemoryObjectStore store;
        Counters counters;
        PlatformRecords platform(store, counters);
        for (const StoredTurn& turn : sampleTurns())
            CPPUNIT_ASSERT(platform.keepTurn(turn));
        for (const Reservation& reservation : sampleReservations())
            CPPUNIT_ASSERT(platform.reserve(reservation, {}, sampleBudget) == PlatformVote::Accepted);
        CPPUNIT_ASSERT(store.create(rosterKey, printRoster(sampleRoster())).ok());
        LandedSamples written;
        for (const StoredObject& object : store.list("", true).objects)
            written[object.key] = object.value;
        for (const char* commit : landedCommits)
            CPPUNIT_ASSERT_MESSAGE(commit, samplesOf("objects", commit) == written);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordCompatibilityTest);

} // namespace lovagecross
