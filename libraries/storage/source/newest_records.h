#pragma once

#include <map>
#include <string>
#include <vector>

#include "switchsaddle/storage/record_store.h"

namespace switchsaddle::storage {

/** Keeps the newest record of each key. Records are added in the order of their commits. */
class NewestRecords {
 public:
  void add(std::vector<Record> records);
  /** Removes all records. @return them in the order of their keys. */
  std::vector<Record> extract();
  /** As extract(), without removals, for a file that replaces all earlier files of its keys. */
  std::vector<Record> extractPresent();

 private:
  std::map<std::string, Record> records_;
};

}  // namespace switchsaddle::storage
