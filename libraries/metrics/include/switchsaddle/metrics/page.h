#pragma once

#include <memory>
#include <string>
#include <vector>

#include "switchsaddle/metrics/histogram.h"

namespace switchsaddle::metrics {

/** Name and value of one dimension of a metric. */
struct Label {
  std::string name;
  std::string value;
};

using Labels = std::vector<Label>;

/**
 * One scrape of a process's metrics in the Prometheus text format. Names get the prefix
 * "switchsaddle_". Metrics with the same name and different labels form one family with the help
 * text of the first. Not thread-safe.
 */
class Page {
 public:
  Page();
  ~Page();
  Page(const Page&) = delete;
  Page& operator=(const Page&) = delete;

  void counter(const std::string& name, const std::string& help, double value,
               const Labels& labels = {});
  void gauge(const std::string& name, const std::string& help, double value,
             const Labels& labels = {});
  void histogram(const std::string& name, const std::string& help, const Histogram& histogram,
                 const Labels& labels = {});
  /** Adds processor time and resident memory of this process. */
  void process();
  /** @return the page in the Prometheus text format. */
  std::string text() const;

 private:
  struct Families;
  std::unique_ptr<Families> families_;
};

/** Content-Type of Page::text(). */
inline constexpr const char* ContentType = "text/plain; version=0.0.4; charset=utf-8";

}  // namespace switchsaddle::metrics
