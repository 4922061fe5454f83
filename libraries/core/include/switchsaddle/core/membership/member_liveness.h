#pragma once

#include <map>
#include <string>
#include <vector>

#include "switchsaddle/base/time.h"
#include "switchsaddle/core/membership/member_spread.h"
#include "switchsaddle/wire/control_messages.h"

namespace switchsaddle::core {

/**
 * When the members of the acceptor set last replied to a heartbeat, and the zones that they
 * reported. Runs on the control strand.
 */
class MemberLiveness {
 public:
  using Members = std::vector<wire::AcceptorMember>;

  /** @param timeout a member without a heartbeat for this long counts as unresponsive. */
  explicit MemberLiveness(base::Duration timeout) : timeout_(timeout) {}

  /** Clears the recorded times; the time-outs of all members restart. */
  void reset() { last_seen_.clear(); }
  /** Removes members that left the set, and starts the time-outs of those that joined. */
  void setMembers(const Members& members, base::TimePoint now);
  bool tracks(const wire::AcceptorMember& member) const { return last_seen_.contains(member); }
  void noteAlive(const wire::AcceptorMember& member, const std::string& zone, base::TimePoint now);
  /** Expires the member's time-out, since its process has ended. */
  void noteEnded(const wire::AcceptorMember& member, base::TimePoint now);

  const std::map<wire::AcceptorMember, base::TimePoint>& lastSeen() const { return last_seen_; }
  bool isUnresponsive(base::TimePoint last_seen, base::TimePoint now) const {
    return now - last_seen >= timeout_;
  }
  /**
   * @param excluded left out; may be null.
   * @return the members with the zones they reported.
   */
  std::vector<PlacedCore> placed(const Members& members,
                                 const wire::AcceptorMember* excluded = nullptr) const;

 private:
  base::Duration timeout_;
  /** When each member was last seen; initially, when tracking began. */
  std::map<wire::AcceptorMember, base::TimePoint> last_seen_;
  std::map<wire::AcceptorMember, std::string> zones_;
};

}  // namespace switchsaddle::core
