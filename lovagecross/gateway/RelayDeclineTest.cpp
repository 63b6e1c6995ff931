// What an entry node does when another one does not take its calls.

#include "lovagecross/gateway/RelayFixture.h"

#include <atomic>

namespace lovagecross {

class RelayDeclineTest : public RelayFixture {
    CPPUNIT_TEST_SUITE(RelayDeclineTest);
    CPPUNIT_TEST(onlyNodeIsTriedAlthoughItDeclinedBefore);
    CPPUNIT_TEST(refusalNamesWhyNoNodeTakesTheCall);
    CPPUNIT_TEST(declineNamesItsReasonBesideTheFormerField);
    CPPUNIT_TEST(declineOfAnEarlierBuildIsUnderstood);
    CPPUNIT_TEST_SUITE_END();

    void addAnsweringServer()
    {
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            return connection.write(signedResponse(request, "done"));
        });
    }

    // A node that answers each call with the only field that earlier builds have for a decline.
    static Script declinesAsBefore()
    {
        return [](const ScriptedRequest& request, ScriptedConnection& connection) {
            connection.write("HTTP/1.1 503 Full\r\nId: " + request.header("Id")
                + "\r\nRetry-After: 0.200\r\nLovagecross-Relay-Declined: 1\r\nConnection: close\r\n"
                  "Content-Length: 0\r\n\r\n");
            return false;
        };
    }

    // Guards against a refusal without any attempt, although the only node could take the call by now.
    void onlyNodeIsTriedAlthoughItDeclinedBefore()
    {
        this->addAnsweringServer();
        std::atomic<bool> reaches { false };
        this->soundRelay->reachesRecords = [&reaches] { return reaches.load(); };
        std::string refused = this->sendToStranded(post("/unsafe/", "r1", "x"));
        CPPUNIT_ASSERT_MESSAGE(refused, contains(refused, "HTTP/1.1 503"));
        reaches = true;
        std::string response = this->sendToStranded(post("/unsafe/", "r2", "x"));
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "done"));
    }

    // Guards against a refusal that doesn't tell whether the other nodes are full, lack a path, stop or are lost.
    void refusalNamesWhyNoNodeTakesTheCall()
    {
        this->soundRelay->maxCalls = 0;
        std::string refused = this->sendToStranded(post("/unsafe/", "r1", "x"));
        CPPUNIT_ASSERT_MESSAGE(refused, contains(refused, "no server can be reached; other entry nodes: busy ("));
        this->soundRelay->reachesRecords = [] { return false; };
        refused = this->sendToStranded(post("/unsafe/", "r2", "x"));
        CPPUNIT_ASSERT_MESSAGE(refused, contains(refused, "other entry nodes: declined ("));
        this->parts->draining = true;
        refused = this->sendToStranded(post("/unsafe/", "r3", "x"));
        CPPUNIT_ASSERT_MESSAGE(refused, contains(refused, "other entry nodes: gone ("));
        this->strandedNodes.replace({ { testing::freeAddress(), "b" } });
        refused = this->sendToStranded(post("/unsafe/", "r4", "x"));
        CPPUNIT_ASSERT_MESSAGE(refused, contains(refused, "other entry nodes: failed ("));
        std::this_thread::sleep_for(milliseconds(100));
        refused = this->sendToStranded(post("/unsafe/", "r5", "x")); // at once, by what is known
        const std::string failed = "other entry nodes: failed (";
        CPPUNIT_ASSERT_MESSAGE(refused, contains(refused, failed));
        CPPUNIT_ASSERT_MESSAGE(refused, std::stoi(refused.substr(refused.find(failed) + failed.size())) >= 100);
    }

    // Guards against a decline that an earlier build takes for the caller's response, and one without its reason.
    void declineNamesItsReasonBesideTheFormerField()
    {
        auto declined = [this] {
            CallerSocket node(this->relayAddress);
            node.write(post("/unsafe/", "r", "x", "Lovagecross-Relayed-For: other\r\nTime: 1000\r\n"));
            std::string response = node.readResponse();
            CPPUNIT_ASSERT_MESSAGE(response, contains(response, "Lovagecross-Relay-Declined: 1\r\n"));
            CPPUNIT_ASSERT_MESSAGE(response, contains(response, "Retry-After: 0.2"));
            return response;
        };
        const std::string field = "Lovagecross-Relay-Decline-Reason: ";
        this->soundRelay->maxCalls = 0;
        CPPUNIT_ASSERT(contains(declined(), field + "busy\r\n"));
        this->soundRelay->reachesRecords = [] { return false; };
        CPPUNIT_ASSERT(contains(declined(), field + "no_path\r\n"));
        this->parts->draining = true;
        CPPUNIT_ASSERT(contains(declined(), field + "stopping\r\n"));
    }

    // Guards against a decline of an earlier build, which has no reason, that is passed on to the caller.
    void declineOfAnEarlierBuildIsUnderstood()
    {
        this->addAnsweringServer();
        ScriptedServer earlier(declinesAsBefore());
        this->strandedNodes.replace({ { earlier.address(), "b" } });
        std::string refused = this->sendToStranded(post("/unsafe/", "r0", "x"));
        CPPUNIT_ASSERT_MESSAGE(refused, contains(refused, "HTTP/1.1 503") && !contains(refused, "Lovagecross-"));
        CPPUNIT_ASSERT_MESSAGE(refused, contains(refused, "no server can be reached"));
        this->strandedNodes.replace({ { earlier.address(), "b" }, { this->relayAddress, "b" } });
        for (int i = 1; i <= 5; ++i) {
            std::string response = this->sendToStranded(post("/unsafe/", "r" + std::to_string(i), "x"));
            CPPUNIT_ASSERT_MESSAGE(response, contains(response, "done"));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayDeclineTest);

} // namespace lovagecross
