// An entry node that declines calls of another one while it has too many of them.

#include "lovagecross/gateway/RelayFixture.h"

#include <string>
#include <thread>

namespace lovagecross {

class FullRelayTest : public RelayFixture {
    CPPUNIT_TEST_SUITE(FullRelayTest);
    CPPUNIT_TEST(fullNodeIsTriedAgainAfterTheTimeThatItNames);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a node that is left out for as long as one that can't be reached, although it was only full.
    void fullNodeIsTriedAgainAfterTheTimeThatItNames()
    {
        this->addServer([](const ScriptedRequest& request, ScriptedConnection& connection) {
            return connection.write(signedResponse(request, "done"));
        });
        for (int i = 0; i < 3; ++i) {
            this->soundRelay->maxCalls = 0;
            std::string refused = this->sendToStranded(post("/unsafe/", "r" + std::to_string(i), "x"));
            CPPUNIT_ASSERT_MESSAGE(refused, contains(refused, "HTTP/1.1 503"));
            this->soundRelay->maxCalls = 2;
            std::this_thread::sleep_for(milliseconds(220));
            std::string response = this->sendToStranded(post("/unsafe/", "s" + std::to_string(i), "x"));
            CPPUNIT_ASSERT_MESSAGE(response, contains(response, "done"));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FullRelayTest);

} // namespace lovagecross
