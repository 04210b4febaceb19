#ifndef FULMARWINCH_SERVERS_CONFIGURATION_CONFIGURATION_VIEW_H
#define FULMARWINCH_SERVERS_CONFIGURATION_CONFIGURATION_VIEW_H

#include "servers/configuration/configuration_change.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace fulmarwinch {

/// Number of revisions for which removed entries and plan IDs are remembered.
/// A plan whose base is older is refused, so that a confirm that is sent again
/// always finds either its own plan ID or a certain refusal. At 20,000 changes
/// a day it is about 74 minutes.
inline constexpr ConfigurationRevision RememberedRevisions = 1024;

/// Content of an entry, shared by all views that contain it.
struct EntryContent {
  std::string m_Text;
  /// Empty if this version of the program cannot parse the text.
  std::optional<ConfigurationValue> m_Value;
};

/// State of an entry in a view.
struct ViewEntry {
  /// The revision, plan and operator that last changed the entry.
  ConfigurationRevision m_Revision = 0;
  std::string m_Plan;
  std::string m_Operator;
  /// Null if the entry was removed.
  std::shared_ptr<const EntryContent> m_Content;
};

/// Immutable configuration at one revision, handed out by shared pointer.
/// Content and encoding depend on the accepted changes only, not on the way
/// by which a node received them.
class ConfigurationView {
public:
  using Pointer = std::shared_ptr<const ConfigurationView>;

  /// Returns the empty configuration of revision 0.
  static Pointer empty();
  /// Decodes a snapshot object.
  static absl::StatusOr<Pointer> decode(const std::string &Text);
  std::string encode() const;

  /// Returns the view after \p Change. Fails if the change is not the next
  /// revision, which means a gap or a repetition.
  absl::StatusOr<Pointer> applied(const ConfigurationChange &Change) const;

  ConfigurationRevision revision() const { return m_Revision; }
  const std::map<EntryId, ViewEntry> &entries() const { return m_Entries; }
  /// Returns the state of \p Id, also of a removed one, or null.
  const ViewEntry *find(const EntryId &Id) const;
  /// Returns the revision that last changed \p Id, or 0.
  ConfigurationRevision revisionOf(const EntryId &Id) const;
  /// Returns the text of \p Id, or an empty text if there is no such entry.
  std::string textOf(const EntryId &Id) const;
  /// Returns the revision by which \p Plan was accepted, if remembered.
  std::optional<ConfigurationRevision>
  revisionOfPlan(const std::string &Plan) const;

  const Deployment *deployment(const std::string &Name) const;
  const Service *service(const std::string &Name) const;
  const Organisation *organisation(const std::string &Name) const;
  const Operator *operatorAccount(const std::string &Name) const;
  bool isZoneInService(const std::string &Name) const;
  bool isVmDrained(const std::string &Vm) const;

private:
  template <typename ValueType>
  const ValueType *value(EntryKind Kind, const std::string &Name) const;
  void forgetOld();

  ConfigurationRevision m_Revision = 0;
  std::map<EntryId, ViewEntry> m_Entries;
  std::map<ConfigurationRevision, std::string> m_Plans;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_CONFIGURATION_CONFIGURATION_VIEW_H
