#include "set_install_round.h"

#include <memory>
#include <utility>
#include <vector>

#include "quorum_tally.h"

namespace switchsaddle::registers {

namespace {

struct Round {
  Round(const wire::AcceptorSet& counted, std::size_t calls) : tally(counted), outstanding(calls) {}
  QuorumTally tally;
  std::size_t outstanding;
  SetInstallResult result;
};

void count(Round& round, const base::NodeAddress& from, std::uint64_t epoch,
           const wire::AcceptorSetInstallReply* reply) {
  if (reply == nullptr) {
    return;
  }
  if (reply->acceptor_set.epoch > round.result.newest.epoch) {
    round.result.newest = reply->acceptor_set;
  }
  if (reply->synced && reply->acceptor_set.epoch >= epoch) {
    round.tally.grant(from, reply->instance);
    round.result.synced.insert(reply->instance);
  }
}

}  // namespace

void installAtMembers(transport::PeerCalls& calls, const wire::AcceptorSet& set,
                      const wire::AcceptorSet& counted, base::Duration timeout,
                      const std::function<void(const SetInstallResult&)>& callback) {
  const std::vector<base::NodeAddress> addresses = memberAddresses(counted);
  const auto round = std::make_shared<Round>(counted, addresses.size());
  for (const base::NodeAddress& address : addresses) {
    calls.call(address, wire::AcceptorSetInstallRequest{set}, timeout,
               [round, address, epoch = set.epoch, callback](const transport::CallResult& result) {
                 count(*round, address, epoch, result.as<wire::AcceptorSetInstallReply>());
                 if (--round->outstanding == 0) {
                   round->result.quorum = round->tally.reached();
                   callback(round->result);
                 }
               });
  }
}

}  // namespace switchsaddle::registers
