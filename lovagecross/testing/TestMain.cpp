// Runs the registered CppUnit tests: all of them, only the paths given as arguments
// (`lovagecross::SuiteName::caseName`), or all suites but those given after `--without`. Exits 0 when every test passed
// and 2 when a path names no test.
#include <algorithm>
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/Test.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <exception>
#include <filesystem>
#include <iostream>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <unistd.h>
#include <vector>

namespace {

constexpr std::string_view withoutOption = "--without";

// The tests that the paths name; throws when one names no test.
std::vector<CppUnit::Test*> findTests(CppUnit::Test& all, const std::vector<std::string>& paths)
{
    std::vector<CppUnit::Test*> found;
    found.reserve(paths.size());
    for (const std::string& path : paths)
        found.push_back(all.findTest(path));
    return found;
}

// The tests that the arguments select; throws when one names no test.
std::vector<CppUnit::Test*> selectTests(CppUnit::Test& all, const std::vector<std::string>& arguments)
{
    if (arguments.empty())
        return { &all };
    if (arguments.front() != withoutOption)
        return findTests(all, arguments);
    std::vector<CppUnit::Test*> left = findTests(all, { arguments.begin() + 1, arguments.end() });
    std::vector<CppUnit::Test*> selected;
    for (int i = 0; i < all.getChildTestCount(); ++i) {
        CppUnit::Test* suite = all.getChildTestAt(i);
        if (std::find(left.begin(), left.end(), suite) == left.end())
            selected.push_back(suite);
    }
    return selected;
}

} // namespace

int main(int argc, char** argv)
{
    // Owns every test, also those that are not selected; a TestRunner would own only what is added to it.
    std::unique_ptr<CppUnit::Test> all(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    std::vector<CppUnit::Test*> selected;
    try {
        selected = selectTests(*all, { argv + 1, argv + argc });
    } catch (const std::exception& error) {
        std::cerr << "no such test: " << error.what() << '\n';
        return 2;
    }
    CppUnit::TestResult controller;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    controller.addListener(&collector);
    controller.addListener(&progress);
    for (CppUnit::Test* test : selected)
        controller.runTest(test);
    CppUnit::CompilerOutputter outputter(&collector, std::cerr);
    outputter.write();
    if (!collector.wasSuccessful())
        return 1;
    // Logs of the processes that the tests started; after a failure they stay for its analysis.
    std::error_code ignored;
    std::filesystem::remove_all("/tmp/lovagecross-test." + std::to_string(getpid()), ignored);
    return 0;
}
