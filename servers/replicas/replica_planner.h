#ifndef FULMARWINCH_SERVERS_REPLICAS_REPLICA_PLANNER_H
#define FULMARWINCH_SERVERS_REPLICAS_REPLICA_PLANNER_H

#include "servers/fleet/fleet_view.h"
#include "servers/replicas/member_order.h"
#include "servers/routes/traffic_configuration.h"

#include <cstdint>
#include <map>
#include <optional>
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
  /// Part of the servers that must hold or load weights before the rest begin
  /// to load at once. Until then groups load one after the other, since loads
  /// that share the weight store all end late. The rest still begins before
  /// the first request if it can, since a load costs a tenth then.
  double m_OrderlyLoadShare = 0.6;
  /// A spare server loads the weights of another model if that model's supply
  /// is below this part of its own model's, each in relation to its need.
  double m_RestageBelow = 0.5;
  /// Cost of such a load beside that of a server without weights: the spare is
  /// missing where it was.
  double m_RestageCost = 1.5;
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
  /// Servers without an entry that answered a probe a moment ago, or have not
  /// had the time to answer.
  std::set<std::string> m_AnswersUnlisted;
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
  /// Tells the planner that a server said that it is not in the group that it
  /// was ordered to leave.
  void onLeft(const MemberOrder &Order);

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
  void reviewHeadless(const ReplicaPlannerInput &Input,
                      const ReplicaGroup &Group);
  void reviewUnopened(const ReplicaPlannerInput &Input,
                      const ReplicaGroup &Group, const ModelSpec &Model);
  bool isComplete(const ReplicaPlannerInput &Input, const ReplicaGroup &Group,
                  const ModelSpec &Model) const;
  /// Members that are listed, reachable and not leaving.
  std::size_t workingMembers(const ReplicaPlannerInput &Input,
                             const ReplicaGroup &Group) const;
  /// The same as isComplete() for a group that serves, whose members may also
  /// be cut off from the store. A group is only opened with listed members.
  bool mayStayOpen(const ReplicaPlannerInput &Input, const ReplicaGroup &Group,
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
  /// Part of the service's servers that each model needs; adds up to 1.
  std::map<std::string, double>
  serverShares(const ReplicaPlannerInput &Input) const;
  /// Servers in groups of each model in relation to what it needs.
  std::map<std::string, double>
  supplyByModel(const ReplicaPlannerInput &Input) const;
  std::vector<const ModelSpec *>
  modelsByNeed(const ReplicaPlannerInput &Input) const;
  /// Renews m_Layout and m_HoldingShare from what the servers hold and load.
  void layOut(const ReplicaPlannerInput &Input);
  /// Model whose weights \p Server holds or loads, or nothing.
  std::string modelHeldBy(const BackendServer &Server) const;
  bool mayLoadFor(const ModelSpec &Model, const std::string &Domain) const;
  void formGroups(const ReplicaPlannerInput &Input);
  bool formOne(const ReplicaPlannerInput &Input);
  Candidate candidateFor(const ModelSpec &Model,
                         const std::vector<const BackendServer *> &Free) const;
  void form(const ReplicaPlannerInput &Input, const Candidate &Chosen);
  void stageSpares(const ReplicaPlannerInput &Input);
  /// Loads that a group in one domain lacks.
  struct Completion {
    const ModelSpec *m_Model = nullptr;
    std::vector<const BackendServer *> m_ToStage;
    /// Loads in relation to how well the model is supplied; the least goes
    /// first.
    double m_Cost = 0.0;
  };

  bool hasOrStages(const BackendServer &Server, const ModelSpec &Model) const;
  std::optional<Completion>
  completionOf(const ModelSpec &Model,
               const std::vector<const BackendServer *> &Free,
               const std::map<std::string, double> &Supply) const;
  Completion bestCompletion(const ReplicaPlannerInput &Input,
                            const std::string &Domain,
                            const std::vector<const BackendServer *> &Free,
                            const std::map<std::string, double> &Supply) const;
  void stageRest(const ReplicaPlannerInput &Input, const std::string &Domain,
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
  /// What the head of each group last said.
  std::map<GroupKey, BackendServer> m_LastHeads;
  std::map<GroupKey, MonotonicTime> m_HeadMissingSince;
  /// Groups whose head is out of sight and has left them.
  std::set<GroupKey> m_ReleasedHeads;
  std::map<std::string, Pending> m_Pending;
  std::map<std::string, MonotonicTime> m_QuarantinedUntil;
  std::map<std::string, std::pair<std::string, MonotonicTime>> m_Staging;
  /// Group that each server was last seen in.
  std::map<std::string, GroupKey> m_LastGroup;
  std::map<GroupKey, ReplicaGroup> m_Groups;
  /// Model of each domain; empty if domains mix.
  std::map<std::string, std::string> m_Layout;
  /// Part of the servers that hold or load weights.
  double m_HoldingShare = 0.0;
  std::vector<MemberOrder> m_Orders;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_REPLICAS_REPLICA_PLANNER_H
