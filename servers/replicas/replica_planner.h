#ifndef FULMARWINCH_SERVERS_REPLICAS_REPLICA_PLANNER_H
#define FULMARWINCH_SERVERS_REPLICAS_REPLICA_PLANNER_H

#include "servers/fleet/fleet_view.h"
#include "servers/replicas/member_order.h"
#include "servers/routes/traffic_configuration.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Times and bounds of group formation.
struct ReplicaPlannerSettings {
  /// A group whose member is gone breaks by itself after this time.
  Duration m_StallTime = std::chrono::seconds(5);
  /// Added to times that a backend server announced, for lags of its report
  /// and of the store.
  Duration m_ReportMargin = std::chrono::milliseconds(1500);
  /// An order is repeated if the server's entry does not show its effect. The
  /// entry changes within some ten milliseconds of the order.
  Duration m_OrderRepeat = std::chrono::milliseconds(1200);
  /// A server that did not answer a join gets no other one for this time,
  /// since the first may be carried out yet; epochs make it harmless then.
  Duration m_JoinAnswerWait = std::chrono::milliseconds(400);
  /// Loads in progress before the first request, as a multiple of what the
  /// weight store carries at full speed. Loads that begin before the first
  /// request cost a tenth, so as many as possible begin then.
  std::size_t m_EarlyLoadFactor = 4;
  /// Servers of one deployment start within about two seconds of each other.
  /// Spares are only chosen afterwards.
  Duration m_SettleTime = std::chrono::milliseconds(2500);
};

/// What the planner decides on.
struct ReplicaPlannerInput {
  const FleetView *m_Fleet = nullptr;
  const ServiceSpec *m_Service = nullptr;
  MonotonicTime m_Now{};
  /// Requests were seen, so loads count and take their full time.
  bool m_TrafficSeen = false;
  /// Servers that do not answer though their entry is still there.
  std::set<std::string> m_Unreachable;
  /// Groups that the traffic keeps busy, by model, in any common unit.
  std::map<std::string, double> m_Demand;
};

/// Decides which orders bring the replica groups of one service closer to
/// what its load needs. All that must outlive a holder is read back from the
/// entries of the backend servers; what is kept here only paces orders.
class ReplicaPlanner {
public:
  /// \p LeaseEpoch grows with each holder and is part of every group's epoch.
  /// \p Quarantined holds what the holder before recorded.
  ReplicaPlanner(const ReplicaPlannerSettings &Settings,
                 std::uint64_t LeaseEpoch,
                 const std::set<std::string> &Quarantined,
                 MonotonicTime StartedAt);

  std::vector<MemberOrder> plan(const ReplicaPlannerInput &Input);

  /// Servers that may still belong to a head that is out of sight. They join
  /// no group until that head must have broken.
  std::set<std::string> quarantined() const;

  /// Tells the planner that a join was refused or not answered.
  void onJoinFailed(const MemberOrder &Order, MonotonicTime Now);

private:
  struct Formation {
    std::string m_Model;
    std::vector<std::string> m_Members;
    MonotonicTime m_GiveUpAt{};
    /// A member has reported the group.
    bool m_WasSeen = false;
  };
  struct Pending {
    OrderKind m_Kind = OrderKind::Join;
    GroupKey m_Group;
    MonotonicTime m_RepeatAt{};
  };
  struct Candidate {
    const ModelSpec *m_Model = nullptr;
    std::vector<const BackendServer *> m_Members;
    std::size_t m_Loads = 0;
  };

  void forgetGone(const ReplicaPlannerInput &Input);
  void reviewGroup(const ReplicaPlannerInput &Input, const ReplicaGroup &Group);
  void reviewUnopened(const ReplicaPlannerInput &Input,
                      const ReplicaGroup &Group, const ModelSpec &Model);
  bool isComplete(const ReplicaPlannerInput &Input, const ReplicaGroup &Group,
                  const ModelSpec &Model) const;
  bool losesOnlyToDrain(const ReplicaPlannerInput &Input,
                        const ReplicaGroup &Group,
                        const ModelSpec &Model) const;
  void disband(const ReplicaPlannerInput &Input, const ReplicaGroup &Group,
               bool HeadUnknown);
  void order(const ReplicaPlannerInput &Input, MemberOrder Order);

  std::map<std::string, std::vector<const BackendServer *>>
  freeByDomain(const ReplicaPlannerInput &Input) const;
  bool isFree(const ReplicaPlannerInput &Input,
              const BackendServer &Server) const;
  std::vector<const ModelSpec *>
  modelsByNeed(const ReplicaPlannerInput &Input) const;
  void formGroups(const ReplicaPlannerInput &Input);
  bool formOne(const ReplicaPlannerInput &Input);
  Candidate candidateFor(const ModelSpec &Model,
                         const std::vector<const BackendServer *> &Free) const;
  void form(const ReplicaPlannerInput &Input, const Candidate &Chosen);
  void stageSpares(const ReplicaPlannerInput &Input);
  /// Loads that a group in this domain lacks.
  struct Completion {
    const ModelSpec *m_Model = nullptr;
    std::vector<const BackendServer *> m_ToStage;
  };

  bool hasOrStages(const BackendServer &Server, const ModelSpec &Model) const;
  Completion completionOf(const std::vector<const ModelSpec *> &Models,
                          const std::vector<const BackendServer *> &Free) const;
  void stageRest(const ReplicaPlannerInput &Input,
                 const std::vector<const ModelSpec *> &Models,
                 const std::vector<const BackendServer *> &Free);
  void stage(const ReplicaPlannerInput &Input, const BackendServer &Server,
             const ModelSpec &Model);
  std::size_t loadsInProgress(const ReplicaPlannerInput &Input) const;
  bool mayLoad(const ReplicaPlannerInput &Input) const;

  ReplicaPlannerSettings m_Settings;
  std::uint64_t m_LeaseEpoch;
  MonotonicTime m_StartedAt;
  std::uint64_t m_NextNumber = 1;
  std::map<GroupKey, Formation> m_Formations;
  std::map<GroupKey, MonotonicTime> m_FirstSeen;
  std::map<std::string, Pending> m_Pending;
  std::map<std::string, MonotonicTime> m_QuarantinedUntil;
  std::map<std::string, std::pair<std::string, MonotonicTime>> m_Staging;
  /// Group that each server was last seen in.
  std::map<std::string, GroupKey> m_LastGroup;
  std::map<GroupKey, ReplicaGroup> m_Groups;
  std::vector<MemberOrder> m_Orders;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_REPLICAS_REPLICA_PLANNER_H
