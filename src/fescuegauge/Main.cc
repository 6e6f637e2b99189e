#include "Tool.h"

#include <iostream>

int main(int Count, char **Arguments) {
  return fescuegauge::runTool({Arguments + 1, Arguments + Count},
                              fescuegauge::processEnvironment(std::cout, std::cerr));
}
