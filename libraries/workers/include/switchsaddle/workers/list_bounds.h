#pragma once

#include <cstddef>
#include <string_view>

#include "switchsaddle/base/time.h"

namespace switchsaddle::workers {

/** Maximum size of one response of the platform: some 14,000 workers. */
inline constexpr std::size_t MaximumListPageBytes = 4U << 20U;
/** Maximum size of all pages of a list together. */
inline constexpr std::size_t MaximumListBytes = 16U << 20U;
/** Maximum number of pages, so that a reading ends even if a token repeats. */
inline constexpr std::size_t MaximumListPages = 2'500;
/** Values of a page's JSON, nested ones included: each takes far more memory than its text. */
inline constexpr std::size_t MaximumListValues = 262'144;
/** Time for one page, however slowly it comes. */
inline constexpr base::Duration ListPageTimeout = std::chrono::seconds(5);

/** What one reading of a list has received, against its bounds. */
class ListReading {
 public:
  /** Adds a page. @return false if the page must not be parsed, nor a further one be read. */
  bool addPage(std::string_view text);

 private:
  std::size_t bytes_ = 0;
  std::size_t pages_ = 0;
};

}  // namespace switchsaddle::workers
