#ifndef FULMARWINCH_SERVERS_GROUPS_GROUP_TRANSITIONS_H
#define FULMARWINCH_SERVERS_GROUPS_GROUP_TRANSITIONS_H

#include "servers/groups/assignment.h"
#include "servers/groups/domain_view.h"

#include <map>
#include <string>
#include <vector>

namespace fulmarwinch {

/// State transitions of the groups of one fabric domain. Waiting times are kept
/// in memory only: a new lease holder starts them again, which only delays the
/// transitions.
class GroupTransitions {
public:
  /// Applies all state transitions that are due to \p Next, a copy of the
  /// stored assignment.
  void applyDueTransitions(Assignment &Next, const DomainView &View);

private:
  /// Ranks of the members that are missing or unusable.
  using MissingRanks = std::vector<std::size_t>;

  /// Applies the transitions that depend on the members of the group \p Id.
  void updateGroup(Assignment &Next, const std::string &Id,
                   const DomainView &View);
  /// Starts to drain the group, or disbands it at once if it cannot have
  /// in-flight requests.
  void startDrain(Assignment &Next, const std::string &Id,
                  const DomainView &View);
  /// Disbands the draining group if routers have stopped sending to it and no
  /// member has running or queued requests.
  void finishDrain(Assignment &Next, const std::string &Id,
                   const DomainView &View);
  /// Repairs the broken group as the repair policy decides, after the repair
  /// delay.
  void repair(Assignment &Next, const std::string &Id, const DomainView &View);
  RepairSituation makeRepairSituation(const Assignment &Next,
                                      const std::string &Id,
                                      const MissingRanks &Missing,
                                      const DomainView &View) const;
  bool isWaitingForDonor(const Assignment &Next, const std::string &Id);
  /// Drains groups beyond the number of replicas, those that do not serve
  /// first.
  void drainSurplusGroups(Assignment &Next, const DomainView &View);
  /// Drains one group per deployment whose model, version or size is outdated,
  /// if all others serve.
  void drainOutdatedGroups(Assignment &Next, const DomainView &View);
  /// Forms the groups that placement assigns to this domain from spare VMs.
  void formGroups(Assignment &Next, const DomainView &View);

  std::map<std::string, MonotonicTime> m_DrainingSince;
  std::map<std::string, MonotonicTime> m_BrokenSince;
  std::map<std::string, MonotonicTime> m_SurplusSince;
  /// Donor group that each broken group waits for, by the ID of the broken
  /// group.
  std::map<std::string, std::string> m_AwaitedDonors;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_GROUPS_GROUP_TRANSITIONS_H
