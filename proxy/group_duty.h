#ifndef FULMARWINCH_PROXY_GROUP_DUTY_H
#define FULMARWINCH_PROXY_GROUP_DUTY_H

#include "proxy/backend_call.h"
#include "proxy/front_settings.h"
#include "proxy/peer_exchange.h"
#include "proxy/platform_binding.h"
#include "proxy/request_relay.h"
#include "servers/lease/shard_lease.h"
#include "servers/replicas/replica_planner.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Holds, or waits for, the lease on group formation, and carries out what the
/// planner decides while it is held. A node that wrongly believes to hold the
/// lease does no harm: epochs and names of groups keep its orders apart.
class GroupDuty {
public:
  GroupDuty(RelayContext &Context, const PlatformBinding &Platform,
            const FrontSettings &Settings, std::string Incarnation);

  void tick(MonotonicTime Now, const std::vector<std::string> &LiveNodes);
  /// Probes the members of a group that seems to stand still.
  void onStalled(const StallNotice &Notice);
  /// Sets what is called once a member did not answer.
  void setOnConfirmed(std::function<void(const StallNotice &)> OnConfirmed) {
    m_OnConfirmed = std::move(OnConfirmed);
  }
  void stop() { m_Lease.stop(); }
  bool isHeld() const { return m_WasHeld; }

private:
  void stepLease(MonotonicTime Now);
  void planAll(MonotonicTime Now);
  void readRecord();
  void writeRecord();
  void send(const MemberOrder &Order);
  void onOrderEnd(const MemberOrder &Order, std::int64_t Born, CallEnd How,
                  int Status);
  /// Asks \p Server for its load report; a server that lives answers at once.
  void askWhetherAlive(const BackendServer &Server,
                       std::function<void(bool, CallEnd)> Done);
  void probe(const std::string &Server, const StallNotice &Notice,
             unsigned Attempt);
  /// Asks members without an entry whether they live, and returns those that
  /// are taken to.
  std::set<std::string> answeringUnlisted(MonotonicTime Now);

  RelayContext &m_Context;
  const PlatformBinding &m_Platform;
  FrontSettings m_Settings;
  ShardLease m_Lease;
  StoreCallId m_NextCall = 1;
  bool m_WasHeld = false;
  std::uint64_t m_Epoch = 0;
  std::map<std::string, ReplicaPlanner> m_Planners;
  /// Servers that did not answer a probe, until their entry changes or goes.
  std::map<std::string, std::uint64_t> m_Unreachable;
  std::set<std::string> m_Probing;
  std::map<GroupKey, MonotonicTime> m_ProbedAt;
  /// Members of open groups without an entry: when they are asked again, and
  /// until when they are taken to live.
  struct UnlistedMember {
    MonotonicTime m_AskAt{};
    MonotonicTime m_LivesUntil{};
  };
  std::map<std::string, UnlistedMember> m_UnlistedMembers;
  std::function<void(const StallNotice &)> m_OnConfirmed;
  MonotonicTime m_NextPlan{};
  /// Nodes that only wait for the lease ask less often while the store fails.
  MonotonicTime m_LeasePausedUntil{};
  /// The quarantine as the platform's store has it, read once per lease.
  bool m_RecordKnown = false;
  bool m_RecordBusy = false;
  ObjectVersion m_RecordVersion = 0;
  std::set<std::string> m_Recorded;
  /// Orders that wait until the quarantine is recorded.
  std::vector<MemberOrder> m_Awaiting;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_GROUP_DUTY_H
