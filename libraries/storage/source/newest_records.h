#pragma once

#include <map>
#include <string>
#include <vector>

#include "switchsaddle/storage/record_store.h"

namespace switchsaddle::storage {

/** Merges records in the order of their commits into the newest one of each key. */
class NewestRecords {
 public:
  void add(std::vector<Record> records);
  /** @return the records in the order of their keys, and leaves none. */
  std::vector<Record> extract();
  /** The same without the removed ones, for a file that replaces all earlier ones of its keys. */
  std::vector<Record> extractPresent();

 private:
  std::map<std::string, Record> records_;
};

}  // namespace switchsaddle::storage
