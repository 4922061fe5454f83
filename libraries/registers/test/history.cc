#include "history.h"

#include <algorithm>
#include <map>

namespace switchsaddle::registers {

namespace {

std::uint64_t numberOf(const std::string& value) {
  return value.empty() ? 0 : std::stoull(value);
}

}  // namespace

std::size_t History::begin(bool is_change, base::TimePoint now) {
  Operation operation;
  operation.is_change = is_change;
  operation.started = now;
  operations_.push_back(operation);
  return operations_.size() - 1;
}

ChangeFunction History::increment(std::size_t operation) {
  return [operation](const std::string& current) -> std::optional<std::string> {
    return std::to_string(numberOf(current) + 1) + "/" + std::to_string(operation);
  };
}

void History::end(std::size_t operation, const RegisterOutcome& outcome, base::TimePoint now) {
  Operation& ended = operations_[operation];
  ended.ended = now;
  ended.succeeded = outcome.code == base::ResultCode::Ok;
  if (!ended.succeeded) {
    return;
  }
  ended.changed = outcome.changed;
  ended.number = numberOf(outcome.value);
  ended.writer = outcome.value.substr(std::min(outcome.value.find('/'), outcome.value.size()));
}

std::size_t History::succeeded() const {
  return static_cast<std::size_t>(
      std::count_if(operations_.begin(), operations_.end(),
                    [](const auto& operation) { return operation.succeeded; }));
}

std::string History::violation() const {
  const std::string writers = writerViolation();
  return writers.empty() ? orderViolation() : writers;
}

std::string History::writerViolation() const {
  std::map<std::uint64_t, std::string> writer_of;
  std::map<std::string, std::uint64_t> number_of;
  for (std::size_t index = 0; index < operations_.size(); ++index) {
    const Operation& operation = operations_[index];
    if (!operation.succeeded) {
      continue;
    }
    const std::string name = "operation " + std::to_string(index);
    if (operation.is_change && operation.writer != "/" + std::to_string(index)) {
      return name + " returned another operation's value";
    }
    if (writer_of.emplace(operation.number, operation.writer).first->second != operation.writer) {
      return name + " observed a second writer of number " + std::to_string(operation.number);
    }
    if (number_of.emplace(operation.writer, operation.number).first->second != operation.number) {
      return name + " observed a change that took effect twice";
    }
  }
  return {};
}

std::string History::orderViolation() const {
  for (std::size_t first = 0; first < operations_.size(); ++first) {
    for (std::size_t second = 0; second < operations_.size(); ++second) {
      const Operation& before = operations_[first];
      const Operation& after = operations_[second];
      if (!before.succeeded || !after.succeeded || before.ended >= after.started) {
        continue;
      }
      const bool in_order =
          after.is_change ? after.number > before.number : after.number >= before.number;
      if (!in_order) {
        return "operation " + std::to_string(second) +
               " has a number that is too low to follow operation " + std::to_string(first);
      }
    }
  }
  return {};
}

}  // namespace switchsaddle::registers
