#include "switchsaddle/front/request/caller_connection.h"

#include <utility>

namespace switchsaddle::front {

CallerConnection::CallerConnection(base::Dispatcher& dispatcher, http::ResponseWriterPtr writer)
    : dispatcher_(dispatcher), writer_(std::move(writer)) {}

void CallerConnection::onDisconnected(std::function<void()> callback) {
  writer_->onClientDisconnected(
      [&dispatcher = dispatcher_, callback = std::move(callback)] { dispatcher.post(callback); });
}

void CallerConnection::respond(http::Response response) {
  writer_->respond(std::move(response));
}

void CallerConnection::startStream(http::Response head) {
  writer_->startStream(std::move(head));
}

void CallerConnection::writeChunk(std::string chunk, WriteCallback written) {
  writer_->writeChunk(
      std::move(chunk), [&dispatcher = dispatcher_, written = std::move(written)](bool accepted) {
        const WriteOutcome outcome = accepted ? WriteOutcome::Written : WriteOutcome::Disconnected;
        dispatcher.post([written, outcome] { written(outcome); });
      });
}

void CallerConnection::endStream() {
  writer_->endStream();
}

void CallerConnection::abort() {
  writer_->abort();
}

}  // namespace switchsaddle::front
