#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace switchsaddle::testbed {

/** What an order event tells of. */
namespace order_event {
/** An evacuation was acknowledged; the subject is a zone. */
inline constexpr const char* Evacuated = "evacuated";
/** A restoration was sent; the subject is a zone. */
inline constexpr const char* Restored = "restored";
/** A revocation was acknowledged; the subject is the key's tenant, which has no other key. */
inline constexpr const char* Revoked = "revoked";
/** The key is being added again; the subject is its tenant. */
inline constexpr const char* Added = "added";
/** A worker announced that it is leaving; the subject is the worker. */
inline constexpr const char* Draining = "draining";
/** A worker was killed; the subject is the worker. */
inline constexpr const char* Vanished = "vanished";
/** A worker is being started, or no longer announces its leaving. */
inline constexpr const char* Returned = "returned";
}  // namespace order_event

/**
 * One line of a record of orders. Events that forbid work are noted once their answer came, those
 * that allow it again before they are sent, so that a judge never blames what was allowed. Other
 * events, such as "kill", are notes for people.
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
/** All events of a record of orders; a torn last line is left out. */
std::vector<OrderEvent> readOrderEvents(const std::string& path);

}  // namespace switchsaddle::testbed
