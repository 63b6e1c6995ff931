// standin-tool: a tool service on a loopback address, with faults set over HTTP.

#include "lovagecross/standins/OperationService.h"

int main(int argc, char** argv)
{
    return lovagecross::standins::runOperationService("tool", argc, argv);
}
