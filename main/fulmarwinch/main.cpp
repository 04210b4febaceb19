#include "cli/program.h"

#include <cstdlib>
#include <iostream>
#include <thread>

int main(int Count, char **Values) {
  using namespace fulmarwinch;
  const EnvironmentReader Environment = [](const char *Name) {
    const char *Value = std::getenv(Name);
    return std::string(Value ? Value : "");
  };
  const CommandIo Io{std::cin, std::cout, std::cerr,
                     [](Duration Length) {
                       std::this_thread::sleep_for(Length);
                       return true;
                     },
                     monotonicNow};
  return static_cast<int>(
      runProgram({Values + 1, Values + Count}, Environment, Io));
}
