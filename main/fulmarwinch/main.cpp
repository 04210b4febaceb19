#include "cli/program.h"

#include <cstdlib>
#include <iostream>
#include <thread>

int main(int ArgumentCount, char **ArgumentValues) {
  using namespace fulmarwinch;
  const EnvironmentReader Environment = [](const char *Name) {
    const char *Value = std::getenv(Name);
    return std::string(Value ? Value : "");
  };
  const CommandIo Io{std::cin, std::cout, std::cerr,
                     [](Duration SleepTime) {
                       std::this_thread::sleep_for(SleepTime);
                       return true;
                     },
                     monotonicNow};
  return static_cast<int>(runProgram(
      {ArgumentValues + 1, ArgumentValues + ArgumentCount}, Environment, Io));
}
