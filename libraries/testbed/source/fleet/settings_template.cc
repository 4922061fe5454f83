#include "switchsaddle/testbed/fleet/settings_template.h"

#include <sstream>
#include <string_view>
#include <vector>

namespace switchsaddle::testbed {

namespace {

/** @return the value of a placeholder; `|json` renders a missing one as null. */
std::string valueOf(const std::string& placeholder, const TemplateFields& fields) {
  constexpr std::string_view Json = "|json";
  const bool is_json = placeholder.ends_with(Json);
  const std::string name =
      is_json ? placeholder.substr(0, placeholder.size() - Json.size()) : placeholder;
  const auto found = fields.find(name);
  if (found == fields.end()) {
    return is_json ? "null" : "";
  }
  return found->second;
}

std::vector<std::string> entriesOf(const std::string& list) {
  std::vector<std::string> entries;
  std::istringstream text(list);
  for (std::string entry; std::getline(text, entry, ',');) {
    entries.push_back(entry);
  }
  return entries;
}

std::string replaceAll(std::string text, const std::string& from, const std::string& to) {
  for (std::size_t at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
  return text;
}

/** Expands `{{#list}}` and `{{^flag}}` sections, which are not nested. */
std::string fillSections(std::string text, const TemplateFields& fields) {
  for (std::size_t open = text.find("{{"); open != std::string::npos;) {
    const char kind = text[open + 2];
    if (kind != '#' && kind != '^') {
      open = text.find("{{", open + 2);
      continue;
    }
    const std::size_t name_end = text.find("}}", open);
    const std::string name = text.substr(open + 3, name_end - open - 3);
    const std::string close = "{{/" + name + "}}";
    const std::size_t end = text.find(close, name_end);
    const std::string content = text.substr(name_end + 2, end - name_end - 2);
    const auto found = fields.find(name);
    const bool is_set = found != fields.end() && found->second != "false";
    std::string filled;
    if (kind == '^') {
      filled = is_set ? "" : content;
    } else if (is_set && name == "seeds") {
      const std::vector<std::string> entries = entriesOf(found->second);
      for (std::size_t index = 0; index < entries.size(); ++index) {
        const bool last = index + 1 == entries.size();
        filled +=
            replaceAll(replaceAll(content, "{{.}}", entries[index]), "{{,}}", last ? "" : ",");
      }
    } else if (is_set) {
      filled = content;
    }
    text.replace(open, end + close.size() - open, filled);
    open = text.find("{{", open);
  }
  return text;
}

}  // namespace

std::string fillTemplate(const std::string& text, const TemplateFields& fields) {
  std::string remaining = fillSections(text, fields);
  std::string filled;
  for (std::size_t open = remaining.find("{{"); open != std::string::npos;
       open = remaining.find("{{")) {
    const std::size_t end = remaining.find("}}", open);
    filled +=
        remaining.substr(0, open) + valueOf(remaining.substr(open + 2, end - open - 2), fields);
    remaining.erase(0, end + 2);
  }
  return filled + remaining;
}

}  // namespace switchsaddle::testbed
