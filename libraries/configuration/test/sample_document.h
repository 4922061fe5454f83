#pragma once

#include <string>
#include <vector>

#include "switchsaddle/configuration/document.h"

namespace switchsaddle::configuration::test {

/** A SHA-256 made of one repeated digit. */
inline std::string sampleHash(char digit) {
  return std::string(64, digit);
}

/** A small valid configuration with every kind of entry, as the text of a file. */
inline std::string sampleText() {
  return R"({
    "shapes/chat": {
      "parameters": {"first": {"type": "integer", "default": 2000, "minimum": 100,
                               "maximum": 9000}},
      "services": ["completions", "confirmations"], "first_token_ms": "$first",
      "maximum_tokens": 512},
    "tenants/editors": {"shape": "chat", "parameters": {"first": 500},
                        "stream_branch": "root/editors/drafts",
                        "one_shot_branch": "root/editors/orders"},
    "tenants/jobs": {"shape": "chat", "stream_branch": "root/jobs", "one_shot_branch": "root/jobs"},
    "share/root": {"slots": 100},
    "share/root/editors": {"parts": 3},
    "share/root/editors/drafts": {"parts": 2},
    "share/root/editors/orders": {"parts": 1},
    "share/root/jobs": {"parts": 1},
    "routes/large": {"service": "completions", "models": ["llama-70b"], "pool": "models"},
    "routes/confirmations": {"service": "confirmations", "pool": "confirmations"},
    "keys/editors": {"sha256": ")" +
         sampleHash('a') + R"(", "tenant": "editors"},
    "operators/first": {"sha256": ")" +
         sampleHash('b') + R"("},
    "evacuations/north": {},
    "tuning/route-explore-share": 0.25
  })";
}

/** sampleText() as a document at version 1. */
inline Document sampleDocument() {
  std::vector<Fault> faults;
  return parseConfigurationFile(sampleText(), faults);
}

/** The sample with one entry set to the given text. */
inline Document sampleWith(const std::string& path, const std::string& json) {
  Document document = sampleDocument();
  document.entries[path] = {path, json, 1, false};
  return document;
}

/** The sample without one entry. */
inline Document sampleWithout(const std::string& path) {
  Document document = sampleDocument();
  document.entries.erase(path);
  return document;
}

}  // namespace switchsaddle::configuration::test
