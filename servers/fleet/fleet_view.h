#ifndef FULMARWINCH_SERVERS_FLEET_FLEET_VIEW_H
#define FULMARWINCH_SERVERS_FLEET_FLEET_VIEW_H

#include "servers/fleet/backend_server.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace fulmarwinch {

/// One replica group, put together from what its members report.
struct ReplicaGroup {
  GroupKey m_Key;
  std::string m_Model;
  std::string m_Domain;
  /// IDs by rank; a rank that no server reports has an empty ID.
  std::vector<std::string> m_Members;
  const BackendServer *m_Head = nullptr;
};

/// What a node believes about the backend servers. The caller serialises
/// access and feeds it the entries of the platform's store.
class FleetView {
public:
  FleetView() = default;
  FleetView(const FleetView &) = delete;
  FleetView &operator=(const FleetView &) = delete;

  /// Replaces everything by the result of a list call. Returns the IDs whose
  /// entry is new, changed or gone.
  std::vector<std::string> replaceAll(std::vector<BackendServer> Servers,
                                      MonotonicTime Now);
  /// Takes one new or changed entry. An older revision is ignored.
  bool update(BackendServer Server, MonotonicTime Now);
  /// Forgets a server whose entry was deleted at \p Revision.
  bool remove(const std::string &Id, std::uint64_t Revision);

  void setEvacuatedZones(std::set<std::string> Zones);
  bool isEvacuated(const std::string &Zone) const;

  const BackendServer *find(const std::string &Id) const;
  /// Last entries of servers whose entry is gone and that were in \p Group.
  /// They may live on: an entry also goes when its server is cut off from the
  /// store.
  std::vector<const BackendServer *>
  unlistedMembers(const GroupKey &Group) const;
  const std::map<std::string, BackendServer> &servers() const {
    return m_Servers;
  }

  /// True if new work may go to \p Server at all.
  bool takesWork(const BackendServer &Server) const;
  /// Time for which \p Server stays cold after \p Now.
  Duration coldFor(const std::string &Id, MonotonicTime Now) const;

  /// Groups that at least one server reports, ordered by key. Valid until the
  /// next change. They are put together once per change, since every dispatch
  /// asks for them.
  const std::map<GroupKey, ReplicaGroup> &groups() const;

private:
  void setUnlisted(BackendServer Server);

  std::map<std::string, BackendServer> m_Servers;
  /// Last entries of servers that are not listed any more.
  std::map<std::string, BackendServer> m_Unlisted;
  std::map<std::string, MonotonicTime> m_ColdUntil;
  std::set<std::string> m_EvacuatedZones;
  mutable std::map<GroupKey, ReplicaGroup> m_Groups;
  mutable bool m_GroupsAreCurrent = false;
};

/// Returns the model that the name of a group carries. Group names have the
/// form "<model>.<epoch>.<number>".
std::string modelOfGroup(const std::string &GroupName);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_FLEET_FLEET_VIEW_H
