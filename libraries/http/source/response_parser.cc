#include "response_parser.h"

#include <algorithm>
#include <charconv>

#include "switchsaddle/http/client.h"

namespace switchsaddle::http {

namespace {

constexpr unsigned InformationalClass = 1;
constexpr std::size_t StatusDigits = 3;

bool isDigit(char character) {
  return character >= '0' && character <= '9';
}

/** @return whether the text has the form " NNN", alone or before another space. */
bool beginsWithStatus(std::string_view text) {
  if (text.size() <= StatusDigits || text.front() != ' ') {
    return false;
  }
  const bool is_number = std::ranges::all_of(text.substr(1, StatusDigits), isDigit);
  return is_number && (text.size() == 1 + StatusDigits || text[1 + StatusDigits] == ' ');
}

bool containsStatusLine(std::string_view text) {
  constexpr std::string_view Version = "HTTP/1.";
  std::size_t found = text.find(Version);
  while (found != std::string_view::npos) {
    text.remove_prefix(found + Version.size());
    if (!text.empty() && isDigit(text.front()) && beginsWithStatus(text.substr(1))) {
      return true;
    }
    found = text.find(Version);
  }
  return false;
}

}  // namespace

void ResponseParser::start(std::string_view method) {
  parser_.emplace();
  parser_->header_limit(MaximumResponseHeadBytes);
  parser_->body_limit(boost::none);
  parser_->skip(method == "HEAD");
  feed_ = {};
  body_buffer_ = {};
}

boost::system::error_code ResponseParser::parse(boost::beast::flat_buffer& buffer) {
  // The head is to be seen before the body is parsed.
  parser_->eager(parser_->is_header_done());
  return feed_.feed(*parser_, buffer);
}

boost::system::error_code ResponseParser::finish() {
  boost::system::error_code error = boost::beast::http::error::end_of_stream;
  if (parser_->got_some()) {
    parser_->put_eof(error);
  }
  return error;
}

bool ResponseParser::isInformational() const {
  return parser_->get().result_int() / 100 == InformationalClass;
}

bool ResponseParser::isJoined() const {
  const auto& message = parser_->get();
  return containsStatusLine(message.reason()) ||
         std::ranges::any_of(message,
                             [](const auto& field) { return containsStatusLine(field.value()); });
}

Response ResponseParser::head() const {
  Response head;
  head.status = status();
  for (const auto& field : parser_->get()) {
    head.headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  return head;
}

void ResponseParser::prepareBody(std::span<char> buffer) {
  body_buffer_ = buffer;
  parser_->get().body().data = body_buffer_.data();
  parser_->get().body().size = body_buffer_.size();
  parser_->get().body().more = true;
}

std::string_view ResponseParser::bodyBytes() const {
  const std::size_t filled = body_buffer_.size() - parser_->get().body().size;
  return {body_buffer_.data(), filled};
}

std::optional<base::Duration> keepAliveTimeout(const Response& head) {
  constexpr std::string_view Name = "timeout=";
  const std::string_view text = head.header("Keep-Alive");
  const std::size_t begin = text.find(Name);
  if (begin == std::string_view::npos) {
    return std::nullopt;
  }
  int seconds = 0;
  const std::string_view number = text.substr(begin + Name.size());
  const auto [end, fault] = std::from_chars(number.data(), number.data() + number.size(), seconds);
  if (fault != std::errc() || seconds < 0) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

}  // namespace switchsaddle::http
