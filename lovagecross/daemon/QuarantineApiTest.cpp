#include "lovagecross/daemon/QuarantineApi.h"

#include "lovagecross/crashes/CallFingerprint.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lovagecross {

class QuarantineApiTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(QuarantineApiTest);
    CPPUNIT_TEST(quarantinedCallIsListedAndReleased);
    CPPUNIT_TEST(otherRequestsAreLeftAlone);
    CPPUNIT_TEST_SUITE_END();

    ManualClock clock;
    Counters counters;
    CrashLedger ledger { this->clock, this->counters };
    QuarantineApi api { this->ledger,
        [this](const std::string& fingerprint) {
            return !this->ledger.learn({ releaseNotice(fingerprint, "entry1") }, CrashSource::Operator).empty();
        } };
    const std::string fingerprint = fingerprintOf({ "POST", "/p", {}, {}, "body" });

public:
    void setUp() override
    {
        for (const char* server : { "s1", "s2", "s3" })
            this->ledger.learn({ { server, 1, "v1", "entry1", { this->fingerprint }, Duration(0) } }, CrashSource::Own);
        this->clock.advance(std::chrono::seconds(2));
    }

    // Guards against an operator who can't find out what a node refuses, or can't end it.
    void quarantinedCallIsListedAndReleased()
    {
        std::string call = printFingerprint(this->fingerprint);
        auto listed = this->api.answer("GET", "/admin/quarantine");
        CPPUNIT_ASSERT(listed && listed->status == 200);
        for (const std::string& part : { call, std::string("\"s3\""), std::string("\"v1\""), std::string("2000") })
            CPPUNIT_ASSERT_MESSAGE(listed->body, listed->body.find(part) != std::string::npos);
        auto released = this->api.answer("POST", "/admin/quarantine/" + call + "/release");
        CPPUNIT_ASSERT(released && released->status == 200);
        CPPUNIT_ASSERT(this->ledger.find(this->fingerprint).verdict == CrashVerdict::Unmarked);
        CPPUNIT_ASSERT_EQUAL(404, this->api.answer("POST", "/admin/quarantine/" + call + "/release")->status);
    }

    // Guards against a release by a request that names no call, or only reads.
    void otherRequestsAreLeftAlone()
    {
        std::string call = printFingerprint(this->fingerprint);
        for (const std::string& path : { std::string("/metrics"), std::string("/admin/quarantine/") + call })
            CPPUNIT_ASSERT(!this->api.answer("POST", path) && !this->api.answer("GET", path));
        CPPUNIT_ASSERT(!this->api.answer("GET", "/admin/quarantine/" + call + "/release"));
        for (const char* wrong :
            { "/admin/quarantine//release", "/admin/quarantine/release", "/admin/quarantine/zz/release" })
            CPPUNIT_ASSERT(this->api.answer("POST", wrong).value_or(QuarantineApi::Answer { 404, {} }).status == 404);
        CPPUNIT_ASSERT(this->ledger.find(this->fingerprint).verdict == CrashVerdict::Quarantined);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineApiTest);

} // namespace lovagecross
