#include "servers/configuration/configuration_replica.h"

#include "core/log.h"
#include "servers/configuration/watcher_choice.h"

#include <algorithm>
#include <utility>

namespace fulmarwinch {

namespace {

FreshnessOptions freshnessOptions(const ReplicaOptions &Options) {
  FreshnessOptions Freshness = Options.m_Freshness;
  Freshness.m_Node = Options.m_Node;
  Freshness.m_Zone = Options.m_Zone;
  return Freshness;
}

} // namespace

ConfigurationReplica::ConfigurationReplica(ReplicaOptions Options,
                                           MonotonicTime Now)
    : m_Options(std::move(Options)), m_Freshness(freshnessOptions(m_Options)),
      m_StartedAt(Now), m_View(ConfigurationView::empty()) {}

StoreCallId ConfigurationReplica::begin(std::optional<StoreCall> &Call,
                                        MonotonicTime Now) {
  Call = StoreCall{++m_LastCallId, Now};
  return m_LastCallId;
}

bool ConfigurationReplica::end(std::optional<StoreCall> &Call, StoreCallId Id,
                               MonotonicTime &At) {
  if (!Call || Call->m_Id != Id)
    return false;
  At = Call->m_SentAt;
  Call.reset();
  return true;
}

ConfigurationReplica::Actions
ConfigurationReplica::onPeers(const std::vector<ConfigurationPeer> &Peers,
                              const std::vector<std::string> &Neighbours,
                              MonotonicTime Now) {
  m_Neighbours = Neighbours;
  m_HasPeers = !Neighbours.empty();
  m_Freshness.onPeers(Peers, Now);
  const bool WasWatcher = std::exchange(
      m_IsWatcher, isChosenWatcher({m_Options.m_Node, m_Options.m_Zone, true},
                                   Peers, m_Options.m_WatchersPerZone));
  Actions Result;
  if (m_IsWatcher && !WasWatcher) {
    m_Since.reset();
    m_Watch.reset();
    watch(Result, Now);
  }
  return Result;
}

void ConfigurationReplica::watch(Actions &Result, MonotonicTime Now) {
  if (!m_IsWatcher || m_Watch)
    return;
  const StoreCallId Id = begin(m_Watch, Now);
  if (m_Since)
    Result.push_back(WatchHead{Id, *m_Since, m_Options.m_WatchTimeout});
  else
    Result.push_back(ListHead{Id});
}

void ConfigurationReplica::readHead(Actions &Result, MonotonicTime Now) {
  if (m_Get)
    return;
  m_HeadWithoutSnapshot.reset();
  Result.push_back(GetObject{begin(m_Get, Now), ConfigurationHeadKey});
}

void ConfigurationReplica::storeFailed(MonotonicTime Now) {
  m_Freshness.onStoreReport(false, Now);
  m_StoreRetryAt = Now + m_Options.m_RetryDelay;
}

/// The store said to a question of \p AskedAt that the head has at least
/// \p Version, and no newer one unless a later answer says so.
void ConfigurationReplica::onTold(ObjectVersion Version, MonotonicTime AskedAt,
                                  Actions &Result, MonotonicTime Now) {
  m_Freshness.onStoreReport(true, AskedAt);
  m_Told = {std::max(m_Told.m_Version, Version), AskedAt};
  confirmIfRead();
  if (m_AppliedVersion < m_Told.m_Version)
    readHead(Result, Now);
  watch(Result, Now);
}

void ConfigurationReplica::confirmIfRead() {
  if (m_AppliedVersion >= m_Told.m_Version)
    m_Freshness.onStoreConfirmed(m_View->revision(), m_Told.m_AskedAt);
}

ConfigurationReplica::Actions
ConfigurationReplica::onWatch(const WatchCompleted &Event, MonotonicTime Now) {
  Actions Result;
  MonotonicTime AskedAt;
  if (!end(m_Watch, Event.m_Id, AskedAt))
    return Result;
  if (Event.m_Outcome == StoreOutcome::NotFound) {
    m_Since.reset();
    watch(Result, Now);
    return Result;
  }
  if (Event.m_Outcome != StoreOutcome::Applied) {
    storeFailed(Now);
    return Result;
  }
  m_Since = std::max(m_Since.value_or(0), Event.m_StoreRevision);
  onTold(Event.m_HeadVersion, AskedAt, Result, Now);
  return Result;
}

ConfigurationReplica::Actions
ConfigurationReplica::onList(const ListCompleted &Event, MonotonicTime Now) {
  Actions Result;
  MonotonicTime AskedAt;
  if (!end(m_Watch, Event.m_Id, AskedAt))
    return Result;
  if (Event.m_Outcome != StoreOutcome::Applied) {
    storeFailed(Now);
    return Result;
  }
  m_Since = Event.m_StoreRevision;
  onTold(Event.m_HeadVersion, AskedAt, Result, Now);
  return Result;
}

ConfigurationReplica::Actions
ConfigurationReplica::onGet(const GetCompleted &Event, MonotonicTime Now) {
  Actions Result;
  MonotonicTime SentAt;
  if (!end(m_Get, Event.m_Id, SentAt))
    return Result;
  if (Event.m_Outcome != StoreOutcome::Applied) {
    // A snapshot that is gone was replaced, so the head has to be read again.
    m_HeadWithoutSnapshot.reset();
    m_StoreRetryAt = Now + m_Options.m_RetryDelay;
    return Result;
  }
  const ConfigurationRevision From = m_View->revision();
  if (m_HeadWithoutSnapshot) {
    const auto View = ConfigurationView::decode(Event.m_Value);
    if (View.ok())
      adopt(*View);
    for (const ConfigurationChange &Change : m_HeadWithoutSnapshot->m_Changes)
      apply(Change);
    if (m_View->revision() >= m_HeadWithoutSnapshot->m_Revision)
      m_AppliedVersion = std::max(m_AppliedVersion, m_VersionWithoutSnapshot);
    m_HeadWithoutSnapshot.reset();
    confirmIfRead();
  } else {
    onHead(Event, Result, Now);
  }
  passOn(From, "", Result);
  if (!m_Get && m_AppliedVersion < m_Told.m_Version)
    m_StoreRetryAt = Now + m_Options.m_RetryDelay / 10;
  return Result;
}

void ConfigurationReplica::onHead(const GetCompleted &Event, Actions &Result,
                                  MonotonicTime Now) {
  absl::StatusOr<ConfigurationHead> Head = decodeHead(Event.m_Value);
  if (!Head.ok()) {
    logLine(LogLevel::Error, "configuration",
            std::string(Head.status().message()));
    return;
  }
  if (m_View->revision() < Head->m_SnapshotRevision) {
    m_VersionWithoutSnapshot = Event.m_Version;
    Result.push_back(
        GetObject{begin(m_Get, Now), snapshotKey(Head->m_SnapshotRevision)});
    m_HeadWithoutSnapshot = *std::move(Head);
    return;
  }
  for (const ConfigurationChange &Change : Head->m_Changes)
    apply(Change);
  m_AppliedVersion = std::max(m_AppliedVersion, Event.m_Version);
  confirmIfRead();
}

bool ConfigurationReplica::apply(const ConfigurationChange &Change) {
  if (Change.m_Revision <= m_View->revision())
    return true;
  absl::StatusOr<ConfigurationView::Pointer> Next = m_View->applied(Change);
  if (!Next.ok())
    return false;
  m_View = *std::move(Next);
  m_LogBytes += toJson(Change).dump().size();
  m_Log.push_back(Change);
  while (m_LogBytes > m_Options.m_MaxLogBytes && m_Log.size() > 1) {
    m_LogBytes -= toJson(m_Log.front()).dump().size();
    m_Log.pop_front();
  }
  m_Freshness.onRevision(m_View->revision());
  return true;
}

bool ConfigurationReplica::adopt(const ConfigurationView::Pointer &View) {
  if (View->revision() <= m_View->revision())
    return false;
  m_View = View;
  m_Log.clear();
  m_LogBytes = 0;
  m_Freshness.onRevision(m_View->revision());
  return true;
}

/// Each node passes a change on once, when it is first applied here. After a
/// snapshot there is nothing to pass on: the neighbours see the revision in
/// the next ping and ask.
void ConfigurationReplica::passOn(ConfigurationRevision From,
                                  const std::string &Source,
                                  Actions &Result) const {
  ConfigurationUpdate Update;
  for (const ConfigurationChange &Change : m_Log)
    if (Change.m_Revision > From)
      Update.m_Changes.push_back(Change);
  if (Update.m_Changes.empty())
    return;
  for (const std::string &Neighbour : m_Neighbours)
    if (Neighbour != Source)
      Result.push_back(SendUpdate{Neighbour, Update});
}

ConfigurationReplica::Actions
ConfigurationReplica::onUpdate(const std::string &Peer,
                               const ConfigurationUpdate &Update,
                               MonotonicTime Now) {
  Actions Result;
  const ConfigurationRevision From = m_View->revision();
  m_AskedAt.reset();
  if (!Update.m_Snapshot.empty()) {
    const auto View = ConfigurationView::decode(Update.m_Snapshot);
    if (View.ok())
      adopt(*View);
  }
  for (const ConfigurationChange &Change : Update.m_Changes)
    if (!apply(Change)) {
      ask(Peer, Result, Now);
      break;
    }
  passOn(From, Peer, Result);
  return Result;
}

ConfigurationReplica::Actions
ConfigurationReplica::onAccepted(const ConfigurationChange &Change) {
  Actions Result;
  const ConfigurationRevision From = m_View->revision();
  // After a gap the change arrives by the watchers like any other.
  if (apply(Change))
    passOn(From, "", Result);
  return Result;
}

void ConfigurationReplica::ask(const std::string &Peer, Actions &Result,
                               MonotonicTime Now) {
  if (m_AskedAt && Now - *m_AskedAt < m_Options.m_AskTimeout)
    return;
  m_AskedAt = Now;
  Result.push_back(AskPeer{Peer, m_View->revision()});
}

ConfigurationReplica::Actions
ConfigurationReplica::onAnswer(const std::string &Peer,
                               const FreshnessAnswer &Answer,
                               MonotonicTime PingedAt, MonotonicTime Now) {
  Actions Result;
  m_Freshness.onAnswer(Answer, PingedAt);
  if (Answer.m_Revision > m_View->revision())
    ask(Peer, Result, Now);
  return Result;
}

ConfigurationReplica::Actions
ConfigurationReplica::onAsked(const std::string &Peer,
                              ConfigurationRevision Have) const {
  Actions Result;
  if (Have >= m_View->revision())
    return Result;
  ConfigurationUpdate Update;
  const bool LogSuffices =
      !m_Log.empty() && m_Log.front().m_Revision <= Have + 1;
  if (!LogSuffices)
    Update.m_Snapshot = m_View->encode();
  else
    for (const ConfigurationChange &Change : m_Log)
      if (Change.m_Revision > Have)
        Update.m_Changes.push_back(Change);
  Result.push_back(SendUpdate{Peer, std::move(Update)});
  return Result;
}

void ConfigurationReplica::tickStore(Actions &Result, MonotonicTime Now) {
  for (std::optional<StoreCall> *Call : {&m_Watch, &m_Get})
    if (*Call && Now - (*Call)->m_SentAt >
                     m_Options.m_WatchTimeout + m_Options.m_StoreCallLimit) {
      // The late answer will be ignored, since its number is forgotten.
      Call->reset();
      m_HeadWithoutSnapshot.reset();
      storeFailed(Now);
    }
  if (m_StoreRetryAt && Now < *m_StoreRetryAt)
    return;
  m_StoreRetryAt.reset();
  watch(Result, Now);
  if (m_IsWatcher && m_AppliedVersion < m_Told.m_Version)
    readHead(Result, Now);
}

ConfigurationReplica::Actions
ConfigurationReplica::onTick(MonotonicTime Now, std::mt19937_64 &Random) {
  Actions Result;
  tickStore(Result, Now);
  const bool MustBootstrap =
      m_View->revision() == 0 && !m_Freshness.age(Now).has_value();
  if (!MustBootstrap)
    return Result;
  if (m_HasPeers && (!m_AskedAt || Now - *m_AskedAt > m_Options.m_AskTimeout)) {
    std::uniform_int_distribution<std::size_t> Index(0,
                                                     m_Neighbours.size() - 1);
    ask(m_Neighbours[Index(Random)], Result, Now);
  }
  const bool PeersHadTheirChance =
      Now - m_StartedAt > m_Options.m_PeersFirst || !m_HasPeers;
  if (PeersHadTheirChance && !m_StoreRetryAt && !m_IsWatcher) {
    readHead(Result, Now);
    m_StoreRetryAt = Now + m_Options.m_RetryDelay;
  }
  return Result;
}

} // namespace fulmarwinch
