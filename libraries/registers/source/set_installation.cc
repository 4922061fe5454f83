#include "set_installation.h"

#include <memory>
#include <utility>
#include <vector>

#include "acceptor_members.h"
#include "quorum_tally.h"

namespace switchsaddle::registers {

namespace {

/** The installation of one set at the members of the counted set. */
struct Installation {
  Installation(const wire::AcceptorSet& counted, std::size_t calls)
      : tally(counted), outstanding(calls) {}
  QuorumTally tally;
  std::size_t outstanding;
  SetInstallResult result;
};

void countAnswer(Installation& installation, const base::NodeAddress& from, std::uint64_t epoch,
                 const wire::AcceptorSetInstallReply* reply) {
  if (reply == nullptr) {
    return;
  }
  if (reply->acceptor_set.epoch > installation.result.newest.epoch) {
    installation.result.newest = reply->acceptor_set;
  }
  if (reply->synced && reply->acceptor_set.epoch >= epoch) {
    installation.tally.grant(from, reply->instance);
    installation.result.synced.insert(reply->instance);
  }
}

}  // namespace

void installAtMembers(transport::PeerCalls& calls, const wire::AcceptorSet& set,
                      const wire::AcceptorSet& counted, base::Duration timeout,
                      const std::function<void(const SetInstallResult&)>& callback) {
  const std::vector<base::NodeAddress> addresses = memberAddresses(counted);
  const auto installation = std::make_shared<Installation>(counted, addresses.size());
  for (const base::NodeAddress& address : addresses) {
    calls.call(
        address, wire::AcceptorSetInstallRequest{set}, timeout,
        [installation, address, epoch = set.epoch, callback](const transport::CallResult& result) {
          countAnswer(*installation, address, epoch, result.as<wire::AcceptorSetInstallReply>());
          if (--installation->outstanding == 0) {
            installation->result.quorum = installation->tally.reached();
            callback(installation->result);
          }
        });
  }
}

}  // namespace switchsaddle::registers
