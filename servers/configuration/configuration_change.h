#ifndef FULMARWINCH_SERVERS_CONFIGURATION_CONFIGURATION_CHANGE_H
#define FULMARWINCH_SERVERS_CONFIGURATION_CONFIGURATION_CHANGE_H

#include "core/time.h"
#include "servers/configuration/configuration_entry.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Orders all changes of the configuration. 0 is the empty configuration.
using ConfigurationRevision = std::uint64_t;

/// New text of one entry; an empty text removes the entry.
struct EntryChange {
  EntryId m_Id;
  std::string m_Text;
};

/// One accepted change.
struct ConfigurationChange {
  ConfigurationRevision m_Revision = 0;
  std::string m_Plan;
  std::string m_Operator;
  UnixSeconds m_Time = 0;
  std::vector<EntryChange> m_Entries;
};

Json toJson(const ConfigurationChange &Change);
absl::StatusOr<ConfigurationChange> parseChange(const Json &Object);

/// Encodes the entry \p Id with the text \p Text for JSON documents.
Json toJson(const EntryChange &Entry);
absl::StatusOr<EntryChange> parseEntryChange(const Json &Object);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_CONFIGURATION_CONFIGURATION_CHANGE_H
