#ifndef FULMARWINCH_SERVERS_GROUPS_DOMAIN_CONTROLLER_H
#define FULMARWINCH_SERVERS_GROUPS_DOMAIN_CONTROLLER_H

#include "core/store_messages.h"
#include "servers/groups/assignment.h"
#include "servers/groups/engine_reconciler.h"
#include "servers/groups/group_transitions.h"
#include "servers/groups/load_timer.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Reads, updates and writes the assignment object of one fabric domain while
/// this node is the lease holder of the domain's shard, and sends the engine
/// orders that follow from the assignment.
class DomainController {
public:
  DomainController(std::string Domain, std::string Writer,
                   GroupSettings Settings);

  /// Sets whether this node is the lease holder, and the lease epoch. A new
  /// epoch discards all state derived from earlier reads, so that the object is
  /// read again.
  void setLease(bool IsLeaseHolder, std::uint64_t LeaseEpoch);

  /// Updates the load timeouts and the health records of the VMs from the VM
  /// list and the engine reports.
  void updateVmHealth(const std::map<std::string, ListedVm> &Listed,
                      const EngineReports &Reports, MonotonicTime Now);

  /// Returns the store call that is due, with the call ID \p Id, or nothing if
  /// none is due.
  std::optional<StoreAction> nextStoreCall(DomainView &View, StoreCallId Id);
  /// Returns the engine orders that are due; none while the stored assignment
  /// is not known for certain.
  std::vector<EngineOrder> dueOrders(DomainView &View);

  void onGetCompleted(const GetCompleted &Event, MonotonicTime Now);
  void onWriteCompleted(const WriteCompleted &Event, MonotonicTime Now);
  void onOrderCompleted(const OrderCompleted &Event, MonotonicTime Now);

  /// Returns the stored assignment as last read or written, or null if it has
  /// not been read in this lease epoch.
  const Assignment *assignment() const {
    return m_HasStoredAssignment ? &m_StoredAssignment : nullptr;
  }
  const MemberHealth &health() const { return m_Health; }
  const std::set<std::string> &overdueLoads() const {
    return m_LoadTimer.overdueVms();
  }
  /// True if this node has written the assignment in this lease epoch with a
  /// conditional update. Orders of earlier lease holders then have a lower
  /// fencing token.
  bool hasClaimedAssignment() const;

private:
  enum class CallPhase { Idle, Reading, Writing };

  std::optional<StoreAction> nextStoreWrite(DomainView &View, StoreCallId Id);
  void setStoredAssignment(Assignment Content, ObjectVersion Version);
  void scheduleRetry(MonotonicTime Now);

  std::string m_Domain;
  std::string m_Writer;
  GroupSettings m_Settings;
  CallPhase m_CallPhase = CallPhase::Idle;
  StoreCallId m_StoreCallId = 0;
  bool m_IsLeaseHolder = false;
  std::uint64_t m_LeaseEpoch = 0;
  bool m_MustRead = true;
  bool m_HasStoredAssignment = false;
  Assignment m_StoredAssignment;
  ObjectVersion m_StoredVersion;
  Assignment m_PendingWrite;
  std::uint64_t m_WriteSequence = 0;
  /// The outcome of the write of m_PendingWrite is unknown and the object has
  /// not been read again since.
  bool m_WriteOutcomeUnknown = false;
  /// The object read after a write of unknown outcome did not contain that
  /// write. The next write is sent even if the assignment is unchanged: it
  /// changes the object version, so that the earlier write can no longer be
  /// applied.
  bool m_MustInvalidateWrite = false;
  MonotonicTime m_NextCallAt = MonotonicTime::min();
  Duration m_Backoff{};
  MemberHealth m_Health;
  LoadTimer m_LoadTimer;
  GroupTransitions m_Transitions;
  EngineReconciler m_Reconciler;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_GROUPS_DOMAIN_CONTROLLER_H
