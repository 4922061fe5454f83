#include "switchsaddle/exploration/deviation.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>
#include <string_view>
#include <utility>

#include "switchsaddle/base/error.h"

namespace switchsaddle::exploration {

namespace {

struct NamedKind {
  DeviationKind kind;
  std::string_view name;
};

constexpr std::array Names{NamedKind{DeviationKind::LoseMessage, "lose-message"},
                           NamedKind{DeviationKind::DelayMessage, "delay-message"},
                           NamedKind{DeviationKind::DuplicateMessage, "duplicate-message"},
                           NamedKind{DeviationKind::KillSender, "kill-sender"},
                           NamedKind{DeviationKind::KillReceiver, "kill-receiver"},
                           NamedKind{DeviationKind::WipeSender, "wipe-sender"},
                           NamedKind{DeviationKind::WipeReceiver, "wipe-receiver"},
                           NamedKind{DeviationKind::FreezeSender, "freeze-sender"},
                           NamedKind{DeviationKind::FreezeReceiver, "freeze-receiver"}};

base::Error invalid(const std::string& message) {
  return {base::ResultCode::InvalidValue, message};
}

Deviation parseDeviation(const std::string& text) {
  const std::size_t colon = text.find(':');
  Deviation deviation;
  const char* const begin = text.data();
  const char* const end = begin + std::min(colon, text.size());
  const auto [parsed_to, error] = std::from_chars(begin, end, deviation.message);
  if (colon == std::string::npos || error != std::errc() || parsed_to != end) {
    throw invalid("expected MESSAGE:KIND instead of \"" + text + "\"");
  }
  deviation.kind = parseDeviationKind(text.substr(colon + 1));
  return deviation;
}

}  // namespace

const std::vector<DeviationKind>& allDeviationKinds() {
  static const std::vector<DeviationKind> kinds = [] {
    std::vector<DeviationKind> all;
    for (const NamedKind& named : Names) {
      all.push_back(named.kind);
    }
    return all;
  }();
  return kinds;
}

std::string deviationName(DeviationKind kind) {
  const auto* found = std::ranges::find(Names, kind, &NamedKind::kind);
  return std::string(found->name);
}

DeviationKind parseDeviationKind(const std::string& name) {
  const auto* found = std::ranges::find(Names, name, &NamedKind::name);
  if (found == Names.end()) {
    throw invalid("unknown kind of deviation \"" + name + "\"");
  }
  return found->kind;
}

std::string scheduleText(const Schedule& schedule) {
  std::string text;
  for (const Deviation& deviation : schedule) {
    text += text.empty() ? "" : ",";
    text += std::to_string(deviation.message) + ":" + deviationName(deviation.kind);
  }
  return text;
}

Schedule parseSchedule(const std::string& text) {
  Schedule schedule;
  std::istringstream stream(text);
  for (std::string entry; std::getline(stream, entry, ',');) {
    const Deviation deviation = parseDeviation(entry);
    if (!schedule.empty() && deviation.message <= schedule.back().message) {
      throw invalid("the messages of a schedule must ascend: \"" + text + "\"");
    }
    schedule.push_back(deviation);
  }
  return schedule;
}

}  // namespace switchsaddle::exploration
