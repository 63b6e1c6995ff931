// A server that writes an earlier refusal once more on a connection that is in use again.

#include "lovagecross/gateway/GatewayFixture.h"

#include <atomic>
#include <map>
#include <mutex>

namespace lovagecross {

namespace {

std::string refusal(const std::string& requestId)
{
    return "HTTP/1.1 503 Service Unavailable\r\nId: " + requestId
        + "\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\nfull";
}

} // namespace

class RepeatedRefusalTest : public GatewayFixture {
    CPPUNIT_TEST_SUITE(RepeatedRefusalTest);
    CPPUNIT_TEST(refusalOfAnotherRequestIsSkipped);
    CPPUNIT_TEST(refusalOfAnEarlierAttemptWithTheSameIdIsNoAnswer);
    CPPUNIT_TEST(refusalWithoutAnIdIsNoPromiseOnAReusedConnection);
    CPPUNIT_TEST_SUITE_END();

    std::mutex mutex;
    std::map<int, std::string> refusedOn; // id of the refused request by connection
    std::atomic<int> runs { 0 };

    // Refuses the first request of each server, and writes the refusal once more before its answer to the next request
    // on the same connection.
    Script repeatRefusal(bool withId)
    {
        return [this, withId](const ScriptedRequest& request, ScriptedConnection& connection) {
            std::string earlier;
            {
                std::lock_guard lock(this->mutex);
                if (this->refusedOn.empty()) {
                    this->refusedOn[request.connection] = request.header("Id");
                    return connection.write(refusal(request.header("Id")));
                }
                auto found = this->refusedOn.find(request.connection);
                if (found != this->refusedOn.end())
                    earlier = found->second;
            }
            ++this->runs;
            if (!earlier.empty()) {
                std::string copy = refusal(earlier);
                if (!withId)
                    copy.replace(copy.find("Id: "), 4 + earlier.size() + 2, "");
                connection.write(copy);
            }
            return connection.write(signedResponse(request, "done"));
        };
    }

    // Sends requests that may run once until the server has run one, and returns the response to that one. A server
    // that has refused a request gets none for a short time.
    std::string sendUntilRun(const std::string& id)
    {
        std::string response;
        for (int i = 0; i < 50 && this->runs == 0; ++i) {
            response = this->sendRequest(post("/unsafe/", id, "x"));
            std::this_thread::sleep_for(milliseconds(20));
        }
        CPPUNIT_ASSERT_EQUAL(1, this->runs.load());
        return response;
    }

    // Guards against an answer to an earlier request that is taken for the one to this request.
    void refusalOfAnotherRequestIsSkipped()
    {
        this->addServer(this->repeatRefusal(true));
        CPPUNIT_ASSERT(contains(this->sendRequest(post("/unsafe/", "first", "x")), "HTTP/1.1 503"));
        std::string response = this->sendUntilRun("second");
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "HTTP/1.1 200") && contains(response, "done"));
    }

    // Guards against a caller that sends its request again with the same id and is told that it has not run, though it
    // has.
    void refusalOfAnEarlierAttemptWithTheSameIdIsNoAnswer()
    {
        this->addServer(this->repeatRefusal(true));
        CPPUNIT_ASSERT(contains(this->sendRequest(post("/unsafe/", "again", "x")), "HTTP/1.1 503"));
        std::string response = this->sendUntilRun("again");
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "HTTP/1.1 200") && contains(response, "done"));
    }

    // Guards against a refusal that names no request and is passed on as a promise.
    void refusalWithoutAnIdIsNoPromiseOnAReusedConnection()
    {
        this->addServer(this->repeatRefusal(false));
        CPPUNIT_ASSERT(contains(this->sendRequest(post("/unsafe/", "first", "x")), "HTTP/1.1 503"));
        std::string response = this->sendUntilRun("second");
        CPPUNIT_ASSERT_MESSAGE(response, contains(response, "HTTP/1.1 502"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RepeatedRefusalTest);

} // namespace lovagecross
