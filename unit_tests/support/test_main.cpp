#include <iostream>

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

/// Runs all registered tests, or only the one named by the first argument. Exits with 1 if a test
/// failed or none ran.
int main(int argc, char** argv)
{
    CppUnit::TestResult controller;
    CppUnit::TestResultCollector collector;
    controller.addListener(&collector);
    CppUnit::BriefTestProgressListener progress;
    controller.addListener(&progress);
    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.run(controller, argc > 1 ? argv[1] : "");
    CppUnit::CompilerOutputter(&collector, std::cerr).write();
    return collector.wasSuccessful() && collector.runTests() > 0 ? 0 : 1;
}
