#ifndef FULMARWINCH_SERVERS_CONFIGURATION_CONFIGURATION_ENTRY_H
#define FULMARWINCH_SERVERS_CONFIGURATION_CONFIGURATION_ENTRY_H

#include "core/enum_names.h"
#include "servers/configuration/deployment.h"
#include "servers/configuration/operator_account.h"
#include "servers/configuration/organisation.h"
#include "servers/configuration/service.h"
#include "servers/configuration/vm_drain.h"
#include "servers/configuration/zone.h"

#include <array>
#include <string>
#include <tuple>
#include <variant>

namespace fulmarwinch {

/// Kinds of configuration entries, in the order of the alternatives of
/// ConfigurationValue.
enum class EntryKind {
  Deployment,
  Service,
  Organisation,
  Zone,
  VmDrain,
  Operator
};

inline constexpr std::array<EnumName<EntryKind>, 6> EntryKindNames{{
    {EntryKind::Deployment, "deployment"},
    {EntryKind::Service, "service"},
    {EntryKind::Organisation, "organisation"},
    {EntryKind::Zone, "zone"},
    {EntryKind::VmDrain, "vm_drain"},
    {EntryKind::Operator, "operator"},
}};

/// Identifies one entry by kind and name; written "deployment/chat" as text.
struct EntryId {
  EntryKind m_Kind = EntryKind::Deployment;
  std::string m_Name;

  bool operator<(const EntryId &Other) const {
    return std::tie(m_Kind, m_Name) < std::tie(Other.m_Kind, Other.m_Name);
  }
  bool operator==(const EntryId &Other) const {
    return m_Kind == Other.m_Kind && m_Name == Other.m_Name;
  }
};

/// A parsed entry of any kind.
using ConfigurationValue =
    std::variant<Deployment, Service, Organisation, Zone, VmDrain, Operator>;

/// Parses a whole entry. Error messages start with \p Path, the place of the
/// entry in the document, for example "entries[0]".
absl::StatusOr<ConfigurationValue> parseEntry(const Json &Object,
                                              const std::string &Path);
/// Parses only the keys "kind" and "name" of an entry.
absl::StatusOr<EntryId> parseEntryId(const Json &Object,
                                     const std::string &Path);
/// Returns the canonical JSON form, with sorted keys and with default values
/// for optional fields.
Json toJson(const ConfigurationValue &Value);
/// Returns \p Id as "KIND/NAME".
std::string toText(const EntryId &Id);
/// Parses "KIND/NAME". Fails if the kind is unknown or the name is empty.
absl::StatusOr<EntryId> parseEntryIdText(const std::string &Text);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_CONFIGURATION_CONFIGURATION_ENTRY_H
