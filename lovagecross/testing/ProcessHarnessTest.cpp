#include "lovagecross/testing/ProcessHarness.h"
#include "lovagecross/testing/HttpClient.h"

#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <filesystem>
#include <string>

namespace lovagecross::testing {

using namespace std::chrono_literals;

class ProcessHarnessTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ProcessHarnessTest);
    CPPUNIT_TEST(readyAddressIsServed);
    CPPUNIT_TEST(programThatEndsIsNotReady);
    CPPUNIT_TEST(killedProcessIsReaped);
    CPPUNIT_TEST(pausedProcessAnswersAfterResume);
    CPPUNIT_TEST(destructorEndsChildren);
    CPPUNIT_TEST(freePortsDiffer);
    CPPUNIT_TEST(usedAddressIsRefused);
    CPPUNIT_TEST_SUITE_END();

    std::string folder;

    ChildProcess& startTool(ProcessHarness& harness, const std::string& address = "127.0.0.1:0")
    {
        return harness.start("tool", programPath("standin-tool"), { "--address", address });
    }

    static std::string statsUrl(const std::string& address) { return "http://" + address + "/control/stats"; }

public:
    void setUp() override
    {
        this->folder
            = (std::filesystem::temp_directory_path() / "lovagecross-harness-").string() + std::to_string(::getpid());
    }

    void tearDown() override { std::filesystem::remove_all(this->folder); }

    void readyAddressIsServed()
    {
        ProcessHarness harness(this->folder);
        ChildProcess& tool = this->startTool(harness);
        CPPUNIT_ASSERT(tool.waitForReady(10s));
        const HttpAnswer answer = httpRequest("POST", "http://" + tool.readyAddress() + "/print", "{}");
        CPPUNIT_ASSERT_EQUAL(std::string(), answer.error);
        CPPUNIT_ASSERT_EQUAL(200, answer.status);
        CPPUNIT_ASSERT_EQUAL(std::string("application/json"), answer.headers.at("content-type"));
    }

    // A test must not wait the whole timeout for a program that has failed already.
    void programThatEndsIsNotReady()
    {
        ProcessHarness harness(this->folder);
        const auto started = std::chrono::steady_clock::now();
        CPPUNIT_ASSERT(!this->startTool(harness, "not an address").waitForReady(60s));
        CPPUNIT_ASSERT(!harness.start("missing", "/nonexistent/program", {}).waitForReady(60s));
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - started < 30s);
    }

    void killedProcessIsReaped()
    {
        ProcessHarness harness(this->folder);
        ChildProcess& tool = this->startTool(harness);
        CPPUNIT_ASSERT(tool.waitForReady(10s));
        tool.kill();
        CPPUNIT_ASSERT(!tool.running());
        CPPUNIT_ASSERT_EQUAL(SIGKILL, tool.waitForExit(0s)->signal);
        CPPUNIT_ASSERT_EQUAL(0, httpRequest("GET", statsUrl(tool.readyAddress())).status);

        ChildProcess& next = this->startTool(harness, tool.readyAddress());
        CPPUNIT_ASSERT(next.waitForReady(10s));
        next.terminate();
        const auto end = next.waitForExit(10s);
        CPPUNIT_ASSERT(end.has_value());
        CPPUNIT_ASSERT_EQUAL(0, end->signal);
        CPPUNIT_ASSERT_EQUAL(0, end->exitCode);
    }

    void pausedProcessAnswersAfterResume()
    {
        ProcessHarness harness(this->folder);
        ChildProcess& tool = this->startTool(harness);
        CPPUNIT_ASSERT(tool.waitForReady(10s));
        tool.pause();
        CPPUNIT_ASSERT_EQUAL(0, httpRequest("GET", statsUrl(tool.readyAddress()), {}, {}, 200ms).status);
        CPPUNIT_ASSERT(tool.running());
        tool.resume();
        CPPUNIT_ASSERT_EQUAL(200, httpRequest("GET", statsUrl(tool.readyAddress())).status);
    }

    // A process that outlives its test would keep its port and take the machine's time.
    void destructorEndsChildren()
    {
        std::string address;
        {
            ProcessHarness harness(this->folder);
            ChildProcess& tool = this->startTool(harness);
            CPPUNIT_ASSERT(tool.waitForReady(10s));
            address = tool.readyAddress();
            tool.pause();
        }
        CPPUNIT_ASSERT_EQUAL(0, httpRequest("GET", statsUrl(address)).status);
    }

    void freePortsDiffer()
    {
        const std::string first = freeAddress();
        const std::string second = freeAddress();
        CPPUNIT_ASSERT(first != second);
    }

    // With SO_REUSEPORT two processes would share an address, and a test would talk to either of them.
    void usedAddressIsRefused()
    {
        ProcessHarness harness(this->folder);
        ChildProcess& tool = this->startTool(harness, freeAddress());
        CPPUNIT_ASSERT(tool.waitForReady(10s));
        ChildProcess& second = this->startTool(harness, tool.readyAddress());
        CPPUNIT_ASSERT(!second.waitForReady(10s));
        CPPUNIT_ASSERT(second.outputText().find("cannot serve") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessHarnessTest);

} // namespace lovagecross::testing
