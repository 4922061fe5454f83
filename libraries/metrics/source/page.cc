#include "switchsaddle/metrics/page.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace switchsaddle::metrics {

namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

constexpr const char* Prefix = "switchsaddle_";
constexpr double MicrosecondsPerSecond = 1e6;

double toSeconds(const timeval& time) {
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_usec) / MicrosecondsPerSecond;
}

/** @return the resident memory of this process; zero if the system does not report it. */
double residentBytes() {
  std::ifstream file("/proc/self/statm");
  double total_pages = 0;
  double resident_pages = 0;
  file >> total_pages >> resident_pages;
  return resident_pages * static_cast<double>(sysconf(_SC_PAGESIZE));
}

/** Converts to the client library's type, whose buckets are cumulative. */
ClientMetric::Histogram toClientHistogram(const Histogram& histogram) {
  ClientMetric::Histogram converted;
  converted.sample_sum = histogram.sum();
  for (std::size_t index = 0; index < histogram.bounds().size(); ++index) {
    converted.sample_count += histogram.counts()[index];
    converted.bucket.push_back({converted.sample_count, histogram.bounds()[index]});
  }
  converted.sample_count += histogram.counts().back();
  return converted;
}

}  // namespace

/** Metric families of a page in order of their first metric. */
struct Page::Families {
  ClientMetric& add(const std::string& name, const std::string& help, MetricType type,
                    const Labels& labels) {
    const std::string full_name = Prefix + name;
    auto found = std::find_if(all.begin(), all.end(),
                              [&](const MetricFamily& family) { return family.name == full_name; });
    if (found == all.end()) {
      all.push_back({full_name, help, type, {}});
      found = std::prev(all.end());
    }
    ClientMetric& metric = found->metric.emplace_back();
    for (const Label& label : labels) {
      metric.label.push_back({label.name, label.value});
    }
    return metric;
  }

  std::vector<MetricFamily> all;
};

Page::Page() : families_(std::make_unique<Families>()) {}

Page::~Page() = default;

void Page::counter(const std::string& name, const std::string& help, double value,
                   const Labels& labels) {
  families_->add(name, help, MetricType::Counter, labels).counter.value = value;
}

void Page::gauge(const std::string& name, const std::string& help, double value,
                 const Labels& labels) {
  families_->add(name, help, MetricType::Gauge, labels).gauge.value = value;
}

void Page::histogram(const std::string& name, const std::string& help, const Histogram& histogram,
                     const Labels& labels) {
  families_->add(name, help, MetricType::Histogram, labels).histogram =
      toClientHistogram(histogram);
}

void Page::process() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  counter("process_cpu_seconds_total", "Processor time used, in seconds.",
          toSeconds(usage.ru_utime) + toSeconds(usage.ru_stime));
  gauge("process_resident_memory_bytes", "Resident memory, in bytes.", residentBytes());
}

std::string Page::text() const {
  std::ostringstream out;
  prometheus::TextSerializer().Serialize(out, families_->all);
  return out.str();
}

}  // namespace switchsaddle::metrics
