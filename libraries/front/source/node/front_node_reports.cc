#include "switchsaddle/configuration/change_json.h"
#include "switchsaddle/configuration/json_writer.h"
#include "switchsaddle/front/node/front_node.h"

// The reports of a front about itself: its metrics page, and its node entry in the routing table.

namespace switchsaddle::front {

std::string FrontNode::metricsText() const {
  metrics::Page page;
  counters_.appendTo(page);
  page.counter("queue_refusals_total",
               "Requests rejected because too many were queued for the control strand.",
               static_cast<double>(service_.queueRefusals()));
  page.gauge("open_streams", "Stream requests in flight.", static_cast<double>(streams_.active()));
  page.gauge("open_one_shots", "One-shot requests in flight.",
             static_cast<double>(one_shots_.active()));
  page.gauge("ready", "1 if this front accepts new requests, else 0.", service_.ready() ? 1 : 0);
  const std::string state(sessionStateName(session_.state()));
  page.gauge("session_state", "1 for the current state of the session.", 1, {{"state", state}});
  page.gauge("configuration_version", "Version of the configuration in force at this front.",
             static_cast<double>(replica_.version()));
  page.gauge("workers", "Number of workers known to this front.",
             static_cast<double>(directory_.snapshot()->workers.size()));
  if (environment_.process_metrics) {
    environment_.process_metrics(page);
  }
  return page.text();
}

std::string FrontNode::nodeReport() const {
  const std::shared_ptr<const configuration::View> view = replica_.view();
  configuration::JsonWriter writer;
  writer.beginObject();
  writer.name("address").string(environment_.calls.localAddress().toString());
  writer.name("zone").string(environment_.settings.zone);
  writer.name("ready").boolean(service_.ready());
  writer.name("session").string(sessionStateName(session_.state()));
  writer.name("version").unsignedInteger(replica_.version());
  writer.name("digest").string(configuration::digestText(replica_.digest()));
  writer.name("workers").unsignedInteger(directory_.snapshot()->workers.size());
  writer.name("open_streams").unsignedInteger(streams_.active());
  writer.name("open_one_shots").unsignedInteger(one_shots_.active());
  writer.name("open_forwarded").unsignedInteger(forwards_ ? forwards_->active() : 0);
  writer.name("evacuated_zones").beginArray();
  for (const std::string& zone : view->evacuated_zones) {
    writer.string(zone);
  }
  writer.endArray().endObject();
  return writer.text();
}

}  // namespace switchsaddle::front
