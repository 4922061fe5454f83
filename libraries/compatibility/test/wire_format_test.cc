#include <gtest/gtest.h>

#include "golden_file.h"
#include "switchsaddle/wire/message.h"
#include "value_filler.h"

namespace switchsaddle::compatibility {
namespace {

template <std::size_t Index>
std::string encodedKind() {
  using Kind = std::variant_alternative_t<Index, wire::Message>;
  wire::Envelope envelope;
  envelope.sender = {"10.1.2.3", 7400};
  envelope.kind = wire::EnvelopeKind::Reply;
  envelope.request_id = 0x0102030405060708U;
  envelope.message = ValueFiller::filled<Kind>();
  return std::to_string(Index) + " " + hexText(wire::encode(envelope)) + "\n";
}

template <std::size_t... Indices>
std::string encodedKinds(std::index_sequence<Indices...> /*kinds*/) {
  return (encodedKind<Indices>() + ...);
}

TEST(WireFormatTest, EveryMessageKeepsItsBytes) {
  constexpr std::size_t Kinds = std::variant_size_v<wire::Message>;
  expectGolden("wire_messages.txt", encodedKinds(std::make_index_sequence<Kinds>()));
}

}  // namespace
}  // namespace switchsaddle::compatibility
