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

/** Bounds of a copy. */
struct RegisterTransferOptions {
  base::Duration call_timeout{};
  std::uint32_t page_limit = 0;
};

/**
 * Copies every register that a majority of a joint set's previous members holds into one new
 * member, page by page, each register at its highest accepted ballot. A register that the new
 * member cannot take, because it has promised a higher ballot, is proposed anew instead. Ends with
 * false at the first page that fails; a later copy starts over, and what is already held is not
 * written again.
 */
class RegisterTransfer : public std::enable_shared_from_this<RegisterTransfer> {
 public:
  using DoneCallback = std::function<void(bool complete)>;

  RegisterTransfer(transport::PeerCalls& calls, QuorumProposer& proposer, wire::AcceptorSet joint,
                   wire::AcceptorMember target, RegisterTransferOptions options);
  /** `on_page` is called after each page copied. */
  void start(std::function<void()> on_page, DoneCallback on_done);
  /** No callback runs afterwards. */
  void cancel();

 private:
  void requestPage();
  void onPage(std::uint64_t page, const base::NodeAddress& from,
              const transport::CallResult& result);
  void mergePage();
  void installPage();
  void proposeAnew(std::size_t index);
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
  /** Of all sources so far, and what the target was last told. */
  wire::Ballot removed_floor_;
  wire::Ballot installed_floor_;
  std::vector<wire::RegisterScanEntry> entries_;
  bool last_page_ = false;
  bool proposed_anew_ = false;
};

}  // namespace switchsaddle::registers
