#include "cli/Main.h"

int
main(int argc, char** argv)
{
  return poplartrack::runCommandLine(argc, argv);
}
