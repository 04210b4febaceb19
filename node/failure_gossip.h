#ifndef FULMARWINCH_NODE_FAILURE_GOSSIP_H
#define FULMARWINCH_NODE_FAILURE_GOSSIP_H

#include "node/data_path.h"
#include "node/peer_service.h"

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace fulmarwinch {

/// Records that a node sends to its peers: requests that crash backend servers,
/// and groups that fail a class of requests. The records contain ages and
/// remaining times, because clocks of different nodes are never compared.
struct FailureRecords {
  std::vector<PoisonRecord> m_PoisonRecords;
  std::vector<OutlierEjection> m_OutlierRecords;
};

/// Encodes the newest records in at most \p MaxBytes of CBOR, about half of the
/// bytes for each kind. Returns null if there are no records or none fits.
Json encodeFailures(FailureRecords Records, std::size_t MaxBytes);
/// Decodes records up to the first malformed row of \p Object.
FailureRecords decodeFailures(const Json &Object);

/// Exchanges failure records with peers as a topic of the membership messages.
/// Runs on the control thread.
class FailureGossip {
public:
  /// Size limit of the records in one message.
  static constexpr std::size_t MaxTopicBytes = 200;
  /// Only one of this number of membership messages carries records, because a
  /// node sends about 32 pings and responses per second and membership may use
  /// 4 KB/s in total.
  static constexpr std::uint32_t MessagesPerExchange = 4;

  FailureGossip(PeerService &Peers, DataPath &Path);

  /// Deletes expired records. Must be called about once per minute.
  void tick(MonotonicTime Now);

private:
  Json makeTopicValue(MonotonicTime Now);
  void onTopic(const TopicReceived &Topic);

  DataPath &m_DataPath;
  /// The messages that carry records are chosen at random, so that all peers
  /// receive them equally often.
  std::minstd_rand m_Random{std::random_device{}()};
};

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_FAILURE_GOSSIP_H
