#include "binary_targets.h"

#include "switchsaddle/admission/reservation_table.h"
#include "switchsaddle/base/hash.h"
#include "switchsaddle/claims/claim_value.h"
#include "switchsaddle/configuration/register_value.h"
#include "switchsaddle/wire/message.h"
#include "switchsaddle/wire/stored_record.h"

namespace switchsaddle::fuzz {

namespace {

constexpr std::size_t VersionBytes = 2;
constexpr std::size_t ChecksumBytes = 8;

void requireSame(const std::string& first, const std::string& second) {
  if (first != second) {
    throw Violation("an accepted input is encoded differently after it was decoded again");
  }
}

/** Writes the checksum of the bytes that follow it at the offset, so that mutated inputs pass the
 * check. */
std::string withChecksum(std::string bytes, std::size_t offset) {
  if (bytes.size() < offset + ChecksumBytes) {
    return bytes;
  }
  std::uint64_t hash = base::hashBytes(std::string_view(bytes).substr(offset + ChecksumBytes));
  for (std::size_t index = 0; index < ChecksumBytes; ++index) {
    bytes[offset + index] = static_cast<char>(hash & 0xffU);
    hash >>= 8U;
  }
  return bytes;
}

template <std::size_t... Index>
std::vector<std::string> encodeEachMessage(std::index_sequence<Index...> /*kinds*/) {
  const base::NodeAddress sender{"127.0.0.1", 7000};
  return {wire::encode({sender, wire::EnvelopeKind::Request, Index + 1,
                        wire::Message(std::in_place_index<Index>)})...};
}

std::vector<std::string> messageSamples() {
  constexpr std::size_t Kinds = std::variant_size_v<wire::Message>;
  std::vector<std::string> samples = encodeEachMessage(std::make_index_sequence<Kinds>());
  wire::ClaimBegin claim;
  claim.tenant = "editors";
  claim.idempotency_key = "order-1";
  wire::WorkerView view;
  view.term = 3;
  view.workers.resize(2);
  view.workers.front().id = "w1";
  view.workers.front().models = {"summary-1", "summary-2"};
  const base::NodeAddress sender{"127.0.0.1", 7000};
  samples.push_back(wire::encode({sender, wire::EnvelopeKind::Request, 9, claim}));
  samples.push_back(wire::encode({sender, wire::EnvelopeKind::Notification, 0, view}));
  return samples;
}

void readMessage(const std::string& input) {
  const wire::Envelope envelope = wire::decode(withChecksum(input, VersionBytes));
  const std::string written = wire::encode(envelope);
  requireSame(wire::encode(wire::decode(written)), written);
}

std::vector<std::string> registerSamples() {
  configuration::RegisterValue value;
  configuration::Change change;
  change.change_id = "c1";
  change.set.push_back({"tuning/route-weight-alpha", "1.5"});
  const configuration::ChangeDecision decision = configuration::decideChange(value, change);
  return {configuration::encodeRegisterValue(value),
          configuration::encodeRegisterValue(decision.next)};
}

void readRegister(const std::string& input) {
  const auto value = configuration::decodeRegisterValue(withChecksum(input, 0));
  const std::string written = configuration::encodeRegisterValue(value);
  requireSame(configuration::encodeRegisterValue(configuration::decodeRegisterValue(written)),
              written);
}

std::vector<std::string> reservationSamples() {
  admission::ReservationTable table;
  table.term = 4;
  table.reserved[{{"127.0.0.1", 7000}, 12}] = {{"editors", 3}, {"schedulers/clips", 1}};
  return {admission::encodeReservations(table), admission::encodeReservations({})};
}

void readReservations(const std::string& input) {
  const auto table = admission::decodeReservations(input);
  const std::string written = admission::encodeReservations(table);
  requireSame(admission::encodeReservations(admission::decodeReservations(written)), written);
}

std::vector<std::string> claimSamples() {
  claims::ClaimValue claim;
  claim.state = wire::ClaimState::Ran;
  claim.fingerprint = 77;
  claim.run = "run-1";
  claim.http_status = 200;
  claim.answer = "{\"ok\":true}";
  claim.lifetime_s = 86'400;
  return {claims::encodeClaim(claim), claims::encodeClaim({})};
}

void readClaim(const std::string& input) {
  const claims::ClaimValue claim = claims::decodeClaim(input);
  requireSame(claims::encodeClaim(claim), input);
}

std::vector<std::string> acceptorSetSamples() {
  wire::AcceptorSet set;
  set.epoch = 2;
  set.members = {{{"127.0.0.1", 7000}, 5}, {{"127.0.0.2", 7000}, 6}};
  return {wire::writeRecord(set)};
}

void readAcceptorSet(const std::string& input) {
  wire::AcceptorSet set;
  wire::readRecord(input, set);
  requireSame(wire::writeRecord(set), input);
}

}  // namespace

std::vector<Target> binaryTargets() {
  return {{"message", messageSamples(), readMessage},
          {"register-value", registerSamples(), readRegister},
          {"reservations", reservationSamples(), readReservations},
          {"claim", claimSamples(), readClaim},
          {"acceptor-set", acceptorSetSamples(), readAcceptorSet}};
}

}  // namespace switchsaddle::fuzz
