#include "cppunit/BriefTestProgressListener.h"
#include "cppunit/CompilerOutputter.h"
#include "cppunit/TestResult.h"
#include "cppunit/TestResultCollector.h"
#include "cppunit/TestRunner.h"
#include "cppunit/extensions/TestFactoryRegistry.h"

#include <iostream>

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
  const bool AnyTestRan = Collector.runTests() > 0;
  return AnyTestRan && Collector.wasSuccessful() ? 0 : 1;
}
