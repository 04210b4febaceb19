#ifndef FULMARWINCH_SERVERS_FLEET_FLEET_VIEW_H
#define FULMARWINCH_SERVERS_FLEET_FLEET_VIEW_H

#include "core/object_feed.h"
#include "servers/fleet/backend_server.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fulmarwinch {

/// One replica group, as reported in the store entries of its members.
struct ReplicaGroup {
  GroupKey m_Key;
  std::string m_Model;
  std::string m_FabricDomain;
  /// Member IDs by rank. The ID is empty for a rank that no server reports.
  std::vector<std::string> m_Members;
  /// Member with rank 0; null if no server reports this rank.
  const BackendServer *m_Head = nullptr;
};

/// View of the backend servers of one node, built from the entries in the
/// platform's store. Not thread-safe: the caller serialises access.
class FleetView {
public:
  FleetView() = default;
  FleetView(const FleetView &) = delete;
  FleetView &operator=(const FleetView &) = delete;

  /// Replaces all entries by the result of a list call to the store. Returns
  /// the IDs of servers whose entry is new, changed or deleted. A listing that
  /// may be outdated replaces only what its servers reported later, and
  /// servers that it lacks are removed by removeMissing().
  std::vector<std::string>
  replaceAll(std::vector<BackendServer> Servers, MonotonicTime Now,
             ListingTrust Trust = ListingTrust::Latest);
  /// Removes the servers that an outdated listing lacked and whose entry has
  /// not returned in time. Returns their IDs.
  std::vector<std::string> removeMissing(MonotonicTime Now);
  /// Applies one new or changed entry. Returns false if the view already has
  /// this or a later state.
  bool update(BackendServer Server, MonotonicTime Now);
  /// Removes a server whose entry was deleted at \p Position. Returns false if
  /// the server is unknown or its entry is newer.
  bool remove(const std::string &Id, StorePosition Position);

  /// Must be called when the process of the server \p Id that started at \p
  /// StartedAtMs has said that it leaves. It counts as draining from then on,
  /// whatever its store entry says. Returns false if that was known.
  bool setLeaving(const std::string &Id, std::int64_t StartedAtMs);

  /// Sets the services that the configuration names. Entries of other services
  /// are not part of the view until a configuration names their service: they
  /// may have been written by anyone. Before the first call all services count
  /// as named.
  void setServices(std::set<std::string> Names, MonotonicTime Now);
  /// Entries of services that the configuration does not name, by server ID.
  const std::map<std::string, BackendServer> &excludedEntries() const {
    return m_ExcludedEntries;
  }

  /// Sets the availability zones that receive no new work.
  void setEvacuatedZones(std::set<std::string> Zones);
  bool isEvacuated(const std::string &Zone) const;

  /// Returns the server with the ID \p Id, or null if it has no entry.
  const BackendServer *find(const std::string &Id) const;
  /// Returns the last entries of members of \p Group whose store entry is gone.
  /// These servers may still be running: the entry also expires while a server
  /// is partitioned from the store.
  std::vector<const BackendServer *>
  membersWithoutEntry(const GroupKey &Group) const;
  const std::map<std::string, BackendServer> &servers() const {
    return m_Servers;
  }

  /// True if \p Server may receive new work: it is not draining and its zone is
  /// not evacuated.
  bool acceptsNewWork(const BackendServer &Server) const;
  /// Returns the remaining time of the cold start of the server \p Id at
  /// \p Now; zero if it is not cold or unknown.
  Duration remainingColdTime(const std::string &Id, MonotonicTime Now) const;

  /// Returns the groups that at least one server reports, ordered by key. The
  /// result is valid until the next change of the view. It is cached until
  /// then, since every dispatch uses it.
  const std::map<GroupKey, ReplicaGroup> &groups() const;
  /// Number of changes so far of what servers() and groups() return. Results
  /// that were computed from them are valid while it stays the same.
  std::uint64_t changeCount() const { return m_ChangeCount; }

private:
  bool isServiceNamed(const std::string &Service) const;
  /// True if \p Server is a state from before one that this view has seen, of a
  /// server that it knows or that was removed.
  bool isOutdated(const BackendServer &Server) const;
  /// Records that the entry of \p Server was removed.
  void recordRemoval(const BackendServer &Server);
  /// Stores the last entry of a group member whose store entry is gone.
  void storeUnlistedMember(BackendServer Server);

  std::map<std::string, BackendServer> m_Servers;
  std::optional<std::set<std::string>> m_Services;
  std::map<std::string, BackendServer> m_ExcludedEntries;
  /// Last entries of group members whose store entry is gone.
  std::map<std::string, BackendServer> m_UnlistedMembers;
  std::map<std::string, MonotonicTime> m_ColdUntil;
  std::set<std::string> m_EvacuatedZones;
  /// Process that has said that it leaves.
  struct LeavingProcess {
    std::int64_t m_StartedAtMs = 0;
    /// Number of the notice; increases with time.
    std::uint64_t m_Notice = 0;
  };
  std::map<std::string, LeavingProcess> m_LeavingProcesses;
  std::uint64_t m_LastNotice = 0;
  /// Last report of a server whose entry was removed.
  struct RemovedEntry {
    BackendServer m_LastState;
    /// Number of the notice; increases with time.
    std::uint64_t m_Notice = 0;
  };
  std::map<std::string, RemovedEntry> m_RemovedEntries;
  /// Servers that the last outdated listing lacked, with the time at which they
  /// count as gone.
  std::map<std::string, MonotonicTime> m_MissingUntil;
  mutable std::map<GroupKey, ReplicaGroup> m_Groups;
  std::uint64_t m_ChangeCount = 1;
  /// Value of m_ChangeCount for which m_Groups was built.
  mutable std::uint64_t m_GroupsChangeCount = 0;
};

/// Returns the model part of a group name. Group names have the form
/// "<model>.<epoch>.<number>".
std::string modelOfGroup(const std::string &GroupName);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_FLEET_FLEET_VIEW_H
