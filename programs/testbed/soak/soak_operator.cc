#include "soak/soak_operator.h"

#include <boost/json.hpp>
#include <utility>

#include "http_probe.h"
#include "switchsaddle/base/error.h"
#include "switchsaddle/testbed/records/json_fields.h"

namespace switchsaddle::testbed_commands {
namespace {

constexpr base::Duration AnswerLimit = std::chrono::seconds(1);
constexpr int MaximumSends = 6;
constexpr std::uint16_t StatusOk = 200;
constexpr std::uint16_t StatusAccepted = 202;
constexpr std::uint16_t StatusConflict = 409;

/** @return the version that an answer names; 0 if it names none. */
std::uint64_t versionOf(const http::Response& answer) {
  try {
    return static_cast<std::uint64_t>(
        testbed::integerField(testbed::parseObject(answer.body), "version", 0));
  } catch (const base::Error&) {
    return 0;
  }
}

}  // namespace

SoakOperator::SoakOperator(std::vector<base::NodeAddress> nodes, std::string key,
                           std::uint64_t number, testbed::RunLedger& ledger)
    : nodes_(std::move(nodes)),
      key_(std::move(key)),
      name_("operator-" + std::to_string(number)),
      ledger_(ledger) {}

void SoakOperator::change(base::RandomSource& random) {
  const std::string id = name_ + "-" + std::to_string(++changes_);
  const boost::json::object set{{"tuning/route-explore-share", random.uniform()}};
  http::Request request;
  request.method = "POST";
  request.target = "/v1/configuration/changes";
  request.headers = {{"Content-Type", "application/json"}, {"Authorization", "Bearer " + key_}};
  request.body = boost::json::serialize(
      boost::json::object{{"change_id", id}, {"base_version", known_version_}, {"set", set}});
  for (int sent = 0; sent < MaximumSends; ++sent) {
    const auto answer = fetchOnce(nodes_[random.below(nodes_.size())], request, AnswerLimit);
    if (!answer) {
      continue;
    }
    if (answer->status == StatusOk || answer->status == StatusAccepted) {
      known_version_ = versionOf(*answer);
      ledger_.add(testbed::AcknowledgedChange{id, known_version_});
      return;
    }
    if (answer->status == StatusConflict) {
      known_version_ = versionOf(*answer);
      return;
    }
  }
}

}  // namespace switchsaddle::testbed_commands
