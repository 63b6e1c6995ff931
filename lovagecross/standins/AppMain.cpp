// standin-app: a plain application service on a loopback address, with faults set over HTTP.

#include "lovagecross/standins/OperationService.h"

int main(int argc, char** argv)
{
    return lovagecross::standins::runOperationService("app", argc, argv);
}
