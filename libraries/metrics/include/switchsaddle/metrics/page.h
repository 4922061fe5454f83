#pragma once

#include <memory>
#include <string>
#include <vector>

#include "switchsaddle/metrics/histogram.h"

namespace switchsaddle::metrics {

/** One dimension of a metric. */
struct Label {
  std::string name;
  std::string value;
};

using Labels = std::vector<Label>;

/**
 * One reading of a process's metrics, put together when it is asked for and written in Prometheus'
 * text form by its client library. Names get the prefix "switchsaddle_". Metrics of one name with
 * different labels belong to one family, whose help is that of the first.
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
  /** Processor time and resident memory of this process. */
  void process();
  std::string text() const;

 private:
  struct Families;
  std::unique_ptr<Families> families_;
};

/** The Content-Type of the text form. */
inline constexpr const char* ContentType = "text/plain; version=0.0.4; charset=utf-8";

}  // namespace switchsaddle::metrics
