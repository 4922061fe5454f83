#include "switchsaddle/sessions/address_digest.h"

#include "switchsaddle/base/hash.h"

namespace switchsaddle::sessions {

namespace {

template <class Addresses>
std::uint64_t digestOf(const Addresses& addresses) {
  std::uint64_t digest = base::hashBytes("");
  for (const base::NodeAddress& address : addresses) {
    digest = base::combineHashes(digest, base::hashBytes(address.toString()));
  }
  return digest;
}

}  // namespace

std::uint64_t digestOfAddresses(const std::vector<base::NodeAddress>& addresses) {
  return digestOf(addresses);
}

std::uint64_t digestOfFronts(const std::set<base::NodeAddress>& fronts) {
  return digestOf(fronts);
}

}  // namespace switchsaddle::sessions
