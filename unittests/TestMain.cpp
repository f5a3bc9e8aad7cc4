/// \file
/// Runs all registered CppUnit suites. An optional argument selects the suite
/// or test case to run by its full name, e.g.
/// `"(anonymous namespace)::ChannelTest::wakesOnceUntilDrained"`.

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>
#include <string>

int main(int Argc, char **Argv) {
  CppUnit::TestResult Result;
  CppUnit::TestResultCollector Collector;
  CppUnit::BriefTestProgressListener Progress;
  Result.addListener(&Collector);
  Result.addListener(&Progress);
  CppUnit::TestRunner Runner;
  Runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  Runner.run(Result, Argc > 1 ? Argv[1] : "");
  CppUnit::CompilerOutputter(&Collector, std::cerr).write();
  if (Collector.runTests() == 0)
    return 2;
  return Collector.wasSuccessful() ? 0 : 1;
}
