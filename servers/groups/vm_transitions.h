#ifndef FULMARWINCH_SERVERS_GROUPS_VM_TRANSITIONS_H
#define FULMARWINCH_SERVERS_GROUPS_VM_TRANSITIONS_H

#include "servers/groups/assignment.h"
#include "servers/groups/domain_view.h"

#include <string>

namespace fulmarwinch {

/// Applies the platform's VM list to \p Next. New VMs start as Releasing,
/// because an engine of an earlier assignment may still run on them. A member
/// with a new incarnation raises the generation of its group. VMs that are not
/// assigned and no longer listed are removed.
void applyVmList(Assignment &Next, const DomainView &View);

/// Changes releasing VMs whose engine is fenced and empty to Free, and removes
/// disbanded groups of which no VM is releasing any more.
void freeReleasedVms(Assignment &Next, const DomainView &View);

/// Disbands the group \p Id and releases its VMs.
void disbandGroup(Assignment &Next, const std::string &Id,
                  const DomainView &View);

/// Sets the state of \p Vm to Releasing. The caller has to remove the VM from
/// the members of its group.
void releaseVm(Assignment &Next, const std::string &Vm);

/// True if \p Vm may be assigned to a group: it is free, listed, healthy, not
/// drained, and its engine is fenced and empty.
bool isAssignable(const Assignment &Next, const std::string &Vm,
                  const DomainView &View);

/// True if the VM of \p Member is listed with the same incarnation and usable.
bool isMemberUsable(const GroupMember &Member, const DomainView &View);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_GROUPS_VM_TRANSITIONS_H
