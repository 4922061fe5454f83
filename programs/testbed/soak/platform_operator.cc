#include "soak/platform_operator.h"

#include <array>
#include <utility>

#include "http_probe.h"
#include "soak/platform_documents.h"
#include "switchsaddle/base/error.h"
#include "switchsaddle/testbed/records/json_fields.h"

namespace switchsaddle::testbed_commands {

namespace {

namespace json = boost::json;
using testbed::ControlOperation;
using testbed::ControlOperationKind;
using testbed::ControlOutcome;

constexpr base::Duration AnswerLimit = std::chrono::seconds(1);
/** Operators wait longer for the answer to a large order. */
constexpr base::Duration LargeAnswerLimit = std::chrono::seconds(3);
constexpr std::size_t LargeOrderBytes = 32U << 10U;
constexpr int MaximumSends = 6;
constexpr double ChangeShare = 0.45;
constexpr double InvalidShare = 0.1;
constexpr double EvacuationShare = 0.15;
constexpr double ReplaceShare = 0.15;
constexpr double GrowthShare = 0.15;
constexpr std::uint64_t FurtherRoutes = 350;
constexpr std::array Zones{"a", "b", "c"};
constexpr std::uint16_t StatusOk = 200;
constexpr std::uint16_t FirstStatusOfClientError = 400;
constexpr std::uint16_t FirstStatusOfServerFailure = 500;

bool isRefusal(std::uint16_t status) {
  return status >= FirstStatusOfClientError && status < FirstStatusOfServerFailure;
}

std::uint64_t versionOf(const std::string& document) {
  try {
    return static_cast<std::uint64_t>(
        testbed::integerField(testbed::parseObject(document), "version", 0));
  } catch (const base::Error&) {
    return 0;
  }
}

/** @return an invalid document that would make `version`. */
std::string invalidDocument(base::RandomSource& random, std::uint64_t version) {
  json::object document = platformDocument(version);
  json::object& first_route = document["routes"].as_array()[0].as_object();
  switch (random.below(6)) {
    case 0: {
      const std::string whole = json::serialize(document);
      return whole.substr(0, whole.size() / 2);
    }
    case 1:
      first_route["service"] = "nowhere";
      break;
    case 2:
      first_route["pathPrefix"] = "/stream/";
      break;
    case 3:
      first_route["timeoutMs"] = 0;
      break;
    case 4:
      document["version"] = -1e300;
      break;
    default:
      first_route.erase("service");
      first_route["split"] = json::array{json::object{{"service", "soak"}, {"weight", 0}}};
  }
  return json::serialize(document);
}

}  // namespace

PlatformOperator::PlatformOperator(OperatorContext context)
    : context_(std::move(context)), name_("operator-" + std::to_string(context_.number)) {}

void PlatformOperator::operate(base::RandomSource& random) {
  const double draw = random.uniform();
  if (draw < ChangeShare) {
    change(random);
  } else if (draw < ChangeShare + InvalidShare) {
    sendInvalid(random);
  } else if (draw < ChangeShare + InvalidShare + EvacuationShare) {
    evacuate(random);
  } else {
    read(random);
  }
}

PlatformOperator::OrderEnd PlatformOperator::sendOrder(base::RandomSource& random,
                                                       const http::Request& request,
                                                       base::Duration limit) {
  for (int sent = 0; sent < MaximumSends; ++sent) {
    const std::vector<base::NodeAddress> nodes = context_.nodes();
    const base::NodeAddress& node = nodes[random.below(nodes.size())];
    const auto answer = fetchOnce(node, request, limit);
    if (answer && answer->status == StatusOk) {
      if (context_.on_acknowledged) {
        context_.on_acknowledged(node);
      }
      return OrderEnd::Acknowledged;
    }
    if (answer && isRefusal(answer->status)) {
      return OrderEnd::Refused;
    }
  }
  return OrderEnd::Unknown;
}

void PlatformOperator::change(base::RandomSource& random) {
  ControlOperation operation;
  operation.kind = ControlOperationKind::Change;
  operation.id = name_ + "-" + std::to_string(++operations_);
  operation.invoked_s = context_.ledger.elapsedSeconds();
  operation.base_version = known_version_;
  const std::uint64_t version = known_version_ + 1;
  const http::Request request = drawChange(random, version);
  const bool is_large = request.body.size() > LargeOrderBytes;
  const OrderEnd ended = sendOrder(random, request, is_large ? LargeAnswerLimit : AnswerLimit);
  if (ended == OrderEnd::Acknowledged) {
    known_version_ = version;
    context_.ledger.add(testbed::AcknowledgedChange{operation.id, version});
    end(std::move(operation), ControlOutcome::Done, version);
    return;
  }
  const bool is_refused = ended == OrderEnd::Refused;
  end(std::move(operation), is_refused ? ControlOutcome::Refused : ControlOutcome::Unknown, 0);
  read(random);
}

http::Request PlatformOperator::drawChange(base::RandomSource& random, std::uint64_t version) {
  if (!random.chance(ReplaceShare)) {
    return drawPatch(random, version);
  }
  json::object document = platformDocument(version);
  // Tells this operator's document from the same version of another one.
  document["author"] = name_ + "-" + std::to_string(operations_);
  return replaceRequest(known_version_, json::serialize(document));
}

http::Request PlatformOperator::drawPatch(base::RandomSource& random, std::uint64_t version) {
  // Equal orders of two operators would count as one that is sent again.
  const std::string mark = name_ + "-" + std::to_string(operations_);
  json::object patch{{"version", version}, {"author", mark}};
  if (!random.chance(GrowthShare)) {
    const int timeout_ms = 3'000 + static_cast<int>(random.below(2'000));
    patch["upsert"] = json::object{{"routes", json::array{platformStreamRoute(timeout_ms)}}};
  } else if (!has_further_routes_) {
    patch["upsert"] = json::object{{"routes", platformFurtherRoutes(FurtherRoutes)}};
    has_further_routes_ = true;
  } else {
    json::array names;
    for (const json::value& route : platformFurtherRoutes(FurtherRoutes)) {
      names.push_back(route.as_object().at("name"));
    }
    patch["remove"] = json::object{{"routes", std::move(names)}};
    has_further_routes_ = false;
  }
  return patchRequest(known_version_, patch);
}

void PlatformOperator::sendInvalid(base::RandomSource& random) {
  const std::string document = invalidDocument(random, known_version_ + 1);
  sendOrder(random, replaceRequest(known_version_, document), AnswerLimit);
}

void PlatformOperator::evacuate(base::RandomSource& random) {
  const std::string zone = Zones.at(random.below(Zones.size()));
  http::Request request;
  request.method = "POST";
  for (const char* action : {"/begin", "/finish"}) {
    request.target = "/evacuate/" + zone + action;
    sendOrder(random, request, AnswerLimit);
  }
}

void PlatformOperator::read(base::RandomSource& random) {
  ControlOperation operation;
  operation.kind = ControlOperationKind::Read;
  operation.id = name_ + "-" + std::to_string(++operations_);
  operation.invoked_s = context_.ledger.elapsedSeconds();
  const std::vector<base::NodeAddress> nodes = context_.nodes();
  http::Request request;
  request.method = "GET";
  request.target = "/config/get";
  const auto answer = fetchOnce(nodes[random.below(nodes.size())], request, LargeAnswerLimit);
  if (!answer || answer->status != StatusOk) {
    end(std::move(operation), ControlOutcome::Unknown, 0);
    return;
  }
  known_version_ = versionOf(answer->body);
  has_further_routes_ = answer->body.find("further-1\"") != std::string::npos;
  end(std::move(operation), ControlOutcome::Done, known_version_);
}

void PlatformOperator::end(ControlOperation operation, ControlOutcome outcome,
                           std::uint64_t version) {
  operation.ended_s = context_.ledger.elapsedSeconds();
  operation.outcome = outcome;
  operation.version = version;
  context_.history.add(std::move(operation));
}

}  // namespace switchsaddle::testbed_commands
