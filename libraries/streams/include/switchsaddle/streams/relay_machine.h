#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "switchsaddle/base/result_code.h"
#include "switchsaddle/streams/event_stream_parser.h"
#include "switchsaddle/streams/sequence_checker.h"

namespace switchsaddle::streams {

/** The state of the relay of one caller's stream. */
enum class RelayState : std::uint8_t {
  /** No chunk has been emitted; the request may be retried on another worker. */
  BeforeFirstChunk,
  Relaying,
  /** The worker has completed the run, and "[DONE]" has been emitted. */
  Finished,
  /** The error event has been emitted. */
  Broken,
};

/** The result of one input to the relay. */
struct RelayStep {
  /** Events for the caller, in order, as text/event-stream. */
  std::vector<std::string> events;
  /** Ok, or the failure of this attempt. On a failure the owner closes the worker's connection. */
  base::ResultCode code = base::ResultCode::Ok;
};

/**
 * State machine that relays one run from a worker to one caller.
 *
 * Invariants: chunks are emitted in order, once each, numbered from 0 without gaps, and belong to
 * one run. "[DONE]" is emitted only if the worker itself ended the complete run. Before the first
 * chunk a failed attempt can be replaced by another; afterwards a failure ends the stream with an
 * error event. Nothing is emitted after "[DONE]" or the error event.
 *
 * Memory is bounded by backpressure: the owner reads from the worker only while mayRead() is true.
 * The number of events that wait to be written is therefore at most `maximum_outstanding` plus the
 * events of one read. Runs on the strand of the caller's connection.
 */
class RelayMachine {
 public:
  static constexpr std::size_t DefaultMaximumOutstanding = 16;

  /** @param check_sequence false only in tests that show which failures the check prevents. */
  explicit RelayMachine(std::size_t maximum_outstanding = DefaultMaximumOutstanding,
                        bool check_sequence = true)
      : maximum_outstanding_(maximum_outstanding), check_sequence_(check_sequence) {}

  /**
   * Starts a new attempt on another worker.
   *
   * @throws base::Error with InternalError unless mayRetryElsewhere().
   */
  void beginAttempt();
  /** @param run the id of the run in the worker's response header; may be empty. */
  void onHead(const std::string& run);
  /** Processes bytes of the worker's body. */
  RelayStep onBytes(std::string_view bytes);
  /** @return StreamBroken if the worker's body has ended before the run was finished, otherwise Ok.
   */
  base::ResultCode onWorkerEnd() const;
  /**
   * Ends the stream with an error event, which carries the code, the index of the last chunk and
   * whether a retry is safe. Emits nothing if the stream has ended already.
   */
  RelayStep endWithError(base::ResultCode code);
  /** Must be called when an event has been written to the caller's socket. */
  void onWritten();

  bool mayRead() const { return outstanding_ < maximum_outstanding_; }
  bool mayRetryElsewhere() const { return state_ == RelayState::BeforeFirstChunk; }
  bool ended() const { return state_ == RelayState::Finished || state_ == RelayState::Broken; }
  RelayState state() const { return state_; }
  /** @return the number of emitted events that have not been written. */
  std::size_t outstanding() const { return outstanding_; }
  /** @return the size of the worker's incomplete event. */
  std::size_t pendingBytes() const { return parser_.pendingBytes(); }
  /** @return the number of emitted chunks. */
  std::uint64_t chunks() const { return chunks_; }
  /** @return the number of emitted output tokens. */
  std::uint64_t tokens() const { return tokens_; }
  const std::string& run() const { return checker_.run(); }

 private:
  /** Emits the parsed events up to the first sequence fault or the end of the run. */
  void emitAll(const std::vector<WorkerEvent>& events, RelayStep& step);
  void emit(const WorkerEvent& event, RelayStep& step);

  std::size_t maximum_outstanding_;
  bool check_sequence_;
  RelayState state_ = RelayState::BeforeFirstChunk;
  EventStreamParser parser_;
  SequenceChecker checker_;
  /** The failure of the current attempt. */
  base::ResultCode fault_ = base::ResultCode::Ok;
  std::size_t outstanding_ = 0;
  std::uint64_t chunks_ = 0;
  std::uint64_t tokens_ = 0;
};

}  // namespace switchsaddle::streams
