#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace switchsaddle::testbed {

/** A listener of a daemon that a crowd connects to. */
enum class CrowdListener : std::uint8_t {
  FrontHttp,
  FrontReadiness,
  FrontPeer,
  CoreHttp,
  CorePeer
};

/** What a client does once it has sent all its bytes. */
enum class CrowdAfterwards : std::uint8_t {
  /** Stays connected, and reads what comes. */
  ReadAndStay,
  /** Stays connected and reads nothing. */
  StayWithoutReading,
};

/** What one client of a crowd sends on each of its connections. */
struct CrowdScript {
  /** Sent first. */
  std::string opening = {};
  /** Sent after the opening, again and again until `filler_bytes` have been sent. */
  std::string filler = {};
  std::size_t filler_bytes = 0;
  CrowdAfterwards afterwards = CrowdAfterwards::ReadAndStay;
  /** Bytes sent at a time, with a pause after each; zero to send as fast as the server reads. */
  std::size_t piece_bytes = 0;
  /** Connections that one client keeps open at the same time. */
  int connections = 1;
};

/** A crowd: its clients all follow one script at one listener. */
struct CrowdKind {
  std::string name;
  CrowdListener listener;
  CrowdScript script;
};

/** The requests that a crowd's scripts are made of. */
struct CrowdRequests {
  /** Host of a forwarded route that needs no key. */
  std::string forwarded_host;
  /** Path below that route's prefix. */
  std::string forwarded_target;
  /** Path below the prefix of a route of streams of the same host. */
  std::string stream_target;
  /** Size of the largest body that the daemons accept. */
  std::size_t body_limit_bytes = 4U << 20U;
  /** Key of a tenant, for requests of the product's own interface. */
  std::string tenant_key;
};

/** @return all crowds, each with what its clients send. */
std::vector<CrowdKind> crowdKinds(const CrowdRequests& requests);

/** @return a request of the forwarded route. @param id its Request-Id. */
std::string forwardedRequest(const CrowdRequests& requests, std::string_view id,
                             const std::string& body);

}  // namespace switchsaddle::testbed
