#include <cereal/types/variant.hpp>
#include <sstream>

#include "switchsaddle/base/error.h"
#include "switchsaddle/base/hash.h"
#include "switchsaddle/wire/bounded_archive.h"
#include "switchsaddle/wire/message.h"

namespace switchsaddle::wire {

namespace {

/** Bytes before the body: protocol version (2) and checksum of the body (8), little-endian. */
constexpr std::size_t HeaderSize = 10;

void appendLittleEndian(std::string& out, std::uint64_t value, int bytes) {
  for (int index = 0; index < bytes; ++index) {
    out.push_back(static_cast<char>((value >> (8 * index)) & 0xffU));
  }
}

std::uint64_t readLittleEndian(std::string_view bytes) {
  std::uint64_t value = 0;
  for (std::size_t index = 0; index < bytes.size(); ++index) {
    value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[index])) << (8 * index);
  }
  return value;
}

}  // namespace

std::string encode(const Envelope& envelope) {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(envelope.sender, envelope.kind, envelope.request_id, envelope.message);
  }
  const std::string body = std::move(stream).str();
  std::string bytes;
  bytes.reserve(HeaderSize + body.size());
  appendLittleEndian(bytes, ProtocolVersion, 2);
  appendLittleEndian(bytes, base::hashBytes(body), 8);
  bytes += body;
  return bytes;
}

Envelope decode(std::string_view bytes) {
  if (bytes.size() < HeaderSize) {
    throw base::Error(base::ResultCode::MalformedMessage, "message is shorter than its header");
  }
  if (readLittleEndian(bytes.substr(0, 2)) != ProtocolVersion) {
    throw base::Error(base::ResultCode::MalformedMessage, "message is of another protocol version");
  }
  const std::string_view body = bytes.substr(HeaderSize);
  if (readLittleEndian(bytes.substr(2, 8)) != base::hashBytes(body)) {
    throw base::Error(base::ResultCode::MalformedMessage, "message fails its checksum");
  }
  Envelope envelope;
  bool at_end = false;
  try {
    std::istringstream stream{std::string(body)};
    cereal::PortableBinaryInputArchive archive(stream);
    archive(envelope.sender, envelope.kind, envelope.request_id, envelope.message);
    at_end = stream.peek() == std::istringstream::traits_type::eof();
  } catch (const std::exception& exception) {
    throw base::Error(base::ResultCode::MalformedMessage, exception.what());
  }
  if (!at_end || envelope.kind > EnvelopeKind::Reply) {
    throw base::Error(base::ResultCode::MalformedMessage, "message is not an envelope");
  }
  return envelope;
}

}  // namespace switchsaddle::wire
