#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "commands.h"
#include "switchsaddle/base/error.h"
#include "switchsaddle/experiments/sweep.h"

namespace switchsaddle::testbed_commands {
namespace {

/** The command line of `switchsaddle-testbed experiment`. */
struct ExperimentArguments {
  std::string name;
  std::vector<std::string> parameters;
  std::uint64_t seeds = 1;
  std::uint64_t first_seed = 1;
  std::string csv;
  std::string plot;
  std::string measure;
};

std::unique_ptr<experiments::Experiment> findExperiment(const std::string& name) {
  std::string known;
  for (auto& experiment : experiments::allExperiments()) {
    if (experiment->name() == name) {
      return std::move(experiment);
    }
    known += " " + experiment->name();
  }
  throw base::Error(base::ResultCode::InvalidValue,
                    "unknown experiment " + name + "; expected one of:" + known);
}

void printRow(const experiments::Row& row) {
  for (const experiments::Setting& setting : row.varied) {
    std::cout << setting.name << "=" << setting.value << " ";
  }
  std::cout << "seed=" << row.seed;
  for (const experiments::Measure& measure : row.measures) {
    std::cout << " " << measure.name << "=" << measure.value;
  }
  std::cout << std::endl;
}

void printMeans(const std::vector<experiments::Row>& rows) {
  for (const experiments::Measure& measure : rows.front().measures) {
    for (const experiments::Summary& summary : experiments::summarize(rows, measure.name)) {
      std::cout << "mean " << measure.name << " [" << summary.label << "] " << summary.mean << " ("
                << summary.least << " to " << summary.most << ")\n";
    }
  }
}

/** Runs gnuplot with the script, which writes a PNG file. */
void drawPlot(const std::string& script) {
  std::FILE* gnuplot = ::popen("gnuplot", "w");
  if (gnuplot == nullptr) {
    throw base::Error(base::ResultCode::InternalError, "cannot start gnuplot for --plot");
  }
  std::fwrite(script.data(), 1, script.size(), gnuplot);
  if (::pclose(gnuplot) != 0) {
    throw base::Error(base::ResultCode::InternalError,
                      "gnuplot exited with an error; see its output above");
  }
}

void runExperiment(const ExperimentArguments& arguments) {
  const auto experiment = findExperiment(arguments.name);
  experiments::Sweep sweep;
  sweep.seeds = arguments.seeds;
  sweep.first_seed = arguments.first_seed;
  for (const std::string& parameter : arguments.parameters) {
    sweep.ranges.push_back(experiments::parseRange(parameter));
  }
  const std::vector<experiments::Row> rows = experiments::runSweep(*experiment, sweep, printRow);
  if (rows.empty()) {
    return;
  }
  printMeans(rows);
  if (!arguments.csv.empty()) {
    std::ofstream file(arguments.csv, std::ios::trunc);
    file << experiments::formatCsv(rows);
    if (!file.flush()) {
      throw base::Error(base::ResultCode::StorageFailed, "cannot write " + arguments.csv);
    }
  }
  if (!arguments.plot.empty()) {
    const std::string measure =
        arguments.measure.empty() ? experiment->plottedMeasure() : arguments.measure;
    drawPlot(
        experiments::formatPlot(experiments::summarize(rows, measure), measure, arguments.plot));
  }
}

}  // namespace

void addExperimentCommand(CLI::App& app) {
  auto arguments = std::make_shared<ExperimentArguments>();
  CLI::App* command = app.add_subcommand(
      "experiment", "Run a simulated experiment for each combination of parameters and seeds");
  command->add_option("name", arguments->name, "Name of the experiment, such as routing")
      ->required();
  command->add_option(
      "--parameter", arguments->parameters,
      "NAME=a,b,c: values of a parameter (repeatable, default: the experiment's value)");
  command->add_option("--seeds", arguments->seeds,
                      "Number of seeds for each combination (default 1)");
  command->add_option("--first-seed", arguments->first_seed, "First seed (default 1)");
  command->add_option("--csv", arguments->csv,
                      "CSV file to write, one line for each run (default: none)");
  command->add_option("--plot", arguments->plot, "PNG file to draw the measure to (default: none)");
  command->add_option("--measure", arguments->measure,
                      "Measure to draw (default: the experiment's main measure)");
  command->callback([arguments] { runExperiment(*arguments); });
}

}  // namespace switchsaddle::testbed_commands
