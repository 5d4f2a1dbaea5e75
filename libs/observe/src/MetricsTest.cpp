//===- MetricsTest.cpp - Tests of Metrics.h -------------------------------===//
#include "ragwort/observe/Metrics.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort {

class MetricsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MetricsTest);
  CPPUNIT_TEST(quantileWhenValuesAreSpreadIsWithinABin);
  CPPUNIT_TEST(quantileWhenValueExceedsTheRangeIsTheUpperEnd);
  CPPUNIT_TEST(registryWhenPrintedListsEverySeries);
  CPPUNIT_TEST_SUITE_END();

public:
  void quantileWhenValuesAreSpreadIsWithinABin() {
    DurationHistogram Histogram;
    for (int I = 1; I <= 1000; ++I)
      Histogram.record(std::chrono::milliseconds(I));
    double Median =
        std::chrono::duration<double>(Histogram.quantile(0.5)).count();
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, Median, 0.07);
    CPPUNIT_ASSERT_EQUAL(uint64_t(1000), Histogram.count());
  }

  void quantileWhenValueExceedsTheRangeIsTheUpperEnd() {
    DurationHistogram Histogram;
    Histogram.record(std::chrono::hours(2));
    CPPUNIT_ASSERT_EQUAL(
        int64_t(1000), int64_t(std::chrono::duration_cast<std::chrono::seconds>(
                                   Histogram.quantile(0.5))
                                   .count()));
  }

  void registryWhenPrintedListsEverySeries() {
    MetricsRegistry Metrics;
    Metrics.counter("requests_total", "outcome=\"completed\"").add(3);
    Metrics.gauge("active").set(-2);
    Metrics.histogram("latency_seconds").record(std::chrono::milliseconds(1));
    std::string Text = Metrics.prometheusText();
    for (const char *Line : {"requests_total{outcome=\"completed\"} 3\n",
                             "active -2\n", "latency_seconds_count 1\n"})
      CPPUNIT_ASSERT_MESSAGE(Text, Text.find(Line) != std::string::npos);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);

} // namespace ragwort
