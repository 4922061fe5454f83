#pragma once

#include <cstdint>
#include <string>

#include "switchsaddle/routing/router.h"

namespace switchsaddle::front {

/** The body of POST /v1/chat/completions. */
struct CompletionBody {
  routing::Prompt prompt;
  bool stream = false;
  /** The body for the worker; it always requests a stream and contains max_tokens. */
  std::string worker_body;
};

/** The body of POST /v1/one-shots. */
struct OneShotBody {
  std::string service;
  /** Empty if the body has none. */
  std::string model;
  /** The body for the worker, as canonical JSON. */
  std::string worker_body;
  /** Hash of the canonical body: equal for equivalent bodies. */
  std::uint64_t fingerprint = 0;
};

/**
 * Parses the body of a completion.
 * @param default_maximum_tokens max_tokens of a body that does not set it.
 * @throws base::Error with MalformedJson, UnknownField, MissingField or InvalidValue, and the path
 * of the first error.
 */
CompletionBody parseCompletionBody(const std::string& body, std::uint32_t default_maximum_tokens);

/**
 * Parses the body of a one-shot request.
 * @throws base::Error with the same codes as parseCompletionBody().
 */
OneShotBody parseOneShotBody(const std::string& body);

}  // namespace switchsaddle::front
