#include "serialise.h"

// Boost 1.81 string_view.hpp needs the full stream type but does not include it.
#include <ostream>

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>

namespace switchsaddle::http {

namespace {

constexpr std::string_view LineEnd = "\r\n";

/** @return whether a header describes framing or connection, which the writer determines. */
bool isFramingHeader(std::string_view name) {
  static constexpr std::array<std::string_view, 4> Names{"connection", "content-length",
                                                         "transfer-encoding", "host"};
  return std::any_of(Names.begin(), Names.end(), [name](std::string_view framing) {
    return boost::beast::iequals({name.data(), name.size()}, {framing.data(), framing.size()});
  });
}

/** Appends the text without characters that would end the header field. */
void appendClean(std::string& out, std::string_view text) {
  std::copy_if(text.begin(), text.end(), std::back_inserter(out), [](char character) {
    return character != '\r' && character != '\n' && character != '\0';
  });
}

void appendHeader(std::string& out, std::string_view name, std::string_view value) {
  appendClean(out, name);
  out += ": ";
  appendClean(out, value);
  out += LineEnd;
}

void appendHeaders(std::string& out, const std::vector<Header>& headers) {
  for (const Header& header : headers) {
    if (!isFramingHeader(header.name)) {
      appendHeader(out, header.name, header.value);
    }
  }
}

}  // namespace

std::string serialiseHead(const Response& response, BodyFraming framing, bool keep_alive) {
  const auto reason =
      boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(response.status));
  std::string out = "HTTP/1.1 " + std::to_string(response.status) + " ";
  out.append(reason.data(), reason.size());
  out += LineEnd;
  appendHeaders(out, response.headers);
  if (framing == BodyFraming::ContentLength) {
    appendHeader(out, "Content-Length", std::to_string(response.body.size()));
  } else if (framing == BodyFraming::Chunked) {
    appendHeader(out, "Transfer-Encoding", "chunked");
  }
  appendHeader(out, "Connection", keep_alive ? "keep-alive" : "close");
  out += LineEnd;
  return out;
}

std::string serialiseRequestHead(const Request& request, const std::string& host, bool keep_alive) {
  std::string out;
  appendClean(out, request.method);
  out += ' ';
  appendClean(out, request.target);
  out += " HTTP/1.1\r\n";
  const std::string_view own_host = request.header("host");
  appendHeader(out, "Host", own_host.empty() ? std::string_view(host) : own_host);
  appendHeaders(out, request.headers);
  if (!request.body.empty() || request.method != "GET") {
    appendHeader(out, "Content-Length", std::to_string(request.body.size()));
  }
  appendHeader(out, "Connection", keep_alive ? "keep-alive" : "close");
  out += LineEnd;
  return out;
}

std::string serialiseChunk(const std::string& bytes) {
  std::array<char, 2 * sizeof(std::size_t)> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), bytes.size(), 16);
  std::string out(digits.data(), end.ptr);
  out += LineEnd;
  out += bytes;
  out += LineEnd;
  return out;
}

}  // namespace switchsaddle::http
