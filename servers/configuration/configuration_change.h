#ifndef FULMARWINCH_SERVERS_CONFIGURATION_CONFIGURATION_CHANGE_H
#define FULMARWINCH_SERVERS_CONFIGURATION_CONFIGURATION_CHANGE_H

#include "core/time.h"
#include "servers/configuration/configuration_entry.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Number of a configuration; each accepted change increments it by 1. 0 is
/// the empty configuration.
using ConfigurationRevision = std::uint64_t;

/// New JSON text of one entry; an empty text removes the entry.
struct EntryChange {
  EntryId m_Id;
  std::string m_JsonText;
};

/// A change that was accepted into the configuration, with the ID of its plan,
/// the operator who confirmed it and the time of the confirmation.
struct ConfigurationChange {
  ConfigurationRevision m_Revision = 0;
  std::string m_PlanId;
  std::string m_Operator;
  UnixSeconds m_ConfirmedAt = 0;
  std::vector<EntryChange> m_Entries;
};

Json toJson(const ConfigurationChange &Change);
/// Parses an object that toJson() returned. Fails if the revision or the
/// entries are missing or an entry is malformed.
absl::StatusOr<ConfigurationChange> parseChange(const Json &Object);

Json toJson(const EntryChange &Entry);
/// Parses an object that toJson() returned. Fails without a valid entry ID or
/// text.
absl::StatusOr<EntryChange> parseEntryChange(const Json &Object);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_CONFIGURATION_CONFIGURATION_CHANGE_H
