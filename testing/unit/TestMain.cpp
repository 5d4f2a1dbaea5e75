//===- TestMain.cpp - Runner shared by every CppUnit test executable ------===//
//
// Runs every registered fixture and prints failures in compiler format.
//
//===----------------------------------------------------------------------===//
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <iostream>

int main() {
  CppUnit::TestResult Events;
  CppUnit::TestResultCollector Collector;
  Events.addListener(&Collector);
  CppUnit::BriefTestProgressListener Progress;
  Events.addListener(&Progress);
  CppUnit::TestRunner Runner;
  Runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  Runner.run(Events);
  CppUnit::CompilerOutputter(&Collector, std::cerr).write();
  return Collector.wasSuccessful() ? 0 : 1;
}
