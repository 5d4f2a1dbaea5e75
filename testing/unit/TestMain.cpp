//===- TestMain.cpp - Runner shared by every CppUnit test executable ------===//
//
// Runs every registered fixture and prints failures in compiler format. Tests
// named at the start of a line of the file in RAGWORT_KNOWN_RED are printed and
// not run.
//
//===----------------------------------------------------------------------===//
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/Test.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <set>
#include <sstream>
#include <string>

namespace {

std::set<std::string> knownRedTests() {
  std::set<std::string> Names;
  const char *File = std::getenv("RAGWORT_KNOWN_RED");
  std::ifstream Lines(File ? File : "");
  for (std::string Line; std::getline(Lines, Line);) {
    if (Line.starts_with(' '))
      continue; // Details of the entry above.
    std::string Name;
    std::istringstream(Line) >> Name;
    Names.insert(Name);
  }
  return Names;
}

void runExcept(const std::set<std::string> &KnownRed, CppUnit::Test &Each,
               CppUnit::TestResult &Events) {
  if (KnownRed.contains(Each.getName())) {
    std::cout << "known red, passed over: " << Each.getName() << std::endl;
    return;
  }
  if (Each.getChildTestCount() == 0) {
    Each.run(&Events);
    return;
  }
  for (int I = 0; I < Each.getChildTestCount(); ++I)
    runExcept(KnownRed, *Each.getChildTestAt(I), Events);
}

} // namespace

int main() {
  CppUnit::TestResult Events;
  CppUnit::TestResultCollector Collector;
  Events.addListener(&Collector);
  CppUnit::BriefTestProgressListener Progress;
  Events.addListener(&Progress);
  std::unique_ptr<CppUnit::Test> All(
      CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  runExcept(knownRedTests(), *All, Events);
  CppUnit::CompilerOutputter(&Collector, std::cerr).write();
  return Collector.wasSuccessful() ? 0 : 1;
}
