#include "switchsaddle/workers/list_bounds.h"

#include "switchsaddle/configuration/json_value.h"

namespace switchsaddle::workers {

bool ListReading::addPage(std::string_view text) {
  bytes_ += text.size();
  ++pages_;
  return bytes_ <= MaximumListBytes && pages_ <= MaximumListPages &&
         !configuration::hasMoreValues(text, MaximumListValues);
}

}  // namespace switchsaddle::workers
