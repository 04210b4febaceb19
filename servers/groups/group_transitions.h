#ifndef FULMARWINCH_SERVERS_GROUPS_GROUP_TRANSITIONS_H
#define FULMARWINCH_SERVERS_GROUPS_GROUP_TRANSITIONS_H

#include "servers/groups/assignment.h"
#include "servers/groups/domain_view.h"

#include <map>
#include <string>
#include <vector>

namespace fulmarwinch {

/// State transitions of the groups of one domain. The timers are those of one
/// holder; a new holder starts them again, which only delays.
class GroupTransitions {
public:
  /// Changes \p Next, a copy of the stored assignment, to what it should be
  /// now.
  void apply(Assignment &Next, const DomainView &View);

private:
  using MissingMembers = std::vector<std::size_t>;

  void updateGroup(Assignment &Next, const std::string &Id,
                   const DomainView &View);
  void drain(Assignment &Next, const std::string &Id, const DomainView &View);
  void finishDrain(Assignment &Next, const std::string &Id,
                   const DomainView &View);
  void repair(Assignment &Next, const std::string &Id, const DomainView &View);
  RepairSituation situationOf(const Assignment &Next, const std::string &Id,
                              const MissingMembers &Missing,
                              const DomainView &View) const;
  bool waitsForDonor(const Assignment &Next, const std::string &Id);
  void removeSurplus(Assignment &Next, const DomainView &View);
  void replaceOutdated(Assignment &Next, const DomainView &View);
  void formGroups(Assignment &Next, const DomainView &View);

  std::map<std::string, MonotonicTime> m_DrainingSince;
  std::map<std::string, MonotonicTime> m_BrokenSince;
  std::map<std::string, MonotonicTime> m_SurplusSince;
  /// The donor that a broken group waits for.
  std::map<std::string, std::string> m_Donors;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_GROUPS_GROUP_TRANSITIONS_H
