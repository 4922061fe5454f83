#pragma once

#include <cstdint>
#include <string>

#include "switchsaddle/routing/router.h"

namespace switchsaddle::front {

/** The body of POST /v1/chat/completions. */
struct CompletionBody {
  routing::Prompt prompt;
  bool stream = false;
  /** The body for the worker, always asking for a stream and holding max_tokens. */
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

/** Parses the body, in which `default_maximum_tokens` stands in for an absent max_tokens; throws
 * base::Error with MalformedJson, UnknownField, MissingField or InvalidValue and the path of the
 * first fault. */
CompletionBody parseCompletionBody(const std::string& body, std::uint32_t default_maximum_tokens);

/** As parseCompletionBody(), for one-shots. */
OneShotBody parseOneShotBody(const std::string& body);

}  // namespace switchsaddle::front
