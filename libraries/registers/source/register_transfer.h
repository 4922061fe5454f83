#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "quorum_tally.h"
#include "switchsaddle/registers/quorum_proposer.h"

namespace switchsaddle::registers {

/** Limits of a transfer. */
struct RegisterTransferOptions {
  /** Timeout of each request. */
  base::Duration call_timeout{};
  /** Maximum number of registers in one page. */
  std::uint32_t page_limit = 0;
  /** For tests only. */
  bool skip_promises = false;
};

/**
 * Copies the registers of a majority of a joint set's previous members to one member of the next
 * set, page by page, each register at its highest accepted ballot and with the highest promise.
 *
 * Invariant, together with AcceptorSetChange: if an accept request was sent at a ballot, enough
 * members have promised that ballot that each later quorum contains one of them. Otherwise a value
 * that was accepted by a member which the transfer did not read could displace a value that was
 * chosen later at a lower ballot.
 *
 * If the target has promised a higher ballot for a register and rejects it, the registers of that
 * page are proposed again. The transfer
 * ends at the first page that fails. A later transfer starts from the beginning; registers that the
 * target already has are not accepted again. Runs on the acceptor's strand.
 */
class RegisterTransfer : public std::enable_shared_from_this<RegisterTransfer> {
 public:
  using DoneCallback = std::function<void(bool complete)>;

  RegisterTransfer(transport::PeerCalls& calls, QuorumProposer& proposer, wire::AcceptorSet joint,
                   wire::AcceptorMember target, RegisterTransferOptions options);
  /**
   * @param on_page called after each page copied.
   * @param on_done called once, with false if a page failed.
   */
  void start(std::function<void()> on_page, DoneCallback on_done);
  /** Ends the transfer without any callback. */
  void cancel();

 private:
  void requestPage();
  void onPage(std::uint64_t page, const base::NodeAddress& from,
              const transport::CallResult& result);
  /** Merges the replies into one page, up to the last key that every reply covers. */
  void mergePage();
  void installPage();
  void onInstalled(const transport::CallResult& result);
  /** Proposes the page's registers from `index` on again, and then installs the page. */
  void proposeAgain(std::size_t index);
  void nextPage();
  void end(bool complete);

  transport::PeerCalls& calls_;
  QuorumProposer& proposer_;
  wire::AcceptorSet joint_;
  wire::AcceptorMember target_;
  RegisterTransferOptions options_;
  std::function<void()> on_page_;
  DoneCallback on_done_;
  std::string cursor_;
  std::uint64_t page_ = 0;
  std::size_t outstanding_ = 0;
  std::optional<QuorumTally> tally_;
  std::vector<wire::RegisterScanReply> replies_;
  /** Highest floor of the sources so far. */
  wire::Ballot removed_floor_;
  /** The floor that was last sent to the target. */
  wire::Ballot installed_floor_;
  std::vector<wire::RegisterScanEntry> entries_;
  bool last_page_ = false;
  bool proposed_again_ = false;
};

}  // namespace switchsaddle::registers
