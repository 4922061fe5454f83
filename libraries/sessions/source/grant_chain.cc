#include "grant_chain.h"

#include <algorithm>

namespace switchsaddle::sessions {

bool GrantChain::add(const ReceivedGrant& grant) {
  if (!valid(grant.received_at)) {
    began_at_ = grant.received_at;
    expires_at_ = grant.expires_at;
    required_version_.reset();
    if (version_of_first_grant_) {
      required_version_ = grant.committed_version;
    }
    return true;
  }
  expires_at_ = std::max(*expires_at_, grant.expires_at);
  if (!required_version_ && grant.requested_at >= began_at_) {
    required_version_ = grant.committed_version;
  }
  return false;
}

}  // namespace switchsaddle::sessions
