#include "switchsaddle/configuration/check_report.h"

#include <algorithm>
#include <fstream>
#include <ostream>
#include <sstream>

#include "switchsaddle/configuration/change_json.h"
#include "switchsaddle/configuration/document.h"
#include "switchsaddle/configuration/json_value.h"
#include "switchsaddle/configuration/json_writer.h"
#include "switchsaddle/configuration/settings.h"

namespace switchsaddle::configuration {

namespace {

/** The keys of a configuration are paths; no key of a settings file contains a slash. */
bool looksLikeConfiguration(const std::string& text) {
  std::vector<Fault> ignored;
  const std::optional<JsonValue> value = parseJson(text, {.comments = true}, "", ignored);
  if (!value) {
    return false;
  }
  return value->names.empty() || std::ranges::any_of(value->names, [](const std::string& name) {
           return name.find('/') != std::string::npos;
         });
}

CheckKind resolveKind(const std::string& text, const CheckOptions& options) {
  if (options.kind != CheckKind::Detect) {
    return options.kind;
  }
  return looksLikeConfiguration(text) ? CheckKind::Configuration : CheckKind::Settings;
}

std::vector<Fault> checkConfigurationText(const std::string& text) {
  std::vector<Fault> faults;
  const Document document = parseConfigurationFile(text, faults);
  if (faults.empty()) {
    faults = checkDocument(document);
  }
  return faults;
}

std::vector<Fault> checkSettingsText(const std::string& text, const std::string& role) {
  std::vector<Fault> faults;
  const Settings settings = parseSettings(text, faults);
  if (role.empty()) {
    return faults;
  }
  for (const Fault& fault : checkSettings(settings, role)) {
    // A value that failed to parse also counts as missing; it is reported only once.
    const bool is_reported = std::ranges::find(faults, fault.path, &Fault::path) != faults.end();
    if (!is_reported) {
      faults.push_back(fault);
    }
  }
  return faults;
}

void writeText(const CheckOptions& options, CheckKind kind, const std::vector<Fault>& faults,
               std::ostream& out) {
  for (const Fault& fault : faults) {
    out << options.file << ": " << (fault.path.empty() ? "(whole)" : fault.path) << ": "
        << static_cast<int>(fault.code) << " " << base::describe(fault.code).name << ": "
        << fault.message << "\n";
  }
  const char* name = kind == CheckKind::Settings ? "settings" : "configuration";
  if (faults.empty()) {
    out << options.file << ": " << name << " without faults\n";
  } else {
    out << options.file << ": " << name << " with " << faults.size() << " faults\n";
  }
}

void writeJson(const CheckOptions& options, CheckKind kind, const std::vector<Fault>& faults,
               std::ostream& out) {
  JsonWriter writer;
  writer.beginObject();
  writer.name("file").string(options.file);
  writer.name("kind").string(kind == CheckKind::Settings ? "settings" : "configuration");
  writer.name("faults").raw(renderFaults(faults));
  writer.endObject();
  out << writer.text() << "\n";
}

int report(const CheckOptions& options, CheckKind kind, const std::vector<Fault>& faults,
           std::ostream& out) {
  if (options.json) {
    writeJson(options, kind, faults, out);
  } else {
    writeText(options, kind, faults, out);
  }
  return faults.empty() ? CheckPassed : CheckFailed;
}

}  // namespace

int checkText(const std::string& text, const CheckOptions& options, std::ostream& out) {
  const CheckKind kind = resolveKind(text, options);
  const std::vector<Fault> faults = kind == CheckKind::Settings
                                        ? checkSettingsText(text, options.role)
                                        : checkConfigurationText(text);
  return report(options, kind, faults, out);
}

int runCheck(const CheckOptions& options, std::ostream& out) {
  std::ifstream file(options.file, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    const Fault fault{"", base::ResultCode::UnknownPath,
                      "the file does not exist or cannot be read"};
    return report(options, options.kind, {fault}, out);
  }
  return checkText(text.str(), options, out);
}

}  // namespace switchsaddle::configuration
