#include "switchsaddle/metrics/page.h"

#include <gtest/gtest.h>

namespace switchsaddle::metrics {
namespace {

TEST(PageTest, WritesFamiliesWithTheirLabels) {
  Page page;
  page.counter("refusals_total", "Refusals.", 3, {{"code", "3004"}});
  page.gauge("open_streams", "Open streams.", 2);
  page.counter("refusals_total", "Refusals.", 1, {{"code", "30\"05"}});
  EXPECT_EQ(page.text(),
            "# HELP switchsaddle_refusals_total Refusals.\n"
            "# TYPE switchsaddle_refusals_total counter\n"
            "switchsaddle_refusals_total{code=\"3004\"} 3\n"
            "switchsaddle_refusals_total{code=\"30\\\"05\"} 1\n"
            "# HELP switchsaddle_open_streams Open streams.\n"
            "# TYPE switchsaddle_open_streams gauge\n"
            "switchsaddle_open_streams 2\n");
}

TEST(PageTest, WritesCumulativeHistogramBuckets) {
  Histogram histogram({0.1, 1});
  histogram.observe(std::chrono::milliseconds(100));
  histogram.observe(std::chrono::milliseconds(500));
  histogram.observe(std::chrono::seconds(2));
  Page page;
  page.histogram("wait_seconds", "Waits.", histogram);
  EXPECT_EQ(page.text(),
            "# HELP switchsaddle_wait_seconds Waits.\n"
            "# TYPE switchsaddle_wait_seconds histogram\n"
            "switchsaddle_wait_seconds_count 3\n"
            "switchsaddle_wait_seconds_sum 2.6\n"
            "switchsaddle_wait_seconds_bucket{le=\"0.1\"} 1\n"
            "switchsaddle_wait_seconds_bucket{le=\"1\"} 2\n"
            "switchsaddle_wait_seconds_bucket{le=\"+Inf\"} 3\n");
}

TEST(PageTest, ReportsProcessorTimeAndMemoryOfTheProcess) {
  Page page;
  page.process();
  EXPECT_NE(page.text().find("switchsaddle_process_cpu_seconds_total "), std::string::npos);
  EXPECT_EQ(page.text().find("switchsaddle_process_resident_memory_bytes 0\n"), std::string::npos);
}

}  // namespace
}  // namespace switchsaddle::metrics
