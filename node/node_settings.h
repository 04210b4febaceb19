#ifndef FULMARWINCH_NODE_NODE_SETTINGS_H
#define FULMARWINCH_NODE_NODE_SETTINGS_H

#include "core/json.h"
#include "core/log.h"
#include "core/time.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fulmarwinch {

/// An IP address with a TCP port.
struct Endpoint {
  std::string m_Address;
  std::uint16_t m_Port = 0;
};

/// Returns the endpoint as "address:port".
std::string toText(const Endpoint &Value);

/// Settings of one fulmarwinchd process, read from its JSON file.
struct NodeSettings {
  std::string m_Node;
  std::string m_Region;
  std::string m_Zone;
  Endpoint m_ClientEndpoint;
  Endpoint m_OperatorEndpoint;
  Endpoint m_PeerEndpoint;
  /// Address of the platform's object API.
  Endpoint m_PlatformEndpoint;
  /// Peer endpoints of the nodes that this node contacts first.
  std::vector<Endpoint> m_Seeds;
  /// SHA-256 of the key that authenticates an administrator while the
  /// configuration contains no operator.
  std::string m_BootstrapKeySha256;
  /// Number of availability zones in the region; 0 if unknown. It prevents
  /// nodes that were all replaced during a partition from mistaking their own
  /// availability zone for the whole region.
  std::int64_t m_ExpectedZones = 0;
  LogLevel m_LogLevel = LogLevel::Info;
  std::int64_t m_HttpThreads = 4;
  std::int64_t m_MaxBodyBytes = 8 << 20;
  std::int64_t m_HeaderTimeoutMs = 10000;
  std::int64_t m_QueueCapacity = 1024;
  /// Memory that the process may use, in MiB; 0: the memory of the machine.
  std::int64_t m_MemoryMb = 0;
  /// Descriptors that the process may have open; 0: its limit (RLIMIT_NOFILE).
  std::int64_t m_MaxDescriptors = 0;
  /// Time after SIGTERM during which new requests are still accepted, so that
  /// the load balancer can detect that /readyz fails.
  std::int64_t m_DrainGraceMs = 2000;
  /// Longest time that a graceful shutdown waits for requests in progress.
  std::int64_t m_DrainTimeoutMs = 600000;
};

/// Returns the memory that the process may use, in MiB.
double memoryMb(const NodeSettings &Settings);

/// Returns the number of descriptors that clients and their requests may use.
/// The others are for files, peers, the platform and operators.
std::size_t clientDescriptors(const NodeSettings &Settings);

/// Returns the number of unused connections to servers that one thread of a
/// client may keep.
std::size_t maxPooledConnections(const NodeSettings &Settings);

/// Parses the settings. An error contains the path of the key, the value found,
/// the values allowed and a remedy.
absl::StatusOr<NodeSettings> parseNodeSettings(const Json &Object);

/// Reads and parses the settings file \p Path.
absl::StatusOr<NodeSettings> readNodeSettings(const std::string &Path);

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_NODE_SETTINGS_H
