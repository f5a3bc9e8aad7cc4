#include "teaselhitch/Support/Metrics.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace teaselhitch;

namespace {

class MetricsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MetricsTest);
  CPPUNIT_TEST(rendersTextFormat);
  CPPUNIT_TEST(quantileIsUpperEdge);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against output that a Prometheus server cannot parse.
  void rendersTextFormat() {
    MetricRegistry Metrics;
    Metrics.counter("requests_total", "Requests.", "outcome=\"completed\"")
        .add(3);
    Metrics.latency("latency_seconds", "Latency.").record(Duration(2));
    std::string Text = Metrics.render();
    auto Has = [&](const char *Line) {
      return Text.find(Line) != std::string::npos;
    };
    CPPUNIT_ASSERT(Has("# TYPE requests_total counter\n"));
    CPPUNIT_ASSERT(Has("requests_total{outcome=\"completed\"} 3\n"));
    CPPUNIT_ASSERT(Has("# TYPE latency_seconds histogram\n"));
    CPPUNIT_ASSERT(Has("latency_seconds_bucket{le=\"+Inf\"} 1\n"));
    CPPUNIT_ASSERT(Has("latency_seconds_sum 0.002\n"));
  }

  /// Guards against quantiles that are below the true value, and against values
  /// above the highest bin edge that are not reported as that edge.
  void quantileIsUpperEdge() {
    LatencyHistogram H;
    for (int I = 1; I <= 100; ++I)
      H.record(Duration(I));
    CPPUNIT_ASSERT(H.quantile(0.99) >= Duration(99));
    CPPUNIT_ASSERT(H.quantile(0.99) <= Duration(120));
    H.record(Duration(1e9));
    CPPUNIT_ASSERT(H.quantile(1.0) == Duration(60000));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);

} // namespace
