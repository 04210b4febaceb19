#include "cppunit/BriefTestProgressListener.h"
#include "cppunit/CompilerOutputter.h"
#include "cppunit/TestResult.h"
#include "cppunit/TestResultCollector.h"
#include "cppunit/TestRunner.h"
#include "cppunit/extensions/TestFactoryRegistry.h"

#include <iostream>

/// Runs all registered tests. Also fails if no test is registered, which would
/// otherwise count as a pass.
int main() {
  CppUnit::TestResult Result;
  CppUnit::TestResultCollector Collector;
  CppUnit::BriefTestProgressListener Progress;
  Result.addListener(&Collector);
  Result.addListener(&Progress);

  CppUnit::TestRunner Runner;
  Runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  Runner.run(Result);

  CppUnit::CompilerOutputter Outputter(&Collector, std::cerr);
  Outputter.write();
  const bool HasRunTests = Collector.runTests() > 0;
  return HasRunTests && Collector.wasSuccessful() ? 0 : 1;
}
