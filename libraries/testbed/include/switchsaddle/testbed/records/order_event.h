#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace switchsaddle::testbed {

/** The events of an order record that the checkers use. */
namespace order_event {
/** An evacuation was acknowledged; the subject is a zone. */
inline constexpr const char* Evacuated = "evacuated";
/** A request to restore a zone is about to be sent; the subject is the zone. */
inline constexpr const char* Restored = "restored";
/** A key's revocation was acknowledged; the subject is its tenant, which has no other key. */
inline constexpr const char* Revoked = "revoked";
/** A request to add the key again is about to be sent; the subject is its tenant. */
inline constexpr const char* Added = "added";
/** A worker announced that it is leaving; the subject is the worker. */
inline constexpr const char* Draining = "draining";
/** A worker was killed; the subject is the worker. */
inline constexpr const char* Vanished = "vanished";
/** A worker is about to be started again; the subject is the worker. */
inline constexpr const char* Returned = "returned";
}  // namespace order_event

/**
 * One line of an order record. An order that forbids runs is recorded when its answer arrives; one
 * that allows them again is recorded before it is sent. A checker therefore never reports a run
 * that was allowed. Other events, such as "kill", are for human readers only.
 */
struct OrderEvent {
  /** Boot clock, milliseconds. */
  std::int64_t at_ms = 0;
  std::string event;
  /** A zone, tenant, worker or process. */
  std::string subject;
  std::string detail;
};

/** The event as one line of JSON without the line end. */
std::string toJsonLine(const OrderEvent& event);
/** Throws base::Error with MalformedJson or InvalidValue. */
OrderEvent parseOrderEvent(const std::string& line);
/** All events of an order record; an incomplete last line is ignored. */
std::vector<OrderEvent> readOrderEvents(const std::string& path);

}  // namespace switchsaddle::testbed
