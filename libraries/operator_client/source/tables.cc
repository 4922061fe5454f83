#include "switchsaddle/operator_client/tables.h"

#include <algorithm>

namespace switchsaddle::operator_client {

namespace {

using configuration::JsonKind;
using configuration::JsonValue;

std::string plainText(const JsonValue& value) {
  if (value.kind == JsonKind::String) {
    return value.text;
  }
  if (value.kind != JsonKind::Array) {
    return value.canonical();
  }
  std::string joined;
  for (const JsonValue& element : value.elements) {
    joined += (joined.empty() ? "" : " ") + plainText(element);
  }
  return joined;
}

bool isTable(const JsonValue& value) {
  return value.kind == JsonKind::Array && !value.elements.empty() &&
         std::ranges::all_of(value.elements, [](const JsonValue& element) {
           return element.kind == JsonKind::Object;
         });
}

/** Maximum length of a cell; --json shows the complete text. */
constexpr std::size_t MaximumCellLength = 72;

std::string cellText(const JsonValue& value) {
  constexpr std::string_view Ellipsis = "...";
  std::string text = plainText(value);
  if (text.size() > MaximumCellLength) {
    text.resize(MaximumCellLength - Ellipsis.size());
    text += Ellipsis;
  }
  return text;
}

std::vector<TableRow> rowsOf(const JsonValue& list) {
  TableRow titles;
  for (const JsonValue& element : list.elements) {
    for (const std::string& name : element.names) {
      if (std::ranges::find(titles, name) == titles.end()) {
        titles.push_back(name);
      }
    }
  }
  std::vector<TableRow> rows{titles};
  for (const JsonValue& element : list.elements) {
    TableRow row;
    for (const std::string& title : titles) {
      const JsonValue* cell = element.find(title);
      row.push_back(cell == nullptr ? "-" : cellText(*cell));
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

/** Scalar members are written first, so that their lines cannot be mistaken for table rows. */
struct Sections {
  std::string lines;
  std::string tables;
};

/** Members of nested objects are named by their path, such as core_set.epoch. */
void appendObject(const JsonValue& object, const std::string& prefix, Sections& sections) {
  for (std::size_t index = 0; index < object.names.size(); ++index) {
    const JsonValue& member = object.elements[index];
    const std::string name = prefix + object.names[index];
    if (member.kind == JsonKind::Object) {
      appendObject(member, name + ".", sections);
    } else if (isTable(member)) {
      sections.tables += "\n" + name + "\n" + renderTable(rowsOf(member));
    } else {
      const std::string text = plainText(member);
      sections.lines += name + ": " + (text.empty() ? "-" : text) + "\n";
    }
  }
}

}  // namespace

std::string renderTable(const std::vector<TableRow>& rows) {
  constexpr std::size_t Gap = 2;
  std::vector<std::size_t> widths;
  for (const TableRow& row : rows) {
    widths.resize(std::max(widths.size(), row.size()), 0);
    for (std::size_t column = 0; column < row.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  std::string text;
  for (const TableRow& row : rows) {
    for (std::size_t column = 0; column < row.size(); ++column) {
      text += row[column];
      if (column + 1 < row.size()) {
        text += std::string(widths[column] - row[column].size() + Gap, ' ');
      }
    }
    text += '\n';
  }
  return text;
}

std::string renderBody(const JsonValue& body) {
  if (body.kind != JsonKind::Object) {
    return isTable(body) ? renderTable(rowsOf(body)) : plainText(body) + "\n";
  }
  Sections sections;
  appendObject(body, "", sections);
  return sections.lines + sections.tables;
}

}  // namespace switchsaddle::operator_client
