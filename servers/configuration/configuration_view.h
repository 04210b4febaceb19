#ifndef FULMARWINCH_SERVERS_CONFIGURATION_CONFIGURATION_VIEW_H
#define FULMARWINCH_SERVERS_CONFIGURATION_CONFIGURATION_VIEW_H

#include "servers/configuration/configuration_change.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace fulmarwinch {

/// Number of revisions for which removed entries and the IDs of accepted plans
/// are retained. A plan based on an older revision is refused. A repeated
/// confirmation of a plan therefore either finds the plan's ID or is refused.
/// At 20,000 changes a day, 1024 revisions last about 74 minutes.
inline constexpr ConfigurationRevision RetainedRevisions = 1024;

/// Text and parsed value of an entry, shared by all views that contain it.
struct EntryContent {
  std::string m_JsonText;
  /// The parsed text; unset if this program version cannot parse it.
  std::optional<ConfigurationValue> m_Value;
};

/// State of an entry in a view.
struct ViewEntry {
  /// The revision, plan and operator that last changed the entry.
  ConfigurationRevision m_Revision = 0;
  std::string m_PlanId;
  std::string m_Operator;
  /// Null if the change removed the entry.
  std::shared_ptr<const EntryContent> m_Content;
};

/// Immutable configuration at one revision, used through a shared pointer.
/// Nodes at the same revision have the same content and the same encoding,
/// whether they received single changes or a snapshot.
class ConfigurationView {
public:
  using Pointer = std::shared_ptr<const ConfigurationView>;

  /// Returns the empty configuration of revision 0.
  static Pointer makeEmpty();
  /// Decodes a snapshot that encode() returned. Fails if it is malformed.
  static absl::StatusOr<Pointer> decode(const std::string &Text);
  /// Returns the snapshot of this configuration as JSON text.
  std::string encode() const;

  /// Returns the configuration after \p Change. Fails unless the revision of
  /// the change is revision() + 1.
  absl::StatusOr<Pointer> withChange(const ConfigurationChange &Change) const;

  ConfigurationRevision revision() const { return m_Revision; }
  const std::map<EntryId, ViewEntry> &entries() const { return m_Entries; }
  /// Returns the state of the entry \p Id, or null. An entry that was removed
  /// has a state for RetainedRevisions revisions.
  const ViewEntry *find(const EntryId &Id) const;
  /// Returns the revision that last changed the entry \p Id, or 0 if find()
  /// returns null.
  ConfigurationRevision revisionOf(const EntryId &Id) const;
  /// Returns the JSON text of the entry \p Id, or an empty text without one.
  std::string textOf(const EntryId &Id) const;
  /// Returns the revision at which the plan with the ID \p Plan was accepted,
  /// unless it was not accepted or is older than RetainedRevisions.
  std::optional<ConfigurationRevision>
  revisionOfPlan(const std::string &Plan) const;

  /// The next functions return the parsed entry with the given name, or null if
  /// there is none or this program version cannot parse it.
  const Deployment *deployment(const std::string &Name) const;
  const Service *service(const std::string &Name) const;
  const Organisation *organisation(const std::string &Name) const;
  const Operator *operatorAccount(const std::string &Name) const;
  /// Returns whether the zone is in service; a zone without an entry counts as
  /// in service.
  bool isZoneInService(const std::string &Name) const;
  bool isVmDrained(const std::string &Vm) const;

private:
  template <typename ValueType>
  const ValueType *value(EntryKind Kind, const std::string &Name) const;
  /// Erases plan IDs and removed entries older than RetainedRevisions.
  void eraseExpired();

  ConfigurationRevision m_Revision = 0;
  std::map<EntryId, ViewEntry> m_Entries;
  /// IDs of the accepted plans by the revision at which they were accepted.
  std::map<ConfigurationRevision, std::string> m_AcceptedPlans;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_CONFIGURATION_CONFIGURATION_VIEW_H
