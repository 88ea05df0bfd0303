#include "kernel/metrics.h"

#include <boost/test/unit_test.hpp>

namespace bluebellpass {
namespace {

// Guards against wrong or missing quantiles after many observations.
BOOST_AUTO_TEST_CASE(SummaryHasQuantiles) {
  Metrics metrics;
  for (int i = 1; i <= 1000; ++i) metrics.ObserveSummary("delay_ms", i, "tier=\"urgent\"");
  const std::string text = metrics.Render();
  BOOST_TEST(text.find("bluebellpass_delay_ms{tier=\"urgent\",quantile=\"0.5\"} 5") !=
             std::string::npos);
  BOOST_TEST(text.find("bluebellpass_delay_ms_count{tier=\"urgent\"} 1000") != std::string::npos);
}

// Guards against quantiles of too few observations, for which the estimator is undefined.
BOOST_AUTO_TEST_CASE(TooFewObservationsGiveNoQuantile) {
  Metrics metrics;
  metrics.ObserveSummary("delay_ms", 1);
  BOOST_TEST(metrics.Render().find("quantile") == std::string::npos);
}

// Guards against counters that lose their labels.
BOOST_AUTO_TEST_CASE(CountersAreSeparateByLabel) {
  Metrics metrics;
  metrics.IncrementCounter("requests_total", "tier=\"a\"");
  metrics.IncrementCounter("requests_total", "tier=\"a\"", 2);
  metrics.IncrementCounter("requests_total", "tier=\"b\"");
  BOOST_TEST(metrics.Render().find("bluebellpass_requests_total{tier=\"a\"} 3\n") !=
             std::string::npos);
}

}  // namespace
}  // namespace bluebellpass
