#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "switchsaddle/experiments/experiment.h"

namespace switchsaddle::experiments {

/** One parameter and the values it is varied over. */
struct Range {
  std::string name;
  std::vector<std::string> values;
};

/** Parses "NAME=a,b,c". Throws base::Error with InvalidValue for other text. */
Range parseRange(const std::string& text);

/** The runs of a sweep: every combination of the ranges' values, each with every seed. */
struct Sweep {
  std::vector<Range> ranges;
  std::uint64_t first_seed = 1;
  std::uint64_t seeds = 1;
};

/** One run of a sweep. */
struct Row {
  std::vector<Setting> varied;
  std::uint64_t seed = 0;
  std::vector<Measure> measures;
};

/** Mean, smallest and largest value of one measure over the seeds of one combination. */
struct Summary {
  std::string label;
  double mean = 0;
  double least = 0;
  double most = 0;
};

/** Runs all combinations one after another; `done` is called after each run. Throws base::Error
 * for unknown parameters before the first run. */
std::vector<Row> runSweep(const Experiment& experiment, const Sweep& sweep,
                          const std::function<void(const Row&)>& done);
/** Comma-separated values with a header line. */
std::string formatCsv(const std::vector<Row>& rows);
/** One summary for each combination, in the order of the rows. */
std::vector<Summary> summarize(const std::vector<Row>& rows, const std::string& measure);
/** A gnuplot script that draws the means as bars, with the spread of each, into a PNG file. */
std::string formatPlot(const std::vector<Summary>& summaries, const std::string& measure,
                       const std::string& png_path);

}  // namespace switchsaddle::experiments
