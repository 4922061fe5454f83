#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace switchsaddle::testbed {

/** What an operator asked for. */
enum class ControlOperationKind : std::uint8_t { Change, BeginEvacuation, EndEvacuation, Read };

/** How an operation ended for its operator. */
enum class ControlOutcome : std::uint8_t {
  /** Acknowledged or committed; for a read: answered. */
  Done,
  /** Refused for good. */
  Refused,
  /** Given up without a clear answer; it may have taken effect while its caller waited. */
  Unknown,
};

/** One operation of an operator, with all its resends. Times are in seconds of one clock. */
struct ControlOperation {
  ControlOperationKind kind = ControlOperationKind::Read;
  /** Names the operation in the text of a violation. */
  std::string id;
  /** The zone of an evacuation or its end. */
  std::string zone;
  double invoked_s = 0;
  /** When the answer arrived, or the last resend was given up. */
  double ended_s = 0;
  ControlOutcome outcome = ControlOutcome::Unknown;
  /** Version that a change is based on. */
  std::uint64_t base_version = 0;
  /** Version in the answer; zero if unknown. */
  std::uint64_t version = 0;
  /** The zones that a read showed as evacuated. */
  std::set<std::string> evacuated;
};

/**
 * The operations of all operators on one configuration, and whether a single configuration that
 * they change and read one after the other explains them (linearizability). Thread-safe.
 *
 * Rules: no version is given to two changes. A change makes the version after its base. An
 * operation that began after another one had ended gets no older version. The evacuations that a
 * read shows are those of an order that no later acknowledged order undoes: an order takes effect
 * only while its operator waits for it.
 */
class ControlHistory {
 public:
  void add(ControlOperation operation);
  /** @return a text for each violated rule. */
  std::vector<std::string> violations() const;
  /** @return the number of operations that ended with this outcome. */
  std::size_t count(ControlOutcome outcome) const;

 private:
  void judgeVersions(std::vector<std::string>& found) const;
  void judgeOrder(std::vector<std::string>& found) const;
  void judgeEvacuations(std::vector<std::string>& found) const;
  bool explains(const ControlOperation* order, const ControlOperation& read,
                const std::string& zone) const;
  bool mayShow(const ControlOperation& read, const std::string& zone, bool evacuated) const;

  mutable std::mutex mutex_;
  std::vector<ControlOperation> operations_;
};

}  // namespace switchsaddle::testbed
