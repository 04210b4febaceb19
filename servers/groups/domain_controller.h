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

/// Reads, changes and writes the assignment object of one fabric domain while
/// its shard is held, and orders the engines accordingly.
class DomainController {
public:
  DomainController(std::string Domain, std::string Writer,
                   GroupSettings Settings);

  /// Tells the lease status. A new epoch starts over from the stored object.
  void setLease(bool Held, std::uint64_t Epoch);

  /// Updates the presence of VMs from \p View and its own failure records.
  void observe(const std::map<std::string, ListedVm> &Listed,
               const EngineReports &Reports, MonotonicTime Now);

  /// Returns the store call that is due, if any, numbered \p Id.
  std::optional<StoreAction> nextCall(DomainView &View, StoreCallId Id);
  /// Returns the engine orders that are due.
  std::vector<EngineOrder> nextOrders(DomainView &View);

  void onGetCompleted(const GetCompleted &Event, MonotonicTime Now);
  void onPutCompleted(const PutCompleted &Event, MonotonicTime Now);
  void onOrderCompleted(const OrderCompleted &Event, MonotonicTime Now);

  /// The stored assignment as last read or written; nothing while it is not
  /// known in this epoch.
  const Assignment *assignment() const {
    return m_HasStored ? &m_Stored : nullptr;
  }
  const MemberHealth &health() const { return m_Health; }
  const std::set<std::string> &overdueLoads() const {
    return m_LoadTimer.overdue();
  }
  /// True if a conditional update of this epoch made the assignment ours, so
  /// that orders of earlier holders carry a lower token.
  bool isTakenOver() const;

private:
  enum class Phase { Idle, Reading, Writing };

  std::optional<StoreAction> nextWrite(DomainView &View, StoreCallId Id);
  void adopt(Assignment Value, ObjectVersion Version);
  void retryLater(MonotonicTime Now);

  std::string m_Domain;
  std::string m_Writer;
  GroupSettings m_Settings;
  Phase m_Phase = Phase::Idle;
  StoreCallId m_CallId = 0;
  bool m_Held = false;
  std::uint64_t m_Epoch = 0;
  bool m_MustRead = true;
  bool m_HasStored = false;
  Assignment m_Stored;
  ObjectVersion m_Version = 0;
  Assignment m_Pending;
  std::uint64_t m_Sequence = 0;
  /// A write of m_Pending had an unknown outcome and was not found by the
  /// reread: the next write changes the version even if nothing else changed.
  bool m_Unresolved = false;
  bool m_MustFence = false;
  MonotonicTime m_NextCallAt = MonotonicTime::min();
  Duration m_Backoff{};
  MemberHealth m_Health;
  LoadTimer m_LoadTimer;
  GroupTransitions m_Transitions;
  EngineReconciler m_Reconciler;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_GROUPS_DOMAIN_CONTROLLER_H
