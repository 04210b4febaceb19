#ifndef FULMARWINCH_NODE_POISON_EXCHANGE_H
#define FULMARWINCH_NODE_POISON_EXCHANGE_H

#include "node/data_path.h"
#include "node/peer_service.h"
#include "servers/retry/poison_codec.h"

#include <map>
#include <vector>

namespace fulmarwinch {

/// Returns the records of \p Current that differ from \p Exchanged, the newest
/// first and at most \p Limit, and adds them to \p Exchanged. Removes the
/// records from \p Exchanged that are not in \p Current.
std::vector<PoisonRecord>
selectChangedRecords(std::vector<PoisonRecord> Current,
                     std::map<ContentHash, PoisonRecord> &Exchanged,
                     std::size_t Limit);

/// Shares records of requests that crashed backend servers with the other
/// nodes. Otherwise the same request would crash further backend servers
/// through each node. Runs on the control thread.
class PoisonExchange {
public:
  PoisonExchange(DataPath &Path, PeerService &Peers);

  /// Broadcasts the records that changed since the last call.
  void tick(MonotonicTime Now);

private:
  void onRecords(const Json &Message);

  DataPath &m_DataPath;
  PeerService &m_Peers;
  /// Records as they were last sent or received, by the hash of the request.
  std::map<ContentHash, PoisonRecord> m_ExchangedRecords;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_POISON_EXCHANGE_H
