#ifndef FULMARWINCH_SERVERS_REPLICAS_REPLICA_PLANNER_H
#define FULMARWINCH_SERVERS_REPLICAS_REPLICA_PLANNER_H

#include "servers/fleet/fleet_view.h"
#include "servers/replicas/group_key_sequence.h"
#include "servers/replicas/member_order.h"
#include "servers/replicas/model_rebalancer.h"
#include "servers/replicas/order_ledger.h"
#include "servers/replicas/quarantine_record.h"
#include "servers/routes/traffic_configuration.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Timeouts and limits of the formation of replica groups.
struct ReplicaPlannerSettings {
  /// Time after which the head of a group that lost a member stops serving
  /// without an order (state `broken`).
  Duration m_GroupBreakDelay = std::chrono::seconds(5);
  /// Margin added to durations that a backend server announced, for the delay
  /// until its report is written and the store delivers it.
  Duration m_ReportDelayMargin = std::chrono::milliseconds(1500);
  /// Interval after which an order is sent again if the server's entry does not
  /// show its effect. Normally the entry changes within some ten milliseconds.
  Duration m_OrderRepeatInterval = std::chrono::milliseconds(1200);
  /// A server that refused a join order or seems dead receives no other join
  /// for this time.
  Duration m_JoinResponseTimeout = std::chrono::milliseconds(400);
  /// Interval after which the state of a server is requested again if its entry
  /// has not changed.
  Duration m_StateRequestInterval = std::chrono::milliseconds(600);
  /// Longest time after which a server carries out an order that it has not
  /// answered. The platform gives 12 s.
  Duration m_MaxOrderDelay = std::chrono::seconds(15);
  /// Share of the servers, from 0 to 1, that must have weights or be loading
  /// them before all others start to load without a limit on concurrent loads.
  /// Until then groups load one after the other, since concurrent loads share
  /// the bandwidth of the weight store and all of them finish late. The other
  /// servers should start to load before the first request, since a load then
  /// takes a tenth of its full time.
  double m_ThrottledLoadShare = 0.6;
  /// A spare server replaces its weights by those of another model if the
  /// supply of that model, relative to the servers it needs, is below this
  /// fraction of the relative supply of the spare's own model.
  double m_RestageSupplyRatio = 0.5;
  /// Replaces m_RestageSupplyRatio for a model with fewer groups than its
  /// requests keep busy.
  double m_ShortModelRestageRatio = 0.9;
  /// Cost of replacing the weights of a spare, relative to loading a server
  /// without weights: its own model loses the spare.
  double m_RestageCost = 1.5;
  /// Time after the start of the planner before spare servers are chosen. The
  /// servers of one deployment start within about two seconds of each other.
  Duration m_StartupSettleTime = std::chrono::milliseconds(2500);
  /// Time after the first request before the demand of the models decides which
  /// domains are converted.
  Duration m_DemandSettleTime = std::chrono::seconds(3);
  /// A model is short of groups if it has fewer than this number for each group
  /// that its requests keep busy, after the loss of the availability zones that
  /// it must bear.
  double m_ShortageRatio = 1.3;
  /// Share of the concurrent loads, from 0 to 1, that the conversion of domains
  /// may use. The others are left for the spares that replace lost servers.
  double m_ConversionLoadShare = 0.75;
  /// A conversion of free servers covers all groups that the model lacks.
  /// Otherwise it covers one.
  bool m_ConvertsSeveralGroups = true;
  /// Time between two decisions to convert a domain to another model.
  Duration m_ConversionInterval = std::chrono::seconds(1);

  /// Time for which a server joins no other group after it has left one whose
  /// head may still serve with it.
  Duration quarantineTime() const {
    return m_GroupBreakDelay + m_ReportDelayMargin;
  }
};

/// Groups of one model, as the log shows them. Groups in evacuated zones are
/// not counted.
struct ModelSupply {
  std::string m_Model;
  /// Number of groups that the requests of the model keep busy.
  double m_DemandedGroups = 0.0;
  std::size_t m_OpenGroups = 0;
  std::size_t m_FormingGroups = 0;
  /// Servers in no group that have the model's weights staged.
  std::size_t m_StagedSpares = 0;
  /// Domains that are being converted to the model.
  std::size_t m_ConvertingDomains = 0;
  /// Number of groups below which the model is short of them.
  double m_NeededGroups = 0.0;
  /// Mean priority of the requests; -1 if all models have the same.
  double m_Priority = -1.0;
};

/// State on which the planner bases one planning pass.
struct ReplicaPlannerInput {
  const FleetView *m_Fleet = nullptr;
  const ServiceSpec *m_Service = nullptr;
  MonotonicTime m_Now{};
  /// The service has received a request. From then on a load takes its full
  /// time, and loads are limited and restricted to spares.
  bool m_TrafficSeen = false;
  /// Servers that are listed in the store but do not respond to requests.
  std::set<std::string> m_UnreachableServers;
  /// Servers that name a limit for the rate of their requests.
  std::set<std::string> m_RateLimitedServers;
  /// Servers whose store entry is gone but which responded to a recent probe,
  /// or whose probe has not timed out yet.
  std::set<std::string> m_UnlistedButResponding;
  /// Number of groups that the traffic of all nodes keeps busy.
  DemandByModel m_DemandByModel;
  /// Mean priority of the requests of each model; empty if all are equal.
  std::map<std::string, double> m_PriorityByModel;
  /// Number of availability zones whose loss the groups of each model must
  /// bear.
  std::size_t m_TolerableZoneLosses = 0;
};

/// Plans the orders that form, open, repair and close the replica groups of one
/// service. State that must survive a change of the lease holder is read from
/// the store entries of the backend servers, except for the quarantine, which
/// the caller records. The other state of this class limits how often orders
/// are sent, and keeps groups from being opened that an unanswered order of
/// this holder may still take apart. Those of the previous holder are refused
/// by the servers, which compare the preconditions of orders.
class ReplicaPlanner {
public:
  /// \p GroupKeys must outlive the planner; it is shared by the planners of all
  /// services. \p Quarantined is the record of the previous lease holder.
  ReplicaPlanner(const ReplicaPlannerSettings &Settings,
                 GroupKeySequence &GroupKeys,
                 const QuarantineRecord &Quarantined, MonotonicTime StartedAt);

  /// Returns the orders to send now; empty if nothing has to change. Orders
  /// that were sent recently are not repeated.
  std::vector<MemberOrder> plan(const ReplicaPlannerInput &Input);

  /// Returns the supply of each model after the last plan().
  std::vector<ModelSupply>
  modelSupplies(const ReplicaPlannerInput &Input) const;

  /// Servers whose last group may still be served by an unreachable head. They
  /// join no group until the time has passed after which that head stops
  /// serving, or until it is known to have ended. Those that end by \p Now are
  /// left out.
  QuarantineRecord
  quarantineRecord(MonotonicTime Now = MonotonicTime::min()) const;

  /// Servers whose state plan() needs before it can decide an order to them.
  /// The caller asks each for its load report.
  std::vector<BackendServer> takeStateRequests();
  /// Reports what the server \p Id said of its state. It may be one of another
  /// planner.
  void onServerState(const std::string &Id, const OrderState &State) {
    m_Ledger.setState(Id, State);
  }
  /// Reports that the server \p Id did not answer a request for its state.
  void onStateUnavailable(const std::string &Id, MonotonicTime Now);
  /// Reports how an order of plan() ended. It may be one of another planner.
  void onOrderEnded(const MemberOrder &Order, OrderResult Result,
                    MonotonicTime Now);
  /// Gives up the formation of a group since a server refused its join order or
  /// is dead.
  void onJoinFailed(const MemberOrder &Order, MonotonicTime Now);
  /// Reports that a server confirmed that it is not in the group that it was
  /// ordered to leave.
  void onLeaveConfirmed(const MemberOrder &Order);

private:
  /// Time for which a server joins no group.
  struct Quarantine {
    MonotonicTime m_Until{};
    /// Head that may still serve.
    HeadProcess m_Head;
  };
  struct GroupFormation {
    std::string m_Model;
    std::vector<std::string> m_Members;
    /// Time that a member gets from its order to its report that it is ready.
    Duration m_JoinAllowance{};
    MonotonicTime m_GiveUpTime{};
    /// Members that are still to receive their join: their state is not known,
    /// or they have not answered the last one.
    std::set<std::string> m_JoinsToSend;
    /// At least one member has reported the group in its store entry.
    bool m_WasReported = false;
  };
  struct PendingOrder {
    MemberOrderKind m_Kind = MemberOrderKind::Join;
    GroupKey m_Group;
    MonotonicTime m_RepeatAt{};
  };
  struct GroupCandidate {
    const ModelSpec *m_Model = nullptr;
    std::vector<const BackendServer *> m_Members;
    std::size_t m_LoadsNeeded = 0;
  };

  /// True if a process that started later has the address of \p Head, which has
  /// therefore ended.
  bool hasSuccessor(const HeadProcess &Head) const;
  /// The same for a server that is listed. Its entry may outlast it, above all
  /// around an outage of the store.
  bool hasEnded(const BackendServer &Server) const;
  void indexAddresses(const ReplicaPlannerInput &Input);
  /// Removes listed servers that have ended from the members of their groups.
  void removeEndedMembers(const ReplicaPlannerInput &Input);
  void quarantine(const ReplicaPlannerInput &Input, const ReplicaGroup &Group,
                  const std::string &Member);
  /// Removes the state of ended groups, expired quarantines and finished loads.
  void removeOutdatedState(const ReplicaPlannerInput &Input);
  void removeOutdatedOrderState(const ReplicaPlannerInput &Input);
  void reviewGroup(const ReplicaPlannerInput &Input, const ReplicaGroup &Group);
  void reviewGroupWithoutHead(const ReplicaPlannerInput &Input,
                              const ReplicaGroup &Group);
  void reviewFormingGroup(const ReplicaPlannerInput &Input,
                          const ReplicaGroup &Group, const ModelSpec &Model);
  bool isComplete(const ReplicaPlannerInput &Input, const ReplicaGroup &Group,
                  const ModelSpec &Model) const;
  /// Number of members that are listed in the store, reachable and not
  /// draining.
  std::size_t countUsableMembers(const ReplicaPlannerInput &Input,
                                 const ReplicaGroup &Group) const;
  /// Like isComplete(), but for an open group: members whose store entry is
  /// gone also count if they respond to probes. To open a group, all members
  /// must be listed.
  bool isCompleteWithUnlisted(const ReplicaPlannerInput &Input,
                              const ReplicaGroup &Group,
                              const ModelSpec &Model) const;
  /// True if all members are listed and reachable, so that the group can only
  /// be incomplete because members drain.
  bool isReducedOnlyByDraining(const ReplicaPlannerInput &Input,
                               const ReplicaGroup &Group,
                               const ModelSpec &Model) const;
  /// Orders all reachable members to leave the group. If \p HeadMayServe, the
  /// members are quarantined, since the unreachable head may still serve.
  void disband(const ReplicaPlannerInput &Input, const ReplicaGroup &Group,
               bool HeadMayServe);
  /// Like disband(), for a group that is not open. If its head may still carry
  /// out an open order, the head leaves first.
  void disbandUnopened(const ReplicaPlannerInput &Input,
                       const ReplicaGroup &Group);
  bool mayStillOpen(const ReplicaPlannerInput &Input,
                    const ReplicaGroup &Group) const;
  static bool hasJoiningMember(const ReplicaPlannerInput &Input,
                               const ReplicaGroup &Group);
  void giveUpFormation(const ReplicaPlannerInput &Input, const GroupKey &Key);
  /// True if a member of \p Group may still carry out a join of a later group.
  bool mayJoinLaterGroup(const ReplicaGroup &Group) const;
  /// Adds \p Order to m_Orders with the state that it was decided on, unless
  /// the same order was sent recently. Returns false if the order was not
  /// added. If the state is not known, it is requested.
  bool issueOrder(const ReplicaPlannerInput &Input, MemberOrder Order);
  void requestState(const ReplicaPlannerInput &Input,
                    const BackendServer &Server);
  /// True if the last order to \p Server is not to be repeated yet.
  bool hasPendingOrder(const ReplicaPlannerInput &Input,
                       const std::string &Server) const;
  void onJoinFailed(const GroupKey &Group, const std::string &Server,
                    MonotonicTime Now);
  void onJoinEnded(const MemberOrder &Order, OrderResult Result,
                   MonotonicTime Now);
  /// Time for which \p Server receives no order after its last conflict. Zero
  /// for the first of a row, after which its order count is known.
  Duration conflictDelay(const std::string &Server) const;

  std::map<std::string, std::vector<const BackendServer *>>
  freeServersByDomain(const ReplicaPlannerInput &Input) const;
  /// True if \p Server may join a group now.
  bool isFree(const ReplicaPlannerInput &Input,
              const BackendServer &Server) const;
  /// Share of the service's servers that each model needs. The sum is 1.
  std::map<std::string, double>
  neededServerShares(const ReplicaPlannerInput &Input) const;
  /// Number of servers in groups of each model, divided by the share of the
  /// servers that the model needs.
  std::map<std::string, double>
  supplyByModel(const ReplicaPlannerInput &Input) const;
  std::vector<const ModelSpec *>
  modelsByRisingSupply(const ReplicaPlannerInput &Input) const;
  /// Mean priority of the requests of \p Model if it is short of groups,
  /// otherwise infinity.
  double shortModelPriority(const ReplicaPlannerInput &Input,
                            const ModelSpec &Model) const;
  /// Recomputes m_ModelByDomain and m_ShareWithWeights from the weights that
  /// the servers have loaded or are loading.
  void updateDomainModels(const ReplicaPlannerInput &Input);
  /// Model whose weights \p Server has loaded or is loading, or an empty
  /// string.
  std::string modelLoadedBy(const BackendServer &Server) const;
  bool isAllowedInDomain(const ModelSpec &Model,
                         const std::string &Domain) const;
  void formGroups(const ReplicaPlannerInput &Input);
  /// Orders one more group to form, for the model with the lowest supply that
  /// allows it. Returns false if no group can form.
  bool formNextGroup(const ReplicaPlannerInput &Input);
  GroupCandidate
  findCandidate(const ReplicaPlannerInput &Input, const ModelSpec &Model,
                const std::vector<const BackendServer *> &FreeServers) const;
  /// True if the head of \p Group names a rate limit and another member does
  /// not. The limit of a head is the limit of its group.
  static bool hasBetterHead(const ReplicaPlannerInput &Input,
                            const ReplicaGroup &Group);
  void startFormation(const ReplicaPlannerInput &Input,
                      const GroupCandidate &SelectedCandidate);
  /// Orders the members in m_JoinsToSend to join, as far as their states are
  /// known.
  void sendJoins(const ReplicaPlannerInput &Input, const GroupKey &Key,
                 GroupFormation &Formation);
  /// True if each member of the group that is being formed has joined it or may
  /// still do so.
  bool isAwaitingMembers(const ReplicaPlannerInput &Input,
                         const GroupKey &Key) const;
  /// True if the server \p Id has not been ready in its group and may leave it
  /// by joining the group of a formation that waits for it.
  bool isJoiningAnother(const ReplicaPlannerInput &Input,
                        const std::string &Id) const;
  /// True if a formation that has not been given up waits for \p Server.
  bool isReservedForFormation(const ReplicaPlannerInput &Input,
                              const std::string &Server) const;
  void stageSpares(const ReplicaPlannerInput &Input);
  /// Forms groups of a model that is short of them in place of groups of
  /// another: their servers load the weights while their groups serve, then the
  /// groups are replaced.
  void convertDomains(const ReplicaPlannerInput &Input);
  void startConversion(const ReplicaPlannerInput &Input);
  void removeFinishedConversions(const ReplicaPlannerInput &Input);
  std::map<std::string, DomainSupply>
  domainSupplies(const ReplicaPlannerInput &Input) const;
  /// Retires groups all of whose members have staged another model, as many as
  /// one group of that model needs. Staged weights decide, so that the next
  /// lease holder continues a conversion.
  void retireConvertedGroups(const ReplicaPlannerInput &Input);
  /// True if \p Server is listed, reachable and neither draining nor evacuated.
  bool isUsable(const ReplicaPlannerInput &Input,
                const BackendServer &Server) const;
  /// True if \p Server is part of a conversion and has not loaded the weights.
  bool isReservedForConversion(const BackendServer &Server) const;
  /// What decides which model is short of groups. An evacuated zone counts as
  /// one of the losses to bear.
  ConversionPolicy conversionPolicy(const ReplicaPlannerInput &Input) const;
  /// True if \p Model has fewer groups than its requests keep busy.
  bool isShort(const ReplicaPlannerInput &Input, const ModelSpec &Model) const;
  /// Loads that are missing before a fabric domain can form one more group.
  struct GroupCompletion {
    const ModelSpec *m_Model = nullptr;
    std::vector<const BackendServer *> m_ServersToStage;
    /// Cost of the missing loads times (1 + supply of the model). The group
    /// with the lowest cost is completed first.
    double m_Cost = 0.0;
  };

  bool hasStagedOrIsStaging(const BackendServer &Server,
                            const ModelSpec &Model) const;
  std::optional<GroupCompletion>
  planCompletion(const ReplicaPlannerInput &Input, const ModelSpec &Model,
                 const std::vector<const BackendServer *> &FreeServers,
                 const std::map<std::string, double> &Supply) const;
  GroupCompletion
  cheapestCompletion(const ReplicaPlannerInput &Input,
                     const std::string &Domain,
                     const std::vector<const BackendServer *> &FreeServers,
                     const std::map<std::string, double> &Supply) const;
  void
  stageRemainingSpares(const ReplicaPlannerInput &Input,
                       const std::string &Domain,
                       const std::vector<const BackendServer *> &FreeServers);
  void orderStaging(const ReplicaPlannerInput &Input,
                    const BackendServer &Server, const ModelSpec &Model);
  /// Number of loads from the weight store that are in progress or were
  /// ordered.
  std::size_t loadsInProgress(const ReplicaPlannerInput &Input) const;
  /// Number of free servers of one domain that load \p Model in one conversion:
  /// those of all groups that the model lacks, as far as the loads allow.
  std::size_t freeServersToConvert(const ReplicaPlannerInput &Input,
                                   const ModelSpec &Model,
                                   const DomainConversion &Choice) const;
  /// Number of loads that conversions may have in progress.
  std::size_t maxConversionLoads(const ReplicaPlannerInput &Input) const;
  /// True if another load from the weight store may start now.
  bool mayStartLoad(const ReplicaPlannerInput &Input) const;

  ReplicaPlannerSettings m_Settings;
  GroupKeySequence &m_GroupKeys;
  MonotonicTime m_StartedAt;
  OrderLedger m_Ledger;
  std::map<GroupKey, GroupFormation> m_Formations;
  /// Groups whose members were ordered to leave, with the time at which they
  /// were last listed.
  std::map<GroupKey, MonotonicTime> m_DisbandedGroups;
  /// Number of orders in a row that conflicted with the state of their server.
  std::map<std::string, unsigned> m_ConflictCounts;
  std::map<GroupKey, MonotonicTime> m_FirstSeenAt;
  /// Last store entry of the head of each group.
  std::map<GroupKey, BackendServer> m_LastKnownHeads;
  std::map<GroupKey, MonotonicTime> m_HeadMissingSince;
  /// Groups whose head is no longer listed and confirmed that it has left.
  std::set<GroupKey> m_GroupsLeftByHead;
  std::set<GroupKey> m_GroupsSeenOpen;
  std::map<std::string, PendingOrder> m_PendingOrders;
  struct StateRequest {
    /// Position of the server's entry when its state was requested.
    StorePosition m_Position;
    MonotonicTime m_RepeatAt{};
  };
  /// Last request for the state of each server, by server ID.
  std::map<std::string, StateRequest> m_LastStateRequests;
  std::vector<BackendServer> m_StateRequests;
  std::map<std::string, Quarantine> m_Quarantines;
  /// Model that each server is staging and the time limit for it, by server ID.
  std::map<std::string, std::pair<std::string, MonotonicTime>> m_ActiveStagings;
  /// Group that each server last reported, by server ID.
  std::map<std::string, GroupKey> m_LastGroupByServer;
  std::map<GroupKey, ReplicaGroup> m_Groups;
  /// Listed process that started last at each address.
  std::map<Endpoint, const BackendServer *> m_LatestByAddress;
  /// Assigned model of each fabric domain; empty if domains run all models.
  std::map<std::string, std::string> m_ModelByDomain;
  /// One conversion in progress.
  struct ActiveConversion {
    std::string m_Model;
    /// Servers that load the weights: free ones and the members of the donor
    /// groups.
    std::set<std::string> m_Servers;
    std::set<GroupKey> m_DonorGroups;
    MonotonicTime m_GiveUpTime{};
  };
  /// Conversion of each fabric domain; one at a time.
  std::map<std::string, ActiveConversion> m_Conversions;
  /// Groups that finish their requests and then end, since their domain is
  /// being converted.
  std::set<GroupKey> m_RetiredGroups;
  MonotonicTime m_TrafficSince{};
  MonotonicTime m_NextConversionAt{};
  /// Share of the servers, from 0 to 1, that have weights or are loading them.
  double m_ShareWithWeights = 0.0;
  std::vector<MemberOrder> m_Orders;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_REPLICAS_REPLICA_PLANNER_H
