#include "switchsaddle/experiments/sweep.h"

#include <algorithm>
#include <sstream>

#include "switchsaddle/base/error.h"

namespace switchsaddle::experiments {

namespace {

std::string labelOf(const Row& row) {
  std::string label;
  for (const Setting& setting : row.varied) {
    label += (label.empty() ? "" : " ") + setting.value;
  }
  return label.empty() ? "defaults" : label;
}

double valueOf(const Row& row, const std::string& measure) {
  for (const Measure& one : row.measures) {
    if (one.name == measure) {
      return one.value;
    }
  }
  throw base::Error(base::ResultCode::InvalidValue, "unknown measure: " + measure);
}

/** Every combination of the ranges' values; the last range varies fastest. */
std::vector<std::vector<Setting>> combinationsOf(const std::vector<Range>& ranges) {
  std::vector<std::vector<Setting>> combinations{{}};
  for (const Range& range : ranges) {
    std::vector<std::vector<Setting>> longer;
    for (const std::vector<Setting>& combination : combinations) {
      for (const std::string& value : range.values) {
        longer.push_back(combination);
        longer.back().push_back(Setting{range.name, value});
      }
    }
    combinations = std::move(longer);
  }
  return combinations;
}

}  // namespace

Range parseRange(const std::string& text) {
  const std::size_t equals = text.find('=');
  if (equals == std::string::npos || equals == 0) {
    throw base::Error(base::ResultCode::InvalidValue, "expected NAME=VALUE,... but got: " + text);
  }
  Range range{text.substr(0, equals), {}};
  std::istringstream values(text.substr(equals + 1));
  for (std::string value; std::getline(values, value, ',');) {
    range.values.push_back(value);
  }
  if (range.values.empty()) {
    throw base::Error(base::ResultCode::InvalidValue,
                      "expected at least one value after '=' but got: " + text);
  }
  return range;
}

std::vector<Row> runSweep(const Experiment& experiment, const Sweep& sweep,
                          const std::function<void(const Row&)>& done) {
  const Settings defaults(experiment.defaults());
  for (const Range& range : sweep.ranges) {
    defaults.text(range.name);
  }
  std::vector<Row> rows;
  for (const std::vector<Setting>& varied : combinationsOf(sweep.ranges)) {
    Settings settings = defaults;
    for (const Setting& setting : varied) {
      settings.set(setting.name, setting.value);
    }
    for (std::uint64_t offset = 0; offset < sweep.seeds; ++offset) {
      const std::uint64_t seed = sweep.first_seed + offset;
      rows.push_back(Row{varied, seed, experiment.run(settings, seed)});
      done(rows.back());
    }
  }
  return rows;
}

std::string formatCsv(const std::vector<Row>& rows) {
  std::ostringstream text;
  if (rows.empty()) {
    return {};
  }
  for (const Setting& setting : rows.front().varied) {
    text << setting.name << ',';
  }
  text << "seed";
  for (const Measure& measure : rows.front().measures) {
    text << ',' << measure.name;
  }
  text << '\n';
  for (const Row& row : rows) {
    for (const Setting& setting : row.varied) {
      text << setting.value << ',';
    }
    text << row.seed;
    for (const Measure& measure : row.measures) {
      text << ',' << measure.value;
    }
    text << '\n';
  }
  return text.str();
}

std::vector<Summary> summarize(const std::vector<Row>& rows, const std::string& measure) {
  std::vector<Summary> summaries;
  std::vector<std::size_t> counts;
  for (const Row& row : rows) {
    const double value = valueOf(row, measure);
    const std::string label = labelOf(row);
    if (summaries.empty() || summaries.back().label != label) {
      summaries.push_back(Summary{label, 0, value, value});
      counts.push_back(0);
    }
    Summary& summary = summaries.back();
    const double before = static_cast<double>(counts.back()++);
    summary.mean = (summary.mean * before + value) / (before + 1);
    summary.least = std::min(summary.least, value);
    summary.most = std::max(summary.most, value);
  }
  return summaries;
}

std::string formatPlot(const std::vector<Summary>& summaries, const std::string& measure,
                       const std::string& png_path) {
  std::ostringstream script;
  script << "set terminal pngcairo size 1100,600\n"
         << "set output '" << png_path << "'\n"
         << "set style fill solid 0.5\nset boxwidth 0.7\nunset key\n"
         << "set yrange [0:*]\nset xrange [-0.6:" << summaries.size() << " - 0.4]\n"
         << "set xtics rotate by -35 noenhanced\n"
         << "set ylabel '" << measure << " (mean; bars: least and most over seeds)' noenhanced\n"
         << "$data << END\n";
  for (std::size_t index = 0; index < summaries.size(); ++index) {
    const Summary& summary = summaries[index];
    script << index << " \"" << summary.label << "\" " << summary.mean << ' ' << summary.least
           << ' ' << summary.most << '\n';
  }
  script << "END\n"
         << "plot $data using 1:3:xtic(2) with boxes, $data using 1:3:4:5 with yerrorbars lc "
            "'black'\n";
  return script.str();
}

}  // namespace switchsaddle::experiments
