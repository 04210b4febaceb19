#ifndef FULMARWINCH_PROXY_GROUP_COORDINATOR_H
#define FULMARWINCH_PROXY_GROUP_COORDINATOR_H

#include "proxy/front_settings.h"
#include "proxy/peer_exchange.h"
#include "proxy/platform_binding.h"
#include "proxy/request_relay.h"
#include "proxy/upstream_call.h"
#include "servers/lease/shard_lease.h"
#include "servers/replicas/replica_planner.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Competes for the lease on group formation. While this node is the lease
/// holder, it runs the replica planners and sends their orders to the backend
/// servers. Orders that a node sent before it lost the lease, and that servers
/// carry out later, do no harm: a server refuses them if it has begun another
/// order meanwhile.
class GroupCoordinator {
public:
  GroupCoordinator(RequestRelayContext &Context,
                   const PlatformBinding &Platform,
                   const FrontSettings &Settings, std::string Incarnation);

  /// Sets the live nodes, sorted by name. The order determines which node tries
  /// first to acquire the lease.
  void setLiveNodes(const std::vector<RelayCandidate> &LiveNodes);
  /// Renews or tries to acquire the lease, and plans while it is held.
  void tick(MonotonicTime Now);
  /// Probes the members of a group that seems to have stalled. Does nothing if
  /// this node does not hold the lease.
  void onGroupStalled(const StallReport &Report);
  /// Sets the function that is called when a member of a stalled group failed
  /// its liveness probes.
  void setOnStallConfirmed(
      std::function<void(const StallReport &)> OnStallConfirmed) {
    m_OnStallConfirmed = std::move(OnStallConfirmed);
  }
  /// Called with whether a server is alive, and how its last probe ended.
  using LivenessHandler = std::function<void(bool, UpstreamOutcome)>;
  /// Probes \p Server until it responds, up to ProbeAttempts times.
  void checkLiveness(const BackendServer &Server, LivenessHandler Done,
                     unsigned Attempt = 1);
  /// Must be called when the store has returned from a copy.
  void onStoreRestored(StoreEra Era);
  /// Releases the lease and makes no further attempt to acquire it.
  void stop() { m_Lease.stop(); }
  bool holdsLease() const { return m_HoldsLease; }

private:
  void advanceLease(MonotonicTime Now);
  void planServices(MonotonicTime Now);
  void logSupply(const std::vector<ModelSupply> &Supplies);
  /// Reads the quarantined servers from the store.
  void loadQuarantine(MonotonicTime Now);
  /// Writes the quarantined servers to the store, then sends
  /// m_OrdersAwaitingQuarantine.
  void storeQuarantine();
  /// Writes m_QuarantineToRestore to the store again, in addition to what it
  /// contains. Needs no lease: the next holder reads it when it has one.
  void restoreQuarantine(MonotonicTime Now);
  /// Starts to replace the stored quarantine by \p Record. \p Done is called
  /// with whether that succeeded; otherwise it has to be read again.
  void writeQuarantine(const QuarantineRecord &Record,
                       std::function<void(bool)> Done);
  /// The quarantine of all services at \p Now.
  QuarantineRecord
  quarantineRecord(MonotonicTime Now = MonotonicTime::min()) const;
  /// True if the store has the quarantine of \p Server, with its head.
  bool isQuarantineStored(const std::string &Server) const;
  void sendOrder(const MemberOrder &Order);
  /// True if this node still holds the lease of \p Epoch, under which \p Order
  /// was planned.
  bool mayOrder(const MemberOrder &Order, std::uint64_t Epoch);
  void onOrderCompleted(const MemberOrder &Order,
                        const BufferedResponse &Response);
  void reportOrderEnd(const MemberOrder &Order, OrderResult Result);
  /// Asks \p Server for the state that orders to it are decided on, up to
  /// StateRequestAttempts times.
  void requestState(const BackendServer &Server, unsigned Attempt = 1);
  /// Passes the answer on to the planners. Returns false if it is not usable.
  bool onStateAnswered(const BackendServer &Server,
                       const BufferedResponse &Answer);
  /// Requests the load report of \p Server as a liveness probe.
  void probeLiveness(const BackendServer &Server, LivenessHandler Done);
  std::set<std::string> rateLimitedServers(MonotonicTime Now) const;
  /// Counts a probe or an order for the rate limit of its server.
  void countCall(const std::string &Server, std::int64_t StartedAtMs);
  /// Records what a response to a probe or an order says about its server.
  void recordNotices(const std::string &Server, std::int64_t StartedAtMs,
                     const BufferedResponse &Response);
  void probeStalledMember(const std::string &Server, const StallReport &Report);
  /// Probes the members of open groups that have no entry in the store, and
  /// returns those that count as alive.
  std::set<std::string> probeUnlistedMembers(MonotonicTime Now);

  RequestRelayContext &m_Context;
  const PlatformBinding &m_Platform;
  FrontSettings m_Settings;
  ShardLease m_Lease;
  StoreCallId m_NextCallId = 1;
  bool m_HoldsLease = false;
  /// Epoch of the lease that this node holds or held last, to which the
  /// planners belong.
  std::uint64_t m_Epoch = 0;
  GroupKeySequence m_GroupKeys;
  std::map<std::string, ReplicaPlanner> m_Planners;
  /// Servers that failed their probes, with the position of their entry. A
  /// server is removed from the map when its entry changes or is deleted.
  std::map<std::string, StorePosition> m_UnresponsiveServers;
  std::set<std::string> m_ProbesInFlight;
  std::map<GroupKey, MonotonicTime> m_LastProbedAt;
  /// Reports that arrived soon after a round of probes of their group.
  std::map<GroupKey, StallReport> m_DeferredReports;
  /// Member of an open group that has no entry in the store.
  struct UnlistedMember {
    MonotonicTime m_NextProbeAt{};
    /// Counts as alive until this time.
    MonotonicTime m_AliveUntil{};
  };
  std::map<std::string, UnlistedMember> m_UnlistedMembers;
  std::function<void(const StallReport &)> m_OnStallConfirmed;
  MonotonicTime m_NextSupplyLogAt{};
  MonotonicTime m_NextPlanAt{};
  /// While this node does not hold the lease, the earliest time of its next
  /// lease call; delayed by a backoff during store outages.
  MonotonicTime m_NextLeaseCallAt{};
  /// True once the quarantine was read from the store, which happens once per
  /// lease epoch and after each failed write.
  bool m_IsQuarantineLoaded = false;
  bool m_IsQuarantineCallInFlight = false;
  /// Earliest time of the next read after one that failed.
  MonotonicTime m_NextQuarantineReadAt{};
  /// Servers that this node had quarantined when the store returned from a
  /// copy.
  QuarantineRecord m_QuarantineToRestore;
  ObjectVersion m_QuarantineVersion;
  /// Quarantined servers as last read from or written to the store.
  QuarantineRecord m_StoredQuarantine;
  /// Orders that are sent only after the quarantine of their server was written
  /// to the store.
  std::vector<MemberOrder> m_OrdersAwaitingQuarantine;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_GROUP_COORDINATOR_H
