// Main program of lovagectl; Lovagectl.h has the implementation.
#include "lovagecross/base/Clock.h"
#include "lovagecross/ctl/Lovagectl.h"

#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

int main(int argc, char** argv)
{
    try {
        lovagecross::SystemClock clock;
        lovagecross::CtlEnvironment environment { std::cin, std::cout, std::cerr, clock,
            [](lovagecross::Duration duration) { std::this_thread::sleep_for(duration); } };
        const char* node = std::getenv("LOVAGECTL_NODE");
        std::vector<std::string> arguments(argv + 1, argv + argc);
        return static_cast<int>(
            lovagecross::runLovagectl(arguments, node == nullptr ? std::string() : node, environment));
    } catch (const std::exception& error) {
        std::cerr << "lovagectl: " << error.what() << '\n';
        return static_cast<int>(lovagecross::ExitCode::Failed);
    }
}
