#include <boost/json.hpp>
#include <fstream>
#include <sstream>

#include "forward_headers.h"
#include "soak/platform_documents.h"
#include "soak/platform_operator.h"
#include "soak/soak_dialect.h"
#include "switchsaddle/base/error.h"
#include "switchsaddle/testbed/fleet/settings_template.h"
#include "switchsaddle/testbed/soak/wire_text.h"

namespace switchsaddle::testbed_commands {

namespace {

using testbed::FleetProcess;
using testbed::FleetState;
using testbed::ProcessRole;

constexpr std::size_t SeedCount = 3;
constexpr int ListedSlots = 64;
/** The longest bodies are those of the largest prompts. */
constexpr std::size_t PaddingBytes = 72'000;
/** Prompts share their first parts; the last part is a prompt's own. */
constexpr std::uint64_t SharedPrefixes = 60;
constexpr std::uint64_t LargestPromptTokens = 20'000;

std::string readTemplate(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw base::Error(base::ResultCode::StorageFailed, "cannot read the template " + path);
  }
  std::ostringstream text;
  text << file.rdbuf();
  return std::move(text).str();
}

std::string quoted(const std::string& text) {
  return boost::json::serialize(boost::json::string(text));
}

/** @return the addresses at which the first cores serve operators, joined by commas. */
std::string seedsOf(const FleetState& state) {
  std::string seeds;
  std::size_t count = 0;
  for (const FleetProcess& process : state.processes) {
    if (process.role == ProcessRole::Core && count < SeedCount) {
      seeds += (seeds.empty() ? "" : ",") + process.http_address.toString();
      ++count;
    }
  }
  return seeds;
}

testbed::TemplateFields fieldsOf(const FleetState& state, const FleetProcess& process) {
  const bool is_first_start = process.pid == 0 && !process.replacement;
  testbed::TemplateFields fields{{"ip", process.peer_address.ip},
                                 {"portRange.0", std::to_string(process.peer_address.port)},
                                 {"listen.front", quoted(process.http_address.toString())},
                                 {"listen.control", quoted(process.http_address.toString())},
                                 {"zone", quoted(process.zone)},
                                 {"region", quoted(state.region)},
                                 {"dataDir", quoted(process.data_folder)},
                                 {"seeds", seedsOf(state)},
                                 {"bootstrap", is_first_start ? "true" : "false"},
                                 {"faultTolerance.machines", "1"},
                                 {"faultTolerance.zones", "1"},
                                 {"faultTolerance.regions", "0"},
                                 {"bounds.failClosed", "false"},
                                 {"bounds.budgetRatio", "0.2"},
                                 {"bounds.budgetExtra", "50"},
                                 {"bounds.quotaWindowS", "8"},
                                 {"bounds.quotaOvershoot", "0.1"},
                                 {"bounds.quotaSlack", "140000"},
                                 {"bounds.graceS", "8"}};
  for (const FleetProcess& other : state.processes) {
    if (other.role == ProcessRole::Platform) {
      fields["cloud.address"] = quoted(other.http_address.toString());
    }
  }
  if (process.role == ProcessRole::Front) {
    fields["listen.readiness"] = quoted(testbed::readinessAddress(process).toString());
  }
  const boost::json::object limits = boost::json::parse(state.limits_json).as_object();
  for (const auto& [field, name] :
       {std::pair("limits.memoryMb", "memory_mb"), std::pair("limits.maxFds", "descriptors")}) {
    if (limits.contains(name)) {
      fields[field] = boost::json::serialize(limits.at(name));
    }
  }
  return fields;
}

std::string workerReport() {
  return R"({"phase":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,)"
         R"("seq":1,"queued":0,"active":1,"kvUsed":41000,"kvTotal":442259,"handles":0})";
}

std::string answerGet(std::string_view target, const std::string& instance) {
  if (target == "/report") {
    return testbed::responseText(200, "Content-Type: application/json\r\n", workerReport());
  }
  return testbed::responseText(200, "Switchsaddle-Instance-Id: " + instance + "\r\n", "");
}

/** Headers of a prompt, which begins like others. */
std::string drawPromptHeaders(base::RandomSource& random) {
  const std::uint64_t shared = random.below(SharedPrefixes);
  const std::uint64_t tokens = 500 + random.below(LargestPromptTokens);
  const std::uint64_t own = 1 + random.below(tokens / 2);
  std::ostringstream headers;
  headers << "Api-Key: " << SoakTenantKey << "\r\nSwitchsaddle-Model: m\r\n"
          << "Switchsaddle-Token-Count: " << tokens << ",80\r\n"
          << "Switchsaddle-Prefix-Hash: a1:128," << std::hex << 0xb000 + shared << std::dec << ':'
          << tokens - own << ',' << std::hex << random.next() << std::dec << ':' << own << "\r\n";
  return headers.str();
}

class PlatformDialect : public SoakDialect {
 public:
  explicit PlatformDialect(const std::string& templates)
      : core_template_(readTemplate(templates + "/core.json.template")),
        front_template_(readTemplate(templates + "/front.json.template")) {
    const front::ForwardHeaders headers = platform::forwardHeaders();
    names_ = {headers.request_id, headers.deadline_ms, headers.expect_instance, headers.not_run};
  }

  void prepareWorker(testbed::WireWorkerOptions& worker) const override {
    worker.names = names_;
    worker.answer_get = answerGet;
  }

  void prepareClient(testbed::WireClientOptions& client) const override {
    client.names = names_;
    client.draw_headers = drawPromptHeaders;
    client.padding_bytes = PaddingBytes;
  }

  std::string workerList(const std::vector<ListedInstance>& instances) const override {
    boost::json::array listed;
    for (const ListedInstance& instance : instances) {
      listed.push_back(boost::json::object{
          {"id", instance.id},
          {"address", instance.address.toString()},
          {"service", SoakService},
          {"zone", instance.zone},
          {"version", "v1"},
          {"slots", ListedSlots},
          {"state", "ready"},
          {"coldLeftMs", 0},
          {"phase", "both"},
          {"models", boost::json::array{boost::json::object{{"name", "m"}, {"version", 1}}}}});
    }
    return boost::json::serialize(
        boost::json::object{{"instances", std::move(listed)}, {"nextToken", nullptr}});
  }

  http::Request firstConfiguration() const override {
    return replaceRequest(0, boost::json::serialize(platformDocument(1)));
  }

  std::string settings(const FleetState& state, const FleetProcess& process) const override {
    const bool is_core = process.role == ProcessRole::Core;
    return testbed::fillTemplate(is_core ? core_template_ : front_template_,
                                 fieldsOf(state, process));
  }

  OperatorPtr createOperator(OperatorContext context) const override {
    return std::make_unique<PlatformOperator>(std::move(context));
  }

  bool frontsServeOperators() const override { return false; }

 private:
  std::string core_template_;
  std::string front_template_;
  testbed::WireNames names_;
};

}  // namespace

std::unique_ptr<SoakDialect> createPlatformDialect(const std::string& templates) {
  return std::make_unique<PlatformDialect>(templates);
}

}  // namespace switchsaddle::testbed_commands
