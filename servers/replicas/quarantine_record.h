#ifndef FULMARWINCH_SERVERS_REPLICAS_QUARANTINE_RECORD_H
#define FULMARWINCH_SERVERS_REPLICAS_QUARANTINE_RECORD_H

#include "core/json.h"
#include "servers/fleet/backend_server.h"

#include <cstdint>
#include <map>
#include <string>

namespace fulmarwinch {

/// Process of a head server that is out of sight and may still serve its group.
struct HeadProcess {
  std::string m_Id;
  /// Without an IP address if the process is not known.
  Endpoint m_Endpoint;
  std::int64_t m_StartedAtMs = 0;

  bool operator==(const HeadProcess &Other) const {
    return m_Id == Other.m_Id && m_Endpoint == Other.m_Endpoint &&
           m_StartedAtMs == Other.m_StartedAtMs;
  }
};

/// Quarantined servers, each with the head that may still serve with it. A
/// lease holder hands the record to the next one through the store.
using QuarantineRecord = std::map<std::string, HeadProcess>;

/// Adds the servers of \p Other to \p Record. The head of a server that both
/// name with different heads is not known.
void mergeInto(QuarantineRecord &Record, const QuarantineRecord &Other);

/// Encodes \p Record as an object with the fields `servers`, the names of all
/// servers, and `heads`, the known heads with their members. Nodes of earlier
/// versions read only `servers`.
Json toJson(const QuarantineRecord &Record);
/// Decodes the object of toJson(). Malformed rows of `heads` are skipped, so
/// that the heads of their members are not known.
QuarantineRecord parseQuarantineRecord(const Json &Object);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_REPLICAS_QUARANTINE_RECORD_H
