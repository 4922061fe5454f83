#include "newest_records.h"

#include <utility>

namespace switchsaddle::storage {

void NewestRecords::add(std::vector<Record> records) {
  for (Record& record : records) {
    std::string key = record.key;
    records_.insert_or_assign(std::move(key), std::move(record));
  }
}

std::vector<Record> NewestRecords::extract() {
  std::vector<Record> records;
  records.reserve(records_.size());
  for (auto& [key, record] : records_) {
    records.push_back(std::move(record));
  }
  records_.clear();
  return records;
}

std::vector<Record> NewestRecords::extractPresent() {
  std::erase_if(records_, [](const auto& item) { return item.second.removed; });
  return extract();
}

}  // namespace switchsaddle::storage
