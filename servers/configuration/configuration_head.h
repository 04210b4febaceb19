#ifndef FULMARWINCH_SERVERS_CONFIGURATION_CONFIGURATION_HEAD_H
#define FULMARWINCH_SERVERS_CONFIGURATION_CONFIGURATION_HEAD_H

#include "servers/configuration/configuration_change.h"

#include <string>
#include <vector>

namespace fulmarwinch {

/// Key of the object whose conditional update accepts a change.
inline constexpr const char *ConfigurationHeadKey = "configuration/head";

/// Returns the key of the immutable snapshot of \p Revision.
std::string snapshotKey(ConfigurationRevision Revision);

/// Content of configuration/head: the snapshot m_SnapshotRevision (0 is the
/// empty configuration, which has no object) plus m_Changes in order.
struct ConfigurationHead {
  ConfigurationRevision m_Revision = 0;
  ConfigurationRevision m_SnapshotRevision = 0;
  std::string m_Writer;
  /// Number of the write among the writes of m_Writer.
  std::uint64_t m_Sequence = 0;
  std::vector<ConfigurationChange> m_Changes;
};

std::string encodeHead(const ConfigurationHead &Head);
/// Decodes \p Text and checks that the changes lead from the snapshot to the
/// revision without a gap.
absl::StatusOr<ConfigurationHead> decodeHead(const std::string &Text);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_CONFIGURATION_CONFIGURATION_HEAD_H
