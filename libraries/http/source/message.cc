#include "switchsaddle/http/message.h"

#include <algorithm>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

namespace switchsaddle::http {

namespace {

char lowerCase(char character) {
  return character >= 'A' && character <= 'Z' ? static_cast<char>(character + ('a' - 'A'))
                                              : character;
}

bool equalNames(std::string_view first, std::string_view second) {
  return std::equal(first.begin(), first.end(), second.begin(), second.end(),
                    [](char left, char right) { return lowerCase(left) == lowerCase(right); });
}

std::string_view findHeader(const std::vector<Header>& headers, std::string_view name) {
  for (const Header& header : headers) {
    if (equalNames(header.name, name)) {
      return header.value;
    }
  }
  return {};
}

}  // namespace

std::string_view Request::header(std::string_view name) const {
  return findHeader(headers, name);
}

std::string_view Response::header(std::string_view name) const {
  return findHeader(headers, name);
}

std::string_view targetPath(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::string queryParameter(std::string_view target, std::string_view name) {
  const std::size_t question_mark = target.find('?');
  if (question_mark == std::string_view::npos) {
    return {};
  }
  const std::string query = "/" + std::string(target.substr(question_mark));
  const auto url = boost::urls::parse_origin_form(query);
  if (!url) {
    return {};
  }
  for (const auto& parameter : url->params()) {
    if (parameter.key == name) {
      return parameter.value;
    }
  }
  return {};
}

}  // namespace switchsaddle::http
