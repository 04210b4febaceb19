#ifndef FULMARWINCH_SERVERS_CONFIGURATION_CONFIGURATION_HEAD_H
#define FULMARWINCH_SERVERS_CONFIGURATION_CONFIGURATION_HEAD_H

#include "servers/configuration/configuration_change.h"

#include <string>
#include <vector>

namespace fulmarwinch {

/// Key of the object that holds the newest configuration. A change is accepted
/// by a conditional update of this object.
inline constexpr const char *ConfigurationHeadKey = "configuration/head";

/// Returns the key of the object with the snapshot of \p Revision. The object
/// is never overwritten.
std::string snapshotKey(ConfigurationRevision Revision);

/// Content of configuration/head. The configuration at m_Revision is the
/// snapshot of m_SnapshotRevision followed by m_Changes in order. Snapshot 0 is
/// the empty configuration, for which no object is stored.
struct ConfigurationHead {
  ConfigurationRevision m_Revision = 0;
  ConfigurationRevision m_SnapshotRevision = 0;
  /// Name of the writer that stored this head.
  std::string m_Writer;
  /// Sequence number of this write among all writes of m_Writer.
  std::uint64_t m_Sequence = 0;
  std::vector<ConfigurationChange> m_Changes;
};

std::string encodeHead(const ConfigurationHead &Head);
/// Decodes \p Text. Fails unless the revisions of the changes are consecutive
/// from the snapshot to m_Revision.
absl::StatusOr<ConfigurationHead> decodeHead(const std::string &Text);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_CONFIGURATION_CONFIGURATION_HEAD_H
