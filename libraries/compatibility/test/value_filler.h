#pragma once

#include <boost/pfr.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <type_traits>
#include <variant>
#include <vector>

#include "switchsaddle/base/result_code.h"

namespace switchsaddle::compatibility {

/**
 * Fills the fields of aggregates with distinct numbers and texts, in the order of declaration. The
 * values do not depend on the names of types and fields or on the order in which serialize() writes
 * them, so that a test detects when serialize() swaps two fields of the same type.
 */
class ValueFiller {
 public:
  template <class Value>
  static Value filled() {
    ValueFiller filler;
    Value value{};
    filler.fill(value);
    return value;
  }

  void fill(bool& value) { value = next() % 2 == 1; }
  void fill(std::string& value) { value = "text-" + std::to_string(next()); }
  void fill(base::ResultCode& value) {
    const auto table = base::resultCodeTable();
    value = table[next() % table.size()].code;
  }

  template <class Element>
  void fill(std::vector<Element>& elements) {
    elements.resize(ElementCount);
    for (Element& element : elements) {
      fill(element);
    }
  }

  template <class Key, class Value>
  void fill(std::map<Key, Value>& entries) {
    for (std::size_t index = 0; index < ElementCount; ++index) {
      Key key{};
      fill(key);
      fill(entries[key]);
    }
  }

  template <class Value>
  void fill(std::optional<Value>& value) {
    fill(value.emplace());
  }

  template <class Value>
  void fill(Value& value) {
    if constexpr (std::is_enum_v<Value>) {
      value = static_cast<Value>(1);
    } else if constexpr (std::is_floating_point_v<Value>) {
      value = static_cast<Value>(next()) + Fraction;
    } else if constexpr (std::is_arithmetic_v<Value>) {
      value = static_cast<Value>(next() * (sizeof(Value) > 2 ? LargeFactor : 1U));
    } else {
      boost::pfr::for_each_field(value, [this](auto& field) { this->fill(field); });
    }
  }

 private:
  static constexpr std::size_t ElementCount = 2;
  static constexpr double Fraction = 0.25;
  /** Makes wide integers use more than their lowest bytes. */
  static constexpr std::uint64_t LargeFactor = 100'003;

  std::uint64_t next() { return ++last_; }

  std::uint64_t last_ = 0;
};

}  // namespace switchsaddle::compatibility
