#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace switchsaddle::testbed {

/** How a worker misanswers a request that asks for it by the script's name. */
struct AnswerScript {
  std::string name;
  /** What follows the status line and the line that echoes the request's id. */
  std::string opening;
  /** Sent after the opening, again and again until `filler_bytes` have been sent. */
  std::string filler = {};
  std::size_t filler_bytes = 0;
};

/** @return all scripts. */
const std::vector<AnswerScript>& answerScripts();

/** @return the text by which a request asks for a script, in its target or at the start of its
 * body. */
std::string answerRequest(std::string_view name);

/** @return the script that the text asks for, or nullptr if it asks for none. */
const AnswerScript* requestedAnswer(std::string_view text);

}  // namespace switchsaddle::testbed
