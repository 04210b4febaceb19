#include "servers/configuration/freshness_tracker.h"

#include "core/error.h"

#include <algorithm>
#include <utility>

namespace fulmarwinch {

namespace {

/// Maximum number of store reports that are sent and counted per availability
/// zone in a fleet of more than m_MaxReportingNodes nodes.
constexpr std::size_t MaxReportsPerZone = 2;
/// Maximum number of stored confirmations of revisions that are not applied
/// yet; it limits the memory use.
constexpr std::size_t MaxPendingConfirmations = 16;

} // namespace

Json toJson(const FreshnessAnswer &Answer) {
  Json Object = {{"r", Answer.m_Revision}, {"k", Answer.m_KnownNodeCount}};
  if (Answer.m_Age)
    Object["a"] = Answer.m_Age->count();
  for (const StoreReport &Report : Answer.m_StoreReports)
    Object["s"].push_back(
        Json::array({Report.m_Node, Report.m_Zone, Report.m_IsReachable,
                     Report.m_Age.count()}));
  return Object;
}

absl::StatusOr<FreshnessAnswer> parseFreshnessAnswer(const Json &Object) {
  FreshnessAnswer Answer;
  try {
    Answer.m_Revision = Object.at("r").get<ConfigurationRevision>();
    Answer.m_KnownNodeCount = Object.at("k").get<std::size_t>();
    if (Object.contains("a"))
      Answer.m_Age = Duration(Object.at("a").get<Duration::rep>());
    if (Object.contains("s"))
      for (const Json &Report : Object.at("s"))
        Answer.m_StoreReports.push_back(
            {Report.at(0).get<std::string>(), Report.at(1).get<std::string>(),
             Report.at(2).get<bool>(),
             Duration(Report.at(3).get<Duration::rep>())});
  } catch (const Json::exception &) {
    return makeError(ErrorKind::InvalidArgument,
                     "configuration part of a ping answer is damaged",
                     "check that the peer runs a compatible version");
  }
  const bool HasNegativeAge =
      (Answer.m_Age && Answer.m_Age->count() < 0) ||
      std::any_of(
          Answer.m_StoreReports.begin(), Answer.m_StoreReports.end(),
          [](const StoreReport &Report) { return Report.m_Age.count() < 0; });
  if (HasNegativeAge)
    return makeError(ErrorKind::InvalidArgument,
                     "configuration part of a ping answer has a negative age",
                     "check that the peer runs a compatible version");
  return Answer;
}

FreshnessTracker::FreshnessTracker(FreshnessOptions Options)
    : m_Options(std::move(Options)) {}

void FreshnessTracker::recordConfirmation(ConfigurationRevision Revision,
                                          MonotonicTime AsOf) {
  // Revision was the newest one at the time AsOf, so it and every later
  // revision contain all changes that were accepted until then.
  if (Revision <= m_Revision) {
    m_HasConfiguration = true;
    m_ConfirmedAsOf = m_ConfirmedAsOf ? std::max(*m_ConfirmedAsOf, AsOf) : AsOf;
    return;
  }
  const auto [Pending, Inserted] =
      m_PendingConfirmations.emplace(Revision, AsOf);
  if (!Inserted)
    Pending->second = std::max(Pending->second, AsOf);
  if (m_PendingConfirmations.size() > MaxPendingConfirmations)
    m_PendingConfirmations.erase(m_PendingConfirmations.begin());
}

void FreshnessTracker::onStoreConfirmed(ConfigurationRevision Revision,
                                        MonotonicTime QueriedAt) {
  recordConfirmation(Revision, QueriedAt);
}

void FreshnessTracker::onRevisionApplied(ConfigurationRevision Revision) {
  m_Revision = std::max(m_Revision, Revision);
  m_HasConfiguration |= m_Revision > 0;
  while (!m_PendingConfirmations.empty() &&
         m_PendingConfirmations.begin()->first <= m_Revision) {
    const auto [Pending, AsOf] = *m_PendingConfirmations.begin();
    m_PendingConfirmations.erase(m_PendingConfirmations.begin());
    recordConfirmation(Pending, AsOf);
  }
}

void FreshnessTracker::recordReport(const std::string &Node,
                                    const KnownReport &Report) {
  const auto [Known, Inserted] = m_Reports.emplace(Node, Report);
  if (!Inserted && Known->second.m_ReportedAsOf < Report.m_ReportedAsOf)
    Known->second = Report;
}

void FreshnessTracker::recordStoreReachability(bool Reachable,
                                               MonotonicTime At) {
  recordReport(m_Options.m_Node, {m_Options.m_Zone, Reachable, At});
}

void FreshnessTracker::onPingAnswer(const FreshnessAnswer &Answer,
                                    MonotonicTime PingedAt) {
  const bool IsReportedCountOld =
      isFresh(PingedAt) &&
      PingedAt - m_NodeCountReportedAt > m_Options.m_LostPeerRetention;
  if (Answer.m_KnownNodeCount >= m_ReportedNodeCount || IsReportedCountOld) {
    m_ReportedNodeCount = Answer.m_KnownNodeCount;
    m_NodeCountReportedAt = PingedAt;
  }
  if (Answer.m_Age)
    recordConfirmation(Answer.m_Revision,
                       PingedAt - extendByClockDrift(*Answer.m_Age));
  for (const StoreReport &Report : Answer.m_StoreReports)
    if (Report.m_Node != m_Options.m_Node)
      recordReport(Report.m_Node,
                   {Report.m_Zone, Report.m_IsReachable,
                    PingedAt - extendByClockDrift(Report.m_Age)});
}

/// While the configuration is not fresh, lost peers stay in the list. Otherwise
/// the nodes inside a partition would soon count as a majority of all nodes.
void FreshnessTracker::setPeers(const std::vector<ConfigurationPeer> &Peers,
                                MonotonicTime Now) {
  std::map<std::string, KnownPeer> Next;
  for (const ConfigurationPeer &Peer : Peers) {
    const auto Known = m_Peers.find(Peer.m_Node);
    const bool WasLostBefore =
        Known != m_Peers.end() && !Known->second.m_IsAlive;
    const MonotonicTime LostAt = WasLostBefore ? Known->second.m_LostAt : Now;
    if (!Peer.m_IsAlive && isFresh(Now) &&
        Now - LostAt > m_Options.m_LostPeerRetention)
      continue;
    Next[Peer.m_Node] = {Peer.m_Zone, Peer.m_IsAlive, LostAt};
  }
  if (!isFresh(Now))
    for (const auto &[Node, Peer] : m_Peers)
      if (Next.count(Node) == 0)
        Next[Node] = {Peer.m_Zone, false, Peer.m_IsAlive ? Now : Peer.m_LostAt};
  m_Peers = std::move(Next);
  for (auto Report = m_Reports.begin(); Report != m_Reports.end();)
    if (Now - Report->second.m_ReportedAsOf > m_Options.m_MaxReportAge)
      Report = m_Reports.erase(Report);
    else
      ++Report;
}

std::optional<Duration> FreshnessTracker::age(MonotonicTime Now) const {
  if (!m_ConfirmedAsOf)
    return std::nullopt;
  return std::max(Duration(0), Duration(Now - *m_ConfirmedAsOf));
}

bool FreshnessTracker::isFresh(MonotonicTime Now) const {
  const std::optional<Duration> Age = age(Now);
  return Age && *Age <= shortenByClockDrift(m_Options.m_MaxAge);
}

bool FreshnessTracker::hasMajorityAlive() const {
  const auto Alive =
      std::count_if(m_Peers.begin(), m_Peers.end(),
                    [](const auto &Peer) { return Peer.second.m_IsAlive; });
  // knownNodeCount() includes this node, which is also alive.
  return 2 * (static_cast<std::size_t>(Alive) + 1) > knownNodeCount();
}

std::size_t FreshnessTracker::knownNodeCount() const {
  return std::max(m_Peers.size() + 1, m_ReportedNodeCount);
}

bool FreshnessTracker::doAllNodesReport() const {
  return knownNodeCount() <= m_Options.m_MaxReportingNodes;
}

/// Returns how many reports count from a zone of \p Nodes nodes.
std::size_t FreshnessTracker::expectedReports(std::size_t Nodes) const {
  return doAllNodesReport() ? Nodes : std::min(Nodes, MaxReportsPerZone);
}

/// Returns the store reports that are recent enough. Those of a reachable store
/// come first: a single one refutes an outage, so the limit on the number of
/// reports in a ping answer must not remove it.
std::vector<StoreReport>
FreshnessTracker::currentReports(MonotonicTime Now) const {
  std::vector<StoreReport> Current;
  for (const auto &[Node, Report] : m_Reports)
    if (Now - Report.m_ReportedAsOf <= m_Options.m_MaxReportAge)
      Current.push_back({Node, Report.m_Zone, Report.m_IsReachable,
                         Now - Report.m_ReportedAsOf});
  const bool LacksOwnReport =
      std::none_of(Current.begin(), Current.end(), [this](const auto &Report) {
        return Report.m_Node == m_Options.m_Node;
      });
  // A node without a recent confirmation reaches the store neither directly nor
  // through a peer, so it reports the store as unreachable.
  const std::optional<Duration> Age = age(Now);
  if (LacksOwnReport && doAllNodesReport() &&
      (!Age || *Age > m_Options.m_MinAgeForReports))
    Current.push_back({m_Options.m_Node, m_Options.m_Zone, false, Duration(0)});
  std::stable_partition(
      Current.begin(), Current.end(),
      [](const StoreReport &Report) { return Report.m_IsReachable; });
  return Current;
}

/// Returns whether the object store is unreachable from all nodes. In a small
/// fleet every node reports; in a large one the watchers report for their
/// availability zone, because only they call the store. More than half of the
/// expected reports must say unreachable, from at least two zones if there are
/// several, and no report may say reachable.
bool FreshnessTracker::isStoreOutage(MonotonicTime Now) const {
  if (!hasMajorityAlive())
    return false;
  std::map<std::string, std::size_t> NodesPerZone{{m_Options.m_Zone, 1}};
  for (const auto &[Node, Peer] : m_Peers)
    ++NodesPerZone[Peer.m_Zone];
  std::map<std::string, std::size_t> UnreachablePerZone;
  for (const StoreReport &Report : currentReports(Now)) {
    if (Report.m_IsReachable)
      return false;
    const bool IsFromKnownNode =
        Report.m_Node == m_Options.m_Node || m_Peers.count(Report.m_Node) != 0;
    if (IsFromKnownNode)
      ++UnreachablePerZone[Report.m_Zone];
  }
  const std::size_t ZoneCount =
      std::max(NodesPerZone.size(), m_Options.m_ExpectedZoneCount);
  std::size_t ExpectedReports =
      (ZoneCount - NodesPerZone.size()) * MaxReportsPerZone;
  std::size_t CountedReports = 0;
  for (const auto &[Zone, Count] : NodesPerZone) {
    ExpectedReports += expectedReports(Count);
    const auto ZoneReports = UnreachablePerZone.find(Zone);
    if (ZoneReports != UnreachablePerZone.end())
      CountedReports += std::min(ZoneReports->second, expectedReports(Count));
  }
  if (doAllNodesReport())
    ExpectedReports = std::max(ExpectedReports, knownNodeCount());
  return 2 * CountedReports > ExpectedReports &&
         UnreachablePerZone.size() >= std::min<std::size_t>(ZoneCount, 2);
}

Freshness FreshnessTracker::state(MonotonicTime Now) const {
  if (isFresh(Now))
    return Freshness::Fresh;
  if (!m_HasConfiguration)
    return Freshness::NoConfiguration;
  return isStoreOutage(Now) ? Freshness::StoreOutage : Freshness::Partitioned;
}

bool FreshnessTracker::mayAcceptNewWork(MonotonicTime Now) const {
  const Freshness State = state(Now);
  return State == Freshness::Fresh || State == Freshness::StoreOutage;
}

FreshnessAnswer FreshnessTracker::pingAnswer(MonotonicTime Now) const {
  FreshnessAnswer Answer{m_Revision, age(Now), {}, m_Peers.size() + 1};
  // A fresh node reports only the nodes in its own membership list. Otherwise
  // two nodes would repeat an outdated number to each other indefinitely.
  if (!isFresh(Now))
    Answer.m_KnownNodeCount = knownNodeCount();
  if (Answer.m_Age && *Answer.m_Age <= m_Options.m_MinAgeForReports)
    return Answer;
  std::map<std::string, std::size_t> ReportsPerZone;
  for (const StoreReport &Report : currentReports(Now))
    if (doAllNodesReport() ||
        ++ReportsPerZone[Report.m_Zone] <= MaxReportsPerZone)
      Answer.m_StoreReports.push_back(Report);
  return Answer;
}

} // namespace fulmarwinch
