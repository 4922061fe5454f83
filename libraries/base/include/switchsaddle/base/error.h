#pragma once

#include <stdexcept>
#include <string>

#include "switchsaddle/base/result_code.h"

namespace switchsaddle::base {

/** Exception with a result code, a message and, for a fault in a document, its path. */
class Error : public std::runtime_error {
 public:
  /**
   * @param message what is wrong, with the offending value.
   * @param path location of the fault in a document, such as "$.workers[2].id"; empty if none.
   */
  Error(ResultCode code, const std::string& message, std::string path = {})
      : std::runtime_error(message), code_(code), path_(std::move(path)) {}
  ResultCode code() const { return code_; }
  const std::string& path() const { return path_; }

 private:
  ResultCode code_;
  std::string path_;
};

}  // namespace switchsaddle::base
