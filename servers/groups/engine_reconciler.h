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

/// Compares the stored assignment with what the engines report and repeats
/// the orders that make them agree.
class EngineReconciler {
public:
  /// Returns the orders that are due. Every order carries the generation of
  /// \p Stored as its fencing token.
  std::vector<EngineOrder> reconcile(const Assignment &Stored,
                                     const DomainView &View);
  void onOrderCompleted(const OrderCompleted &Event, MonotonicTime Now);

  /// VMs whose engine accepted an unload order in its current start and has
  /// reported empty after that. Earlier orders can't take effect on an engine
  /// that checks fencing from then on.
  std::set<std::string> fencedEmpty(const EngineReports &Reports) const;
  /// Forgets all answers, for a new lease epoch: other holders may have sent
  /// orders in between.
  void reset() { m_Tracks.clear(); }
  /// Highest token that an engine refused one of our orders for; 0 if none.
  std::uint64_t refusedBelow() const { return m_RefusedBelow; }
  void clearRefusal() { m_RefusedBelow = 0; }

private:
  struct Track {
    EngineOrder m_Last;
    MonotonicTime m_SentAt{};
    std::string m_StartId;
    bool m_Sent = false;
    bool m_Outstanding = false;
    bool m_Accepted = false;
    MonotonicTime m_AcceptedAt{};
  };

  std::optional<EngineOrder> wanted(const Assignment &Stored,
                                    const std::string &Name,
                                    const EngineReport &Report,
                                    const std::set<std::string> &Fenced,
                                    const DomainView &View) const;
  static bool isDue(const Track &Last, const EngineOrder &Order,
                    const EngineReport &Report, bool ChecksFencing,
                    const DomainView &View);

  std::map<std::string, Track> m_Tracks;
  std::uint64_t m_RefusedBelow = 0;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_GROUPS_ENGINE_RECONCILER_H
