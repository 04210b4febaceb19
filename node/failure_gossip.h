#ifndef FULMARWINCH_NODE_FAILURE_GOSSIP_H
#define FULMARWINCH_NODE_FAILURE_GOSSIP_H

#include "node/data_path.h"
#include "node/peer_service.h"

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace fulmarwinch {

/// What a node tells its peers about requests that crash backend servers and
/// about groups that fail a class of requests. It contains ages and remaining
/// times, because clocks of different nodes are never compared.
struct FailureRecords {
  std::vector<PoisonRecord> m_Poison;
  std::vector<OutlierRecord> m_Outliers;
};

/// Encodes the newest records in at most \p MaxBytes of CBOR, about half of
/// them for each kind. Returns null if there are none.
Json encodeFailures(FailureRecords Records, std::size_t MaxBytes);
FailureRecords decodeFailures(const Json &Object);

/// Exchanges failure records with peers by a membership topic. Runs on the
/// control thread.
class FailureGossip {
public:
  static constexpr std::size_t MaxTopicBytes = 200;
  /// Pings and responses make some 32 messages per second, and membership may
  /// use 4 KB/s in total, so one message in this many carries records.
  static constexpr std::uint32_t MessagesPerTopic = 4;

  FailureGossip(PeerService &Peers, DataPath &Path);

  /// Forgets expired records; to be called about once per minute.
  void tick(MonotonicTime Now);

private:
  Json records(MonotonicTime Now);
  void onTopic(const TopicReceived &Topic);

  DataPath &m_Path;
  /// The choice is random, so that every peer gets its share.
  std::minstd_rand m_Random{std::random_device{}()};
};

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_FAILURE_GOSSIP_H
