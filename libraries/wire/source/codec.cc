#include <cereal/types/variant.hpp>
#include <sstream>

#include "switchsaddle/base/error.h"
#include "switchsaddle/base/hash.h"
#include "switchsaddle/wire/bounded_archive.h"
#include "switchsaddle/wire/message.h"

namespace switchsaddle::wire {

namespace {

// The header precedes the body: protocol version, then checksum of the body, both little-endian.
constexpr std::size_t VersionBytes = 2;
constexpr std::size_t ChecksumBytes = 8;
constexpr std::size_t HeaderBytes = VersionBytes + ChecksumBytes;

void appendLittleEndian(std::string& out, std::uint64_t value, std::size_t bytes) {
  for (std::size_t index = 0; index < bytes; ++index) {
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

base::Error malformed(const std::string& message) {
  return {base::ResultCode::MalformedMessage, message};
}

/** @return the body. @throws base::Error with MalformedMessage if the header or the checksum is
 * invalid. */
std::string_view checkedBody(std::string_view bytes) {
  if (bytes.size() < HeaderBytes) {
    throw malformed("message of " + std::to_string(bytes.size()) +
                    " bytes is shorter than its header");
  }
  const std::uint64_t version = readLittleEndian(bytes.substr(0, VersionBytes));
  if (version != ProtocolVersion) {
    throw malformed("message has protocol version " + std::to_string(version) + " instead of " +
                    std::to_string(ProtocolVersion));
  }
  const std::string_view body = bytes.substr(HeaderBytes);
  if (readLittleEndian(bytes.substr(VersionBytes, ChecksumBytes)) != base::hashBytes(body)) {
    throw malformed("message does not match its checksum");
  }
  return body;
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
  bytes.reserve(HeaderBytes + body.size());
  appendLittleEndian(bytes, ProtocolVersion, VersionBytes);
  appendLittleEndian(bytes, base::hashBytes(body), ChecksumBytes);
  bytes += body;
  return bytes;
}

Envelope decode(std::string_view bytes) {
  const std::string_view body = checkedBody(bytes);
  Envelope envelope;
  bool at_end = false;
  try {
    std::istringstream stream{std::string(body)};
    cereal::PortableBinaryInputArchive archive(stream);
    archive(envelope.sender, envelope.kind, envelope.request_id, envelope.message);
    at_end = stream.peek() == std::istringstream::traits_type::eof();
  } catch (const std::exception& exception) {
    throw malformed(exception.what());
  }
  if (!at_end) {
    throw malformed("unexpected bytes after the envelope");
  }
  if (envelope.kind > EnvelopeKind::Reply) {
    throw malformed("unknown envelope kind " +
                    std::to_string(static_cast<unsigned>(envelope.kind)));
  }
  return envelope;
}

}  // namespace switchsaddle::wire
