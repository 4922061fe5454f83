#include "control/health_json.h"

#include <algorithm>
#include <cmath>

#include "switchsaddle/configuration/change_json.h"
#include "switchsaddle/configuration/json_writer.h"

namespace switchsaddle::core {

namespace {

using configuration::JsonWriter;
using worker_health::WorkerRank;

/** Fractions and severities are rendered in thousandths. */
constexpr double ThousandthsPerUnit = 1'000;

std::uint64_t thousandths(double fraction) {
  return static_cast<std::uint64_t>(std::lround(std::max(0.0, fraction) * ThousandthsPerUnit));
}

std::uint64_t fractionOf(float affected, float counted) {
  return counted > 0 ? thousandths(affected / counted) : 0;
}

void writeRank(JsonWriter& writer, const WorkerRank& rank, bool in_maintenance) {
  const wire::HealthCounts& counts = rank.evidence.counts;
  writer.name("worker").string(rank.worker);
  writer.name("pool").string(rank.pool);
  writer.name("zone").string(rank.zone);
  writer.name("state").string(worker_health::healthStateName(rank.state));
  writer.name("sickness").string(worker_health::symptomName(rank.symptom));
  writer.name("severity_permille").unsignedInteger(thousandths(rank.severity));
  writer.name("since_s").unsignedInteger(
      static_cast<std::uint64_t>(base::toMilliseconds(rank.since)) / 1'000);
  writer.name("requests").unsignedInteger(static_cast<std::uint64_t>(counts.dispatched));
  writer.name("stalled_permille").unsignedInteger(fractionOf(counts.stalled, counts.timed));
  writer.name("slow_permille").unsignedInteger(fractionOf(counts.slow, counts.timed));
  writer.name("failed_permille").unsignedInteger(fractionOf(counts.failed, counts.dispatched));
  writer.name("maintenance").boolean(in_maintenance);
}

}  // namespace

std::string renderRanking(const worker_health::HealthRanking& ranking,
                          const std::set<std::string>& in_maintenance, base::TimePoint now) {
  JsonWriter writer;
  writer.beginObject();
  writer.name("workers").beginArray();
  for (const WorkerRank& rank : ranking.ranks()) {
    writer.beginObject();
    writeRank(writer, rank, in_maintenance.contains(rank.worker));
    writer.endObject();
  }
  writer.endArray();
  writer.name("history").beginArray();
  for (const worker_health::TopChange& change : ranking.history()) {
    writer.beginObject();
    writer.name("ago_s").unsignedInteger(
        static_cast<std::uint64_t>(base::toMilliseconds(now - change.at)) / 1'000);
    writer.name("sickest").string(change.worker);
    writer.name("before").string(change.before);
    writer.endObject();
  }
  writer.endArray().endObject();
  return writer.text();
}

std::optional<std::string> renderWorkerHealth(const worker_health::HealthRanking& ranking,
                                              const std::string& worker, bool in_maintenance) {
  const auto rank = std::ranges::find(ranking.ranks(), worker, &WorkerRank::worker);
  if (rank == ranking.ranks().end()) {
    return std::nullopt;
  }
  JsonWriter writer;
  writer.beginObject();
  writeRank(writer, *rank, in_maintenance);
  writer.name("explained").beginObject();
  writer.name("stalled_permille").unsignedInteger(thousandths(rank->explained_stalls));
  writer.name("slow_permille").unsignedInteger(thousandths(rank->explained_slow));
  writer.name("failed_permille").unsignedInteger(thousandths(rank->explained_failures));
  writer.endObject();
  writer.name("compared_streams")
      .unsignedInteger(static_cast<std::uint64_t>(rank->evidence.counts.timed));
  writer.name("fronts_telling").unsignedInteger(rank->evidence.reporting_fronts);
  writer.name("in_flight").unsignedInteger(rank->evidence.in_flight);
  writer.endObject();
  return writer.text();
}

std::string renderMaintenance(const std::vector<MaintainedWorker>& workers) {
  JsonWriter writer;
  writer.beginObject();
  writer.name("workers").beginArray();
  for (const MaintainedWorker& maintained : workers) {
    writer.beginObject();
    writer.name("worker").string(maintained.worker.worker);
    writer.name("pool").string(maintained.worker.pool);
    writer.name("zone").string(maintained.worker.zone);
    writer.name("listed").boolean(maintained.listed);
    writer.name("in_flight").unsignedInteger(maintained.in_flight);
    writer.name("state").string(maintained.in_flight > 0 ? "draining" : "drained");
    writer.endObject();
  }
  writer.endArray().endObject();
  return writer.text();
}

std::string renderMaintenanceResult(const ChangeAnswer& answer, const std::string& worker) {
  const bool is_committed = answer.code == base::ResultCode::Ok ||
                            answer.code == base::ResultCode::CommittedNotYetInForce;
  if (!is_committed) {
    return configuration::renderError(answer.code, {}, answer.faults);
  }
  JsonWriter writer;
  writer.beginObject();
  writer.name("version").unsignedInteger(answer.version);
  writer.name("in_force").boolean(answer.code == base::ResultCode::Ok);
  writer.name("repeated").boolean(answer.repeated);
  writer.name("worker").string(worker);
  writer.endObject();
  return writer.text();
}

}  // namespace switchsaddle::core
