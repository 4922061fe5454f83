#pragma once

#include <functional>
#include <memory>
#include <string>

#include "switchsaddle/configuration/source_document.h"
#include "switchsaddle/core/control/control_dependencies.h"
#include "switchsaddle/http/message.h"

namespace switchsaddle::core {

/**
 * The operators' control API, independent of any HTTP server: authenticates a request, routes it to
 * the handler of its operation, and responds through the callback, once. Every failure is a JSON
 * error with a result code. Reads of the configuration are confirmed by a quorum. Runs on the
 * control strand.
 */
class ControlService {
 public:
  using Respond = std::function<void(http::Response)>;
  using SourceReader =
      std::function<void(base::ResultCode, const configuration::SourceDocument& source)>;

  explicit ControlService(ControlDependencies dependencies);
  ~ControlService();
  ControlService(const ControlService&) = delete;
  ControlService& operator=(const ControlService&) = delete;

  /** @return whether the target's path belongs to the control API, with any method. */
  static bool serves(const std::string& target);
  void handle(const http::Request& request, Respond respond);

  /** For other interfaces, which authenticate their callers themselves. */
  ChangeCoordinator& coordinator() { return dependencies_.coordinator; }
  /** @return the caller of a request that is read now, for coordinator(). */
  Caller callerOf(const http::Request& request) const;
  /** Reads the source document, confirmed by a quorum; see coordinator() for authentication. */
  void readSource(SourceReader reader);

 private:
  struct Handlers;

  ControlDependencies dependencies_;
  std::unique_ptr<Handlers> handlers_;
};

}  // namespace switchsaddle::core
