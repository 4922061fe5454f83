#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace switchsaddle::experiments {

/** One parameter of an experiment and its value, as text. */
struct Setting {
  std::string name;
  std::string value;
};

/** The parameters of one run. Lookups throw base::Error with InvalidValue if the name is unknown or
 * if number() finds a value that is not a number. */
class Settings {
 public:
  explicit Settings(std::vector<Setting> values) : values_(std::move(values)) {}
  const std::string& text(const std::string& name) const;
  double number(const std::string& name) const;
  /** Replaces the value of a known parameter. */
  void set(const std::string& name, const std::string& value);
  const std::vector<Setting>& all() const { return values_; }

 private:
  std::vector<Setting> values_;
};

/** One measured value of a run. */
struct Measure {
  std::string name;
  double value = 0;
};

/** A simulated scenario that is run with varied parameters and seeds. Stateless: runs with the same
 * settings and seed return the same measures. */
class Experiment {
 public:
  virtual ~Experiment() = default;
  virtual std::string name() const = 0;
  /** Every parameter with its default. */
  virtual std::vector<Setting> defaults() const = 0;
  /** The measure that is plotted by default. */
  virtual std::string plottedMeasure() const = 0;
  /** Returns the same measures in the same order for every run. */
  virtual std::vector<Measure> run(const Settings& settings, std::uint64_t seed) const = 0;
};

/** All experiments of the test bed. */
std::vector<std::unique_ptr<Experiment>> allExperiments();

}  // namespace switchsaddle::experiments
