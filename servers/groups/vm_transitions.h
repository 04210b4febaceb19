#ifndef FULMARWINCH_SERVERS_GROUPS_VM_TRANSITIONS_H
#define FULMARWINCH_SERVERS_GROUPS_VM_TRANSITIONS_H

#include "servers/groups/assignment.h"
#include "servers/groups/domain_view.h"

#include <string>

namespace fulmarwinch {

/// Takes the VM list over: new VMs start as Releasing, because an old engine
/// may run there; a member with a new incarnation changes its group's
/// generation; VMs without a group that are no longer listed are dropped.
void applyVmList(Assignment &Next, const DomainView &View);

/// Frees the VMs whose engine is fenced and empty, and drops disbanded groups
/// that no VM leaves any more.
void freeReleasedVms(Assignment &Next, const DomainView &View);

/// Ends a group; its VMs are released.
void disbandGroup(Assignment &Next, const std::string &Id,
                  const DomainView &View);

/// Takes \p Vm out of its group's entry; the caller changes the group.
void releaseVm(Assignment &Next, const std::string &Vm);

/// True if \p Vm may become a member of a group.
bool isEligible(const Assignment &Next, const std::string &Vm,
                const DomainView &View);

/// True if the member is listed with its incarnation and usable.
bool isMemberUsable(const GroupMember &Member, const DomainView &View);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_GROUPS_VM_TRANSITIONS_H
