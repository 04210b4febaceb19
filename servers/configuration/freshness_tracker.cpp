#include "servers/configuration/freshness_tracker.h"

#include "core/error.h"

#include <algorithm>
#include <utility>

namespace fulmarwinch {

namespace {

/// Watchers per availability zone whose reports count.
constexpr std::size_t VotesPerZone = 2;
/// Bounds the memory for confirmations of revisions that are not here yet.
constexpr std::size_t MaxPending = 16;

} // namespace

Json toJson(const FreshnessAnswer &Answer) {
  Json Object = {{"r", Answer.m_Revision}, {"k", Answer.m_KnownNodes}};
  if (Answer.m_Age)
    Object["a"] = Answer.m_Age->count();
  for (const StoreReport &Report : Answer.m_Reports)
    Object["s"].push_back(
        Json::array({Report.m_Node, Report.m_Zone, Report.m_Reachable,
                     Report.m_Age.count()}));
  return Object;
}

absl::StatusOr<FreshnessAnswer> parseFreshnessAnswer(const Json &Object) {
  FreshnessAnswer Answer;
  try {
    Answer.m_Revision = Object.at("r").get<ConfigurationRevision>();
    Answer.m_KnownNodes = Object.at("k").get<std::size_t>();
    if (Object.contains("a"))
      Answer.m_Age = Duration(Object.at("a").get<Duration::rep>());
    if (Object.contains("s"))
      for (const Json &Report : Object.at("s"))
        Answer.m_Reports.push_back(
            {Report.at(0).get<std::string>(), Report.at(1).get<std::string>(),
             Report.at(2).get<bool>(),
             Duration(Report.at(3).get<Duration::rep>())});
  } catch (const Json::exception &) {
    return makeError(ErrorKind::InvalidArgument,
                     "ping answer has a damaged configuration part",
                     "check that the peer runs a compatible version");
  }
  const bool Negative =
      (Answer.m_Age && Answer.m_Age->count() < 0) ||
      std::any_of(
          Answer.m_Reports.begin(), Answer.m_Reports.end(),
          [](const StoreReport &Report) { return Report.m_Age.count() < 0; });
  if (Negative)
    return makeError(ErrorKind::InvalidArgument,
                     "ping answer has a negative age",
                     "check that the peer runs a compatible version");
  return Answer;
}

FreshnessTracker::FreshnessTracker(FreshnessOptions Options)
    : m_Options(std::move(Options)) {}

void FreshnessTracker::confirm(ConfigurationRevision Revision,
                               MonotonicTime AsOf) {
  // If Revision was the newest one at that time, every later revision
  // contains everything that was accepted until then.
  if (Revision <= m_Revision) {
    m_HasConfiguration = true;
    m_AsOf = m_AsOf ? std::max(*m_AsOf, AsOf) : AsOf;
    return;
  }
  const auto [Pending, Inserted] = m_Pending.emplace(Revision, AsOf);
  if (!Inserted)
    Pending->second = std::max(Pending->second, AsOf);
  if (m_Pending.size() > MaxPending)
    m_Pending.erase(m_Pending.begin());
}

void FreshnessTracker::onStoreConfirmed(ConfigurationRevision Revision,
                                        MonotonicTime AskedAt) {
  confirm(Revision, AskedAt);
}

void FreshnessTracker::onRevision(ConfigurationRevision Revision) {
  m_Revision = std::max(m_Revision, Revision);
  m_HasConfiguration |= m_Revision > 0;
  while (!m_Pending.empty() && m_Pending.begin()->first <= m_Revision) {
    const auto [Pending, AsOf] = *m_Pending.begin();
    m_Pending.erase(m_Pending.begin());
    confirm(Pending, AsOf);
  }
}

void FreshnessTracker::keepReport(const std::string &Node,
                                  const KnownReport &Report) {
  const auto [Known, Inserted] = m_Reports.emplace(Node, Report);
  if (!Inserted && Known->second.m_AsOf < Report.m_AsOf)
    Known->second = Report;
}

void FreshnessTracker::onStoreReport(bool Reachable, MonotonicTime At) {
  keepReport(m_Options.m_Node, {m_Options.m_Zone, Reachable, At});
}

void FreshnessTracker::onAnswer(const FreshnessAnswer &Answer,
                                MonotonicTime PingedAt) {
  const bool ToldIsOld =
      isFresh(PingedAt) && PingedAt - m_ToldAt > m_Options.m_LostPeerRetention;
  if (Answer.m_KnownNodes >= m_ToldNodes || ToldIsOld) {
    m_ToldNodes = Answer.m_KnownNodes;
    m_ToldAt = PingedAt;
  }
  if (Answer.m_Age)
    confirm(Answer.m_Revision, PingedAt - prolongByClockError(*Answer.m_Age));
  for (const StoreReport &Report : Answer.m_Reports)
    if (Report.m_Node != m_Options.m_Node)
      keepReport(Report.m_Node, {Report.m_Zone, Report.m_Reachable,
                                 PingedAt - prolongByClockError(Report.m_Age)});
}

/// While the configuration is not fresh, no peer is forgotten: otherwise the
/// nodes of a partition would soon look like a majority to each other.
void FreshnessTracker::onPeers(const std::vector<ConfigurationPeer> &Peers,
                               MonotonicTime Now) {
  std::map<std::string, KnownPeer> Next;
  for (const ConfigurationPeer &Peer : Peers) {
    const auto Known = m_Peers.find(Peer.m_Node);
    const bool LostBefore = Known != m_Peers.end() && !Known->second.m_Alive;
    const MonotonicTime LostAt = LostBefore ? Known->second.m_LostAt : Now;
    if (!Peer.m_Alive && isFresh(Now) &&
        Now - LostAt > m_Options.m_LostPeerRetention)
      continue;
    Next[Peer.m_Node] = {Peer.m_Zone, Peer.m_Alive, LostAt};
  }
  if (!isFresh(Now))
    for (const auto &[Node, Peer] : m_Peers)
      if (Next.count(Node) == 0)
        Next[Node] = {Peer.m_Zone, false, Peer.m_Alive ? Now : Peer.m_LostAt};
  m_Peers = std::move(Next);
  for (auto Report = m_Reports.begin(); Report != m_Reports.end();)
    if (Now - Report->second.m_AsOf > m_Options.m_ReportLimit)
      Report = m_Reports.erase(Report);
    else
      ++Report;
}

std::optional<Duration> FreshnessTracker::age(MonotonicTime Now) const {
  if (!m_AsOf)
    return std::nullopt;
  return std::max(Duration(0), Duration(Now - *m_AsOf));
}

bool FreshnessTracker::isFresh(MonotonicTime Now) const {
  const std::optional<Duration> Age = age(Now);
  return Age && *Age <= shortenByClockError(m_Options.m_AgeLimit);
}

bool FreshnessTracker::hasMajorityAlive() const {
  const auto Alive =
      std::count_if(m_Peers.begin(), m_Peers.end(),
                    [](const auto &Peer) { return Peer.second.m_Alive; });
  // This node counts among the known and among the live nodes.
  return 2 * (static_cast<std::size_t>(Alive) + 1) > knownNodes();
}

std::size_t FreshnessTracker::knownNodes() const {
  return std::max(m_Peers.size() + 1, m_ToldNodes);
}

bool FreshnessTracker::doAllReport() const {
  return knownNodes() <= m_Options.m_MaxReportingNodes;
}

/// Returns how many reports count in a zone of \p Members nodes.
std::size_t FreshnessTracker::places(std::size_t Members) const {
  return doAllReport() ? Members : std::min(Members, VotesPerZone);
}

/// Returns the reports that are recent enough, reachable ones first: one of
/// them refutes an outage, so a bound on the count must never hide it.
std::vector<StoreReport>
FreshnessTracker::currentReports(MonotonicTime Now) const {
  std::vector<StoreReport> Current;
  for (const auto &[Node, Report] : m_Reports)
    if (Now - Report.m_AsOf <= m_Options.m_ReportLimit)
      Current.push_back(
          {Node, Report.m_Zone, Report.m_Reachable, Now - Report.m_AsOf});
  const bool OwnIsMissing =
      std::none_of(Current.begin(), Current.end(), [this](const auto &Report) {
        return Report.m_Node == m_Options.m_Node;
      });
  // A node that hears of no confirmation cannot reach the store by any path.
  const std::optional<Duration> Age = age(Now);
  if (OwnIsMissing && doAllReport() && (!Age || *Age > m_Options.m_ReportAge))
    Current.push_back({m_Options.m_Node, m_Options.m_Zone, false, Duration(0)});
  std::stable_partition(
      Current.begin(), Current.end(),
      [](const StoreReport &Report) { return Report.m_Reachable; });
  return Current;
}

/// In a small fleet all nodes report. In a large one the watchers speak for
/// their availability zone, because only they call the object store. More than
/// half must report an outage, from at least two zones if there are several,
/// and none may reach the store.
bool FreshnessTracker::isOutageForAll(MonotonicTime Now) const {
  if (!hasMajorityAlive())
    return false;
  std::map<std::string, std::size_t> Members{{m_Options.m_Zone, 1}};
  for (const auto &[Node, Peer] : m_Peers)
    ++Members[Peer.m_Zone];
  std::map<std::string, std::size_t> Votes;
  for (const StoreReport &Report : currentReports(Now)) {
    if (Report.m_Reachable)
      return false;
    const bool IsKnown =
        Report.m_Node == m_Options.m_Node || m_Peers.count(Report.m_Node) != 0;
    if (IsKnown)
      ++Votes[Report.m_Zone];
  }
  const std::size_t Zones = std::max(Members.size(), m_Options.m_ExpectedZones);
  std::size_t Places = (Zones - Members.size()) * VotesPerZone;
  std::size_t Unreachable = 0;
  for (const auto &[Zone, Count] : Members) {
    Places += places(Count);
    const auto Vote = Votes.find(Zone);
    if (Vote != Votes.end())
      Unreachable += std::min(Vote->second, places(Count));
  }
  if (doAllReport())
    Places = std::max(Places, knownNodes());
  return 2 * Unreachable > Places &&
         Votes.size() >= std::min<std::size_t>(Zones, 2);
}

Freshness FreshnessTracker::state(MonotonicTime Now) const {
  if (isFresh(Now))
    return Freshness::Fresh;
  if (!m_HasConfiguration)
    return Freshness::NotReady;
  return isOutageForAll(Now) ? Freshness::OutageForAll : Freshness::Partitioned;
}

bool FreshnessTracker::mayAcceptNewWork(MonotonicTime Now) const {
  const Freshness State = state(Now);
  return State == Freshness::Fresh || State == Freshness::OutageForAll;
}

FreshnessAnswer FreshnessTracker::answer(MonotonicTime Now) const {
  FreshnessAnswer Answer{m_Revision, age(Now), {}, m_Peers.size() + 1};
  // A fresh node tells only what it knows itself; otherwise two nodes would
  // repeat an outdated number to each other forever.
  if (!isFresh(Now))
    Answer.m_KnownNodes = knownNodes();
  if (Answer.m_Age && *Answer.m_Age <= m_Options.m_ReportAge)
    return Answer;
  std::map<std::string, std::size_t> Passed;
  for (const StoreReport &Report : currentReports(Now))
    if (doAllReport() || ++Passed[Report.m_Zone] <= VotesPerZone)
      Answer.m_Reports.push_back(Report);
  return Answer;
}

} // namespace fulmarwinch
