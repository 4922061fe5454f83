#pragma once

#include <stdexcept>
#include <string>

#include "switchsaddle/base/result_code.h"

namespace switchsaddle::base {

/** An error with its result code and, where the fault lies in a document, the path of the faulty
 * place. */
class Error : public std::runtime_error {
 public:
  Error(ResultCode code, const std::string& message, std::string path = {})
      : std::runtime_error(message), code_(code), path_(std::move(path)) {}
  ResultCode code() const { return code_; }
  const std::string& path() const { return path_; }

 private:
  ResultCode code_;
  std::string path_;
};

}  // namespace switchsaddle::base
