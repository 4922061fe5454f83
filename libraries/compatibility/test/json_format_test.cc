#include <gtest/gtest.h>

#include "control/health_json.h"
#include "control/status_json.h"
#include "golden_file.h"
#include "request/caller_answers.h"
#include "switchsaddle/configuration/change_json.h"
#include "switchsaddle/configuration/state_report.h"
#include "switchsaddle/front/node/counters.h"
#include "switchsaddle/streams/relay_machine.h"
#include "value_filler.h"

namespace switchsaddle::compatibility {
namespace {

using configuration::Fault;

constexpr std::uint64_t Version = 17;
constexpr std::uint64_t Digest = 0x1122334455667788U;

std::string responseText(const http::Response& response) {
  std::string text = std::to_string(response.status) + "\n";
  for (const auto& header : response.headers) {
    text += header.name + ": " + header.value + "\n";
  }
  return text + response.body + "\n";
}

std::string joined(const std::vector<std::string>& parts) {
  std::string text;
  for (const std::string& part : parts) {
    text += part + "\n";
  }
  return text;
}

TEST(JsonFormatTest, ConfigurationPagesKeepTheirText) {
  const auto report = ValueFiller::filled<configuration::StateReport>();
  const auto difference = ValueFiller::filled<configuration::StateDifference>();
  const auto result = ValueFiller::filled<configuration::ChangeResult>();
  auto acknowledged = result;
  acknowledged.code = base::ResultCode::Ok;
  auto conflict = result;
  conflict.code = base::ResultCode::ConfigurationConflict;
  expectGolden(
      "configuration_pages.txt",
      joined({configuration::renderConfiguration(ValueFiller::filled<configuration::Document>()),
              configuration::renderHistory({ValueFiller::filled<configuration::HistoryEntry>()}),
              configuration::renderFaults({ValueFiller::filled<Fault>()}),
              configuration::renderError(base::ResultCode::NoQuorum, "message",
                                         {ValueFiller::filled<Fault>()}),
              configuration::renderChangeResult(result),
              configuration::renderChangeResult(acknowledged),
              configuration::renderChangeResult(conflict),
              configuration::renderInForce(Version, Digest,
                                           {ValueFiller::filled<configuration::FrontInForce>()}),
              configuration::renderKeyResult(ValueFiller::filled<configuration::KeyIssue>(),
                                             acknowledged),
              configuration::renderStateReport(report),
              configuration::renderDifferencesJson(report, report, {difference}),
              configuration::renderDifferences(report, report, {difference})}));
}

TEST(JsonFormatTest, NodePagesKeepTheirText) {
  expectGolden(
      "node_pages.txt",
      joined({core::renderStatus(ValueFiller::filled<core::NodeStatus>(),
                                 {ValueFiller::filled<wire::SessionTableEntry>()}, Version, Digest),
              core::renderMaintenance({ValueFiller::filled<core::MaintainedWorker>()}),
              core::renderMaintenanceResult(ValueFiller::filled<core::ChangeAnswer>(), "worker-1"),
              core::renderMaintenanceResult({}, "worker-1")}));
}

TEST(JsonFormatTest, CallerAnswersKeepTheirText) {
  auto ran = ValueFiller::filled<front::OneShotAnswer>();
  ran.outcome = front::Outcome::Ran;
  auto not_run = ran;
  not_run.outcome = front::Outcome::NotRun;
  not_run.code = base::ResultCode::NotRun;
  auto unknown = ran;
  unknown.outcome = front::Outcome::Unknown;
  unknown.code = base::ResultCode::OutcomeUnknown;
  expectGolden(
      "caller_answers.txt",
      joined({responseText(front::errorAnswer(base::ResultCode::QueueFull,
                                              ValueFiller::filled<front::ErrorDetails>())),
              responseText(front::oneShotAnswer(ran)), responseText(front::oneShotAnswer(not_run)),
              responseText(front::oneShotAnswer(unknown))}));
}

TEST(JsonFormatTest, StreamEventsKeepTheirText) {
  streams::RelayMachine machine;
  machine.onHead("run-1");
  std::string text;
  const std::string bytes =
      "id: 0\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"
      "id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\n\n";
  for (const std::string& event : machine.onBytes(bytes).events) {
    text += event;
  }
  for (const std::string& event : machine.endWithError(base::ResultCode::WorkerFailed).events) {
    text += event;
  }
  expectGolden("stream_events.txt", text);
}

TEST(JsonFormatTest, ResultCodeTableKeepsItsText) {
  std::string text;
  for (const base::ResultCodeInfo& info : base::resultCodeTable()) {
    text += std::to_string(static_cast<std::uint16_t>(info.code)) + " " + std::string(info.name) +
            " " + std::to_string(info.http_status) + (info.retry_is_safe ? " safe" : " unsafe") +
            "\n";
  }
  expectGolden("result_codes.txt", text);
}

}  // namespace
}  // namespace switchsaddle::compatibility
