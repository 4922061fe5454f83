#include "switchsaddle/testbed/soak/wire_text.h"

#include <array>
#include <charconv>

namespace switchsaddle::testbed {
namespace {

constexpr std::string_view LineEnd = "\r\n";
constexpr int Hexadecimal = 16;

std::string withBody(std::string head, std::string_view header_lines, std::string_view body) {
  head += header_lines;
  head += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  head += body;
  return head;
}

}  // namespace

std::string responseText(int status, std::string_view header_lines, std::string_view body) {
  return withBody("HTTP/1.1 " + std::to_string(status) + " Status\r\n", header_lines, body);
}

std::string streamHeadText(std::string_view header_lines) {
  std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
  head += header_lines;
  head += "Transfer-Encoding: chunked\r\n\r\n";
  return head;
}

std::string chunkText(std::string_view bytes) {
  std::array<char, 2 * sizeof(std::size_t)> digits{};
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), bytes.size(), Hexadecimal);
  std::string chunk(digits.data(), end.ptr);
  chunk += LineEnd;
  chunk += bytes;
  chunk += LineEnd;
  return chunk;
}

std::string eventText(int number, std::string_view data) {
  return "id: " + std::to_string(number) + "\ndata: " + std::string(data) + "\n\n";
}

std::string postText(std::string_view target, std::string_view header_lines,
                     std::string_view body) {
  return withBody("POST " + std::string(target) + " HTTP/1.1\r\n", header_lines, body);
}

std::string chunkedPostText(std::string_view target, std::string_view header_lines,
                            std::string_view body) {
  std::string text = "POST " + std::string(target) + " HTTP/1.1\r\n";
  text += header_lines;
  text += "Transfer-Encoding: chunked\r\n\r\n";
  const std::size_t half = body.size() / 2;
  if (half > 0) {
    text += chunkText(body.substr(0, half));
  }
  return text + chunkText(body.substr(half)) + chunkText("");
}

}  // namespace switchsaddle::testbed
