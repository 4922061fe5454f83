#include "switchsaddle/testbed/load/plan_sizes.h"

#include <string>

#include "switchsaddle/configuration/view.h"

namespace switchsaddle::testbed {

namespace {

constexpr std::size_t SlotsOfTenant = 16;
constexpr std::uint16_t WorkerPort = 8'100;

void set(configuration::Document& document, const std::string& path, const std::string& json) {
  document.entries[path] = {path, json, document.version, false};
}

std::string modelName(std::size_t index) {
  return "model-" + std::to_string(index % PlanModels);
}

std::string modelList() {
  std::string list;
  for (std::size_t index = 0; index < PlanModels; ++index) {
    list += (index > 0 ? ",\"" : "\"") + modelName(index) + "\"";
  }
  return list;
}

void addTenant(configuration::Document& document, std::size_t index) {
  const std::string name = "tenant-" + std::to_string(index);
  const std::string branch = "root/" + name;
  set(document, "share/" + branch, R"({"parts":1})");
  set(document, "share/" + branch + "/streams", R"({"parts":3})");
  set(document, "share/" + branch + "/one-shots", R"({"parts":1})");
  set(document, "tenants/" + name,
      R"({"one_shot_branch":")" + branch +
          R"(/one-shots","parameters":{},"shape":"standard","stream_branch":")" + branch +
          R"(/streams"})");
  set(document, "keys/" + name,
      R"({"sha256":")" + configuration::sha256Hex(name) + R"(","tenant":")" + name + "\"}");
}

}  // namespace

configuration::Document planDocument(std::size_t tenants) {
  configuration::Document document;
  document.version = 1;
  set(document, "shapes/standard",
      R"({"first_token_ms":2000,"maximum_tokens":4096,"one_shot_deadline_ms":10000,)"
      R"("parameters":{},"services":["completions","confirmations"],"stream_deadline_ms":300000})");
  set(document, "routes/models",
      R"({"models":[)" + modelList() + R"(],"pool":"completions","service":"completions"})");
  set(document, "routes/confirmations",
      R"({"models":[],"pool":"confirmations","service":"confirmations"})");
  set(document, "share/root", R"({"slots":)" + std::to_string(tenants * SlotsOfTenant) + "}");
  for (std::size_t index = 0; index < tenants; ++index) {
    addTenant(document, index);
  }
  return document;
}

wire::WorkerView planWorkers(std::size_t count) {
  wire::WorkerView view;
  view.term = 1;
  view.sequence = 1;
  for (std::size_t index = 0; index < count; ++index) {
    const std::size_t zone = index % PlanZones;
    wire::WorkerEntry worker;
    worker.id = "worker-" + std::to_string(index);
    worker.address = {"10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250),
                      WorkerPort};
    worker.zone = "region-" + std::to_string(zone % PlanRegions) + "-" + std::to_string(zone);
    worker.models = {modelName(index)};
    worker.service = configuration::CompletionsService;
    worker.weights_version = "1";
    worker.slots = 16;
    worker.instance = (1ULL << 32U) + 1;
    view.workers.push_back(std::move(worker));
  }
  return view;
}

}  // namespace switchsaddle::testbed
