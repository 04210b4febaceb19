#ifndef FULMARWINCH_NODE_POISON_EXCHANGE_H
#define FULMARWINCH_NODE_POISON_EXCHANGE_H

#include "node/data_path.h"
#include "node/peer_service.h"
#include "servers/retry/poison_codec.h"

#include <map>
#include <vector>

namespace fulmarwinch {

/// Returns the records of \p Found that are new since the last call with the
/// same \p Told, the newest first and at most \p Limit, and notes them there.
std::vector<PoisonRecord>
takeNewRecords(std::vector<PoisonRecord> Found,
               std::map<ContentHash, PoisonRecord> &Told, std::size_t Limit);

/// Tells the other nodes which requests crashed backend servers. Without it
/// each node would lose backend servers to the same request once more. Runs on
/// the control thread.
class PoisonExchange {
public:
  PoisonExchange(DataPath &Path, PeerService &Peers);

  /// Sends what changed since the last call.
  void tick(MonotonicTime Now);

private:
  void onRecords(const Json &Message);

  DataPath &m_Path;
  PeerService &m_Peers;
  /// What this node has sent or received last, per request.
  std::map<ContentHash, PoisonRecord> m_Told;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_POISON_EXCHANGE_H
