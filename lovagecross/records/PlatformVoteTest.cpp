// The platform's vote beside a cut between data centres that both reach the platform.

#include "lovagecross/records/RecordStoreFixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>

namespace lovagecross {

class PlatformVoteTest : public RecordStoreFixture {
    CPPUNIT_TEST_SUITE(PlatformVoteTest);
    CPPUNIT_TEST(budgetHoldsOnBothSidesOfACut);
    CPPUNIT_TEST(originIsRecordedOnOneSideOfACut);
    CPPUNIT_TEST_SUITE_END();

    static constexpr const char* cutOffClientAddress = "10.0.0.1:9001";

    std::unique_ptr<LoopbackPeers> cutOffPeers;
    std::unique_ptr<RecordClient> cutOffClient;

    static GrantStatus reserve(RecordClient& client, const GrantRequest& request, const Clock& clock)
    {
        return client.reserve(request, clock.now() + std::chrono::seconds(3)).status;
    }

    GrantStatus reserve(RecordClient& client, const std::string& request)
    {
        return reserve(client, { "program", request, 100, 1000, std::chrono::seconds(60) }, *this->clock);
    }

    GrantStatus recordOrigin(RecordClient& client, const StreamOrigin& origin)
    {
        return reserve(client, { "program", "stream", 0, 1000, std::chrono::seconds(60), origin, {} }, *this->clock);
    }

    // Requests grants until one is not given. Returns the number of grants.
    int spend(RecordClient& client, const std::string& prefix)
    {
        int granted = 0;
        while (granted < 30 && this->reserve(client, prefix + std::to_string(granted)) == GrantStatus::Granted)
            ++granted;
        return granted;
    }

    // Leaves two members, of data centres a and b, and cuts off b with a client of its own.
    void cutOffOneOfTwoMembers()
    {
        this->nodes[2]->node->retire();
        CPPUNIT_ASSERT(waitFor([this] { return this->nodes[2]->node->retired(); }));
        this->nodes[2]->wipe();
        CPPUNIT_ASSERT(waitFor([this] { return this->allAgreeOnRoster(2); }));
        this->client->stop();
        this->client = this->newClient(); // with the new roster
        this->cutOffPeers = std::make_unique<LoopbackPeers>(this->network, cutOffClientAddress);
        this->cutOffClient = this->newClient("b", *this->cutOffPeers);
        this->network.setCutOff({ this->nodes[1]->settings.address, cutOffClientAddress });
    }

    // Adds a member, which takes the place of the one that is cut off.
    void replaceCutOffMember()
    {
        this->nodes[2]->start(false);
        CPPUNIT_ASSERT(waitFor([this] {
            return this->nodes[0]->node->ready() && this->nodes[2]->node->ready()
                && this->nodes[0]->node->roster().epoch == this->nodes[2]->node->roster().epoch
                && this->nodes[2]->node->roster().find("n7002") == nullptr;
        }));
    }

    // Regression test (review/8): while the members of the new roster spent the budget, the member that was cut off and
    // the platform's vote granted it once more under the old roster.
    void budgetHoldsOnBothSidesOfACut()
    {
        this->cutOffOneOfTwoMembers();
        // The platform's vote counts on either side until the roster changes.
        CPPUNIT_ASSERT(this->reserve(*this->client, "near") == GrantStatus::Granted);
        CPPUNIT_ASSERT(this->reserve(*this->cutOffClient, "cut off") == GrantStatus::Granted);
        this->replaceCutOffMember();
        CPPUNIT_ASSERT_EQUAL(8, this->spend(*this->client, "r"));
        CPPUNIT_ASSERT(this->reserve(*this->client, "one more") == GrantStatus::Exhausted);
        CPPUNIT_ASSERT_EQUAL(0, this->spend(*this->cutOffClient, "c"));
    }

    // Guards against two versions for one stream: an origin that is recorded under the old roster, after the members of
    // the new one have read the platform's objects, is unknown to them.
    void originIsRecordedOnOneSideOfACut()
    {
        this->cutOffOneOfTwoMembers();
        this->replaceCutOffMember();
        CPPUNIT_ASSERT(this->recordOrigin(*this->cutOffClient, { "v1", 1 }) == GrantStatus::Unavailable);
        CPPUNIT_ASSERT(this->recordOrigin(*this->client, { "v2", 1 }) == GrantStatus::Granted);
    }

public:
    void tearDown() override
    {
        this->cutOffClient.reset();
        RecordStoreFixture::tearDown();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformVoteTest);

} // namespace lovagecross
