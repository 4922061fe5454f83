#include "switchsaddle/fuzz/mutator.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace switchsaddle::fuzz {

namespace {

using namespace std::string_view_literals;

constexpr std::size_t MaxInputBytes = 64U << 10U;
constexpr std::uint64_t MaxChanges = 6;
constexpr std::uint64_t MaxChunkBytes = 64;
constexpr std::uint64_t MaxRepeats = 200;

/** Tokens that often break parsers: limits of numbers, brackets, lengths, quotes, line ends. */
constexpr std::array Tokens{"0"sv,
                            "-1"sv,
                            "1e999"sv,
                            "18446744073709551616"sv,
                            "4294967296"sv,
                            "9223372036854775808"sv,
                            "\"\""sv,
                            "null"sv,
                            "{"sv,
                            "}"sv,
                            "["sv,
                            "]"sv,
                            "\\u0000"sv,
                            "\\ud800"sv,
                            "\xff\xfe"sv,
                            "\xed\xa0\x80"sv,
                            "\0"sv,
                            "\r\n\r\n"sv,
                            "\n\n"sv,
                            ":"sv,
                            ","sv,
                            "Content-Length: 99999999999999999999\r\n"sv,
                            "Transfer-Encoding: chunked\r\n"sv,
                            "ffffffffffffffff"sv,
                            "%00"sv,
                            "%"sv,
                            "\xff\xff\xff\xff\xff\xff\xff\x7f"sv,
                            "\0\0\0\0\0\0\x01\0"sv,
                            "\0\0\0\0\0\0\0\0"sv};

constexpr std::array<unsigned char, 8> SpecialBytes{0x00, 0x01, 0x7f, 0x80, 0xff, 0x0a, 0x22, 0x7b};

}  // namespace

std::string Mutator::next(const std::vector<std::string>& corpus) {
  std::string input = corpus[random_.below(corpus.size())];
  const std::uint64_t changes = 1 + random_.below(MaxChanges);
  for (std::uint64_t number = 0; number < changes; ++number) {
    change(input, corpus);
  }
  if (input.size() > MaxInputBytes) {
    input.resize(MaxInputBytes);
  }
  return input;
}

void Mutator::change(std::string& input, const std::vector<std::string>& corpus) {
  constexpr std::uint64_t Kinds = 6;
  switch (random_.below(Kinds)) {
    case 0:
      flipBit(input);
      break;
    case 1:
      setByte(input);
      break;
    case 2:
      insertToken(input);
      break;
    case 3:
      removeChunk(input);
      break;
    case 4:
      repeatChunk(input);
      break;
    default:
      splice(input, corpus[random_.below(corpus.size())]);
      break;
  }
}

std::size_t Mutator::randomOffset(const std::string& input) {
  return random_.below(input.size() + 1);
}

void Mutator::flipBit(std::string& input) {
  if (!input.empty()) {
    char& byte = input[random_.below(input.size())];
    byte = static_cast<char>(static_cast<unsigned char>(byte) ^ (1U << random_.below(8)));
  }
}

void Mutator::setByte(std::string& input) {
  if (!input.empty()) {
    input[random_.below(input.size())] =
        static_cast<char>(SpecialBytes.at(random_.below(SpecialBytes.size())));
  }
}

void Mutator::insertToken(std::string& input) {
  input.insert(randomOffset(input), Tokens.at(random_.below(Tokens.size())));
}

void Mutator::removeChunk(std::string& input) {
  const std::size_t from = randomOffset(input);
  input.erase(from, 1 + random_.below(MaxChunkBytes));
}

void Mutator::repeatChunk(std::string& input) {
  const std::size_t from = randomOffset(input);
  const std::string chunk = input.substr(from, 1 + random_.below(MaxChunkBytes));
  const std::uint64_t repeats = 1 + random_.below(MaxRepeats);
  std::string repeated;
  for (std::uint64_t number = 0; number < repeats; ++number) {
    repeated += chunk;
  }
  input.insert(from, repeated);
}

void Mutator::splice(std::string& input, const std::string& other) {
  input = input.substr(0, randomOffset(input)) + other.substr(randomOffset(other));
}

}  // namespace switchsaddle::fuzz
