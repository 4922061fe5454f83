#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "switchsaddle/base/result_code.h"
#include "switchsaddle/streams/event_stream_parser.h"
#include "switchsaddle/streams/sequence_checker.h"

namespace switchsaddle::streams {

/** Where the relay of one caller's stream stands. */
enum class RelayState : std::uint8_t {
  /** No piece has been handed out: another worker may still be tried. */
  BeforeFirstChunk,
  Relaying,
  /** The worker's own end has been handed out. */
  Finished,
  /** The error event has been handed out. */
  Broken,
};

/** What the relay wants done after some input. */
struct RelayStep {
  /** Events for the caller, in order, each in the text of text/event-stream. */
  std::vector<std::string> events;
  /** Ok, or why this worker's stream can't go on; the attempt's connection is to be closed. */
  base::ResultCode code = base::ResultCode::Ok;
};

/**
 * Relays one run from a worker to one caller. Pieces are handed out in order, once each, numbered
 * from 0 without gaps, all of one run. "[DONE]" is handed out only where the worker itself ended
 * the whole run. Until the first piece has been handed out a failed attempt can be replaced by
 * another; afterwards a failure ends the stream with an error event. Nothing is handed out after an
 * end.
 *
 * Memory is bounded: the owner reads on from the worker only while mayRead(); at most
 * `maximum_outstanding` events plus those of one read are then waiting for the caller.
 */
class RelayMachine {
 public:
  static constexpr std::size_t DefaultMaximumOutstanding = 16;

  /** `check_sequence` is false only in tests that show what the check prevents. */
  explicit RelayMachine(std::size_t maximum_outstanding = DefaultMaximumOutstanding,
                        bool check_sequence = true)
      : maximum_outstanding_(maximum_outstanding), check_sequence_(check_sequence) {}

  /** Starts over with another worker. Only while mayRetryElsewhere(); throws base::Error with
   * InternalError else. */
  void beginAttempt();
  /** The run from the worker's response header; may be empty. */
  void onHead(const std::string& run);
  /** Bytes of the worker's body. */
  RelayStep onBytes(std::string_view bytes);
  /** The worker's body has ended or was cut: StreamBroken unless the run is finished. */
  base::ResultCode onWorkerEnd() const;
  /**
   * Ends the stream with an error event; hands out nothing where it has ended already. The event
   * tells the code, the last piece's number and whether asking again is safe.
   */
  RelayStep endWithError(base::ResultCode code);
  /** The caller's socket has taken one event. */
  void onWritten();

  bool mayRead() const { return outstanding_ < maximum_outstanding_; }
  bool mayRetryElsewhere() const { return state_ == RelayState::BeforeFirstChunk; }
  bool ended() const { return state_ == RelayState::Finished || state_ == RelayState::Broken; }
  RelayState state() const { return state_; }
  std::size_t outstanding() const { return outstanding_; }
  /** Pieces handed out. */
  std::uint64_t chunks() const { return chunks_; }
  /** Output tokens handed out. */
  std::uint64_t tokens() const { return tokens_; }
  const std::string& run() const { return checker_.run(); }

 private:
  void handOut(const WorkerEvent& event, RelayStep& step);

  std::size_t maximum_outstanding_;
  bool check_sequence_;
  RelayState state_ = RelayState::BeforeFirstChunk;
  EventStreamParser parser_;
  SequenceChecker checker_;
  base::ResultCode fault_ = base::ResultCode::Ok;
  std::size_t outstanding_ = 0;
  std::uint64_t chunks_ = 0;
  std::uint64_t tokens_ = 0;
};

}  // namespace switchsaddle::streams
