#pragma once

#include <cstdint>
#include <string>

#include "switchsaddle/routing/router.h"

namespace switchsaddle::front {

/** The body of POST /v1/chat/completions. */
struct CompletionBody {
  /** maximum_tokens is 0 where the caller set no max_tokens. */
  routing::Prompt prompt;
  bool stream = false;
  /** The body for the worker, always asking for a stream. */
  std::string worker_body;
};

/** The body of POST /v1/one-shots. */
struct OneShotBody {
  std::string service;
  /** Empty where there is none. */
  std::string model;
  /** Canonical text for the worker. */
  std::string worker_body;
  /** Equal for bodies that mean the same. */
  std::uint64_t fingerprint = 0;
};

/** Parses the body; throws base::Error with MalformedJson, UnknownField, MissingField or
 * InvalidValue and the path of the first fault. */
CompletionBody parseCompletionBody(const std::string& body);

/** As parseCompletionBody(), for one-shots. */
OneShotBody parseOneShotBody(const std::string& body);

}  // namespace switchsaddle::front
