#ifndef FULMARWINCH_SERVERS_GROUPS_ENGINE_RECONCILER_H
#define FULMARWINCH_SERVERS_GROUPS_ENGINE_RECONCILER_H

#include "servers/groups/assignment.h"
#include "servers/groups/domain_view.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Compares the stored assignment with the engine reports, and repeats orders
/// until the engines match the assignment.
class EngineReconciler {
public:
  /// Returns the orders that are due. The fencing token of each order is the
  /// generation of \p Stored.
  std::vector<EngineOrder> reconcile(const Assignment &Stored,
                                     const DomainView &View);
  void onOrderCompleted(const OrderCompleted &Event, MonotonicTime Now);

  /// Returns the VMs whose current engine process has accepted an unload order
  /// and reported empty after that. An engine that checks fencing tokens
  /// refuses all earlier orders from then on.
  std::set<std::string> fencedEmptyVms(const EngineReports &Reports) const;
  /// Clears all recorded orders and responses at the start of a lease epoch,
  /// because other lease holders may have sent orders since.
  void reset() { m_OrderRecords.clear(); }
  /// Returns the highest fencing token that an engine reported when it refused
  /// an order of this node; 0 if no order was refused. The next generation has
  /// to exceed it.
  std::uint64_t highestTokenOfRefusals() const {
    return m_HighestTokenOfRefusals;
  }
  void clearTokenOfRefusals() { m_HighestTokenOfRefusals = 0; }

private:
  /// Last order sent to one engine, and its response.
  struct OrderRecord {
    EngineOrder m_Order;
    MonotonicTime m_SentAt{};
    /// Start ID of the engine process to which the order was sent.
    std::string m_StartId;
    bool m_Sent = false;
    bool m_AwaitsResponse = false;
    bool m_Accepted = false;
    MonotonicTime m_AcceptedAt{};
  };

  /// Returns the order that makes the engine match \p Stored, or nothing if it
  /// matches already.
  std::optional<EngineOrder>
  desiredOrder(const Assignment &Stored, const std::string &VmName,
               const EngineReport &Report,
               const std::set<std::string> &FencedEmptyVms,
               const DomainView &View) const;
  /// True if \p Order has to be sent now, given the previous order to this
  /// engine.
  static bool isOrderDue(const OrderRecord &Previous, const EngineOrder &Order,
                         const EngineReport &Report, bool ChecksFencing,
                         const DomainView &View);

  std::map<std::string, OrderRecord> m_OrderRecords;
  std::uint64_t m_HighestTokenOfRefusals = 0;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_GROUPS_ENGINE_RECONCILER_H
