#include <gtest/gtest.h>

#include <type_traits>

#include "switchsaddle/allocation_tracker/allocation_tracker.h"
#include "switchsaddle/base/error.h"
#include "switchsaddle/base/hash.h"
#include "switchsaddle/base/random.h"
#include "switchsaddle/wire/message.h"

namespace switchsaddle::wire {
namespace {

constexpr std::size_t HeaderBytes = 10;
constexpr std::uint64_t Seed = 20'261'202;
constexpr int Mutations = 20'000;

/** Archive that fills each field of a message with a random value. */
class RandomFiller {
 public:
  explicit RandomFiller(base::RandomSource& random) : random_(random) {}

  template <class... Fields>
  void operator()(Fields&... fields) {
    (fill(fields), ...);
  }

 private:
  void fill(std::string& text) {
    text.clear();
    for (std::uint64_t remaining = random_.below(20); remaining > 0; --remaining) {
      text.push_back(static_cast<char>(random_.next()));
    }
  }
  template <class Element>
  void fill(std::vector<Element>& elements) {
    elements.resize(random_.below(4));
    for (Element& element : elements) {
      fill(element);
    }
  }
  template <class Field>
  void fill(Field& field) {
    if constexpr (std::is_same_v<Field, bool>) {
      field = random_.chance(0.5);
    } else if constexpr (std::is_floating_point_v<Field>) {
      field = random_.uniform();
    } else if constexpr (std::is_arithmetic_v<Field>) {
      field = static_cast<Field>(random_.next());
    } else if constexpr (std::is_enum_v<Field>) {
      field = static_cast<Field>(random_.below(2));
    } else {
      field.serialize(*this);
    }
  }

  base::RandomSource& random_;
};

template <std::size_t Index = 0>
Message randomMessage(std::size_t index, base::RandomSource& random) {
  if constexpr (Index < std::variant_size_v<Message>) {
    if (index != Index) {
      return randomMessage<Index + 1>(index, random);
    }
    std::variant_alternative_t<Index, Message> message;
    RandomFiller filler(random);
    message.serialize(filler);
    return message;
  } else {
    return {};
  }
}

Envelope randomEnvelope(std::size_t index, base::RandomSource& random) {
  Envelope envelope;
  envelope.sender = {"127.0.0.1", static_cast<std::uint16_t>(random.next())};
  envelope.kind = static_cast<EnvelopeKind>(random.below(3));
  envelope.request_id = random.next();
  envelope.message = randomMessage(index, random);
  return envelope;
}

void repairChecksum(std::string& bytes) {
  const std::uint64_t checksum = base::hashBytes(std::string_view(bytes).substr(HeaderBytes));
  for (std::size_t index = 0; index < 8; ++index) {
    bytes[2 + index] = static_cast<char>((checksum >> (8 * index)) & 0xffU);
  }
}

/** @return whether the bytes decode; an exception other than MalformedMessage fails the test. */
bool decodes(std::string_view bytes) {
  try {
    decode(bytes);
    return true;
  } catch (const base::Error& error) {
    EXPECT_EQ(error.code(), base::ResultCode::MalformedMessage);
  } catch (...) {
    ADD_FAILURE() << "decode() threw an unexpected type";
  }
  return false;
}

void corrupt(std::string& bytes, base::RandomSource& random) {
  const std::uint64_t flips = 1 + random.below(4);
  for (std::uint64_t flip = 0; flip < flips; ++flip) {
    const auto mask = static_cast<char>(1 + random.below(255));
    char& byte = bytes[random.below(bytes.size())];
    byte = static_cast<char>(byte ^ mask);
  }
}

TEST(CodecTest, EveryMessageRoundTrips) {
  base::RandomSource random(Seed);
  for (std::size_t index = 0; index < std::variant_size_v<Message>; ++index) {
    for (int repeat = 0; repeat < 50; ++repeat) {
      const Envelope envelope = randomEnvelope(index, random);
      const std::string bytes = encode(envelope);
      const Envelope decoded = decode(bytes);
      EXPECT_EQ(decoded.sender, envelope.sender);
      EXPECT_EQ(decoded.kind, envelope.kind);
      EXPECT_EQ(decoded.request_id, envelope.request_id);
      EXPECT_EQ(decoded.message.index(), index);
      EXPECT_EQ(encode(decoded), bytes) << "message index " << index;
    }
  }
}

TEST(CodecTest, CorruptedBytesAreRejected) {
  base::RandomSource random(Seed);
  for (int count = 0; count < Mutations; ++count) {
    const std::string original =
        encode(randomEnvelope(random.below(std::variant_size_v<Message>), random));
    std::string bytes = original;
    if (random.chance(0.5)) {
      corrupt(bytes, random);
    } else {
      bytes.resize(random.below(bytes.size()));
    }
    EXPECT_TRUE(bytes == original || !decodes(bytes));
  }
}

TEST(CodecTest, ForgedBytesThrowOnlyMalformedMessage) {
  base::RandomSource random(Seed);
  int rejected = 0;
  for (int count = 0; count < Mutations; ++count) {
    std::string bytes = encode(randomEnvelope(random.below(std::variant_size_v<Message>), random));
    if (random.chance(0.5)) {
      corrupt(bytes, random);
    } else {
      bytes.resize(HeaderBytes + random.below(bytes.size() - HeaderBytes));
    }
    repairChecksum(bytes);
    rejected += decodes(bytes) ? 0 : 1;
  }
  EXPECT_GT(rejected, Mutations / 4);
}

TEST(CodecTest, ForgedLengthsAllocateAtMostOneChunk) {
  constexpr std::size_t AllocationLimit = 1U << 20U;
  // The size 2^33 bytes (8 GiB), little-endian.
  const std::string forged("\0\0\0\0\2\0\0\0", 8);
  base::RandomSource random(Seed);
  for (std::size_t index = 0; index < std::variant_size_v<Message>; ++index) {
    const std::string original = encode(randomEnvelope(index, random));
    for (std::size_t offset = HeaderBytes; offset + forged.size() <= original.size(); ++offset) {
      std::string bytes = original;
      bytes.replace(offset, forged.size(), forged);
      repairChecksum(bytes);
      allocation_tracker::resetLargestAllocation();
      decodes(bytes);
      ASSERT_LT(allocation_tracker::largestAllocation(), AllocationLimit)
          << "message index " << index << " at " << offset;
    }
  }
}

TEST(CodecTest, RejectsTrailingBytesAndOtherVersions) {
  std::string bytes = encode(Envelope{});
  std::string longer = bytes + "x";
  repairChecksum(longer);
  EXPECT_FALSE(decodes(longer));
  bytes[0] = static_cast<char>(bytes[0] + 1);
  EXPECT_FALSE(decodes(bytes));
  EXPECT_FALSE(decodes(""));
}

}  // namespace
}  // namespace switchsaddle::wire
