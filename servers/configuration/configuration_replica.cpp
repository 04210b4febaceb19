#include "servers/configuration/configuration_replica.h"

#include "core/log.h"
#include "servers/configuration/watcher_choice.h"

#include <algorithm>
#include <utility>

namespace fulmarwinch {

namespace {

FreshnessOptions freshnessOptions(const ConfigurationReplicaOptions &Options) {
  FreshnessOptions Freshness = Options.m_Freshness;
  Freshness.m_Node = Options.m_Node;
  Freshness.m_Zone = Options.m_Zone;
  return Freshness;
}

} // namespace

ConfigurationReplica::ConfigurationReplica(ConfigurationReplicaOptions Options,
                                           MonotonicTime Now)
    : m_Options(std::move(Options)), m_Freshness(freshnessOptions(m_Options)),
      m_StartedAt(Now), m_View(ConfigurationView::makeEmpty()) {}

StoreCallId ConfigurationReplica::beginStoreCall(std::optional<StoreCall> &Call,
                                                 MonotonicTime Now) {
  Call = StoreCall{++m_LastCallId, Now};
  return m_LastCallId;
}

bool ConfigurationReplica::endStoreCall(std::optional<StoreCall> &Call,
                                        StoreCallId Id, MonotonicTime &SentAt) {
  if (!Call || Call->m_Id != Id)
    return false;
  SentAt = Call->m_SentAt;
  Call.reset();
  return true;
}

ConfigurationReplica::Actions
ConfigurationReplica::setPeers(const std::vector<ConfigurationPeer> &Peers,
                               const std::vector<std::string> &Neighbours,
                               MonotonicTime Now) {
  m_Neighbours = Neighbours;
  m_HasPeers = !Neighbours.empty();
  m_Freshness.setPeers(Peers, Now);
  const bool WasWatcher = std::exchange(
      m_IsWatcher, isChosenWatcher({m_Options.m_Node, m_Options.m_Zone, true},
                                   Peers, m_Options.m_WatchersPerZone));
  Actions NextActions;
  if (m_IsWatcher && !WasWatcher) {
    m_WatchAfterStorePosition.reset();
    m_WatchCall.reset();
    startWatch(NextActions, Now);
  }
  return NextActions;
}

void ConfigurationReplica::startWatch(Actions &NextActions, MonotonicTime Now) {
  if (!m_IsWatcher || m_WatchCall)
    return;
  const StoreCallId Id = beginStoreCall(m_WatchCall, Now);
  if (m_WatchAfterStorePosition)
    NextActions.push_back(
        WatchHead{Id, *m_WatchAfterStorePosition, m_Options.m_WatchTimeout});
  else
    NextActions.push_back(ListHead{Id});
}

void ConfigurationReplica::readHead(Actions &NextActions, MonotonicTime Now) {
  if (m_GetCall)
    return;
  m_HeadAwaitingSnapshot.reset();
  NextActions.push_back(
      GetObject{beginStoreCall(m_GetCall, Now), ConfigurationHeadKey});
}

void ConfigurationReplica::onStoreFailure(MonotonicTime Now) {
  m_Freshness.recordStoreReachability(false, Now);
  m_StoreRetryAt = Now + m_Options.m_StoreRetryDelay;
}

/// Handles the answer to a store query that was sent at \p QueriedAt. \p
/// Version is the newest version of the head, or 0 if it did not change since
/// the previous query.
void ConfigurationReplica::onHeadVersionReported(ObjectVersion Version,
                                                 MonotonicTime QueriedAt,
                                                 Actions &NextActions,
                                                 MonotonicTime Now) {
  m_Freshness.recordStoreReachability(true, QueriedAt);
  m_ReportedHead = {std::max(m_ReportedHead.m_Version, Version), QueriedAt};
  confirmIfHeadApplied();
  if (m_AppliedHeadVersion < m_ReportedHead.m_Version)
    readHead(NextActions, Now);
  startWatch(NextActions, Now);
}

void ConfigurationReplica::confirmIfHeadApplied() {
  if (m_AppliedHeadVersion >= m_ReportedHead.m_Version)
    m_Freshness.onStoreConfirmed(m_View->revision(),
                                 m_ReportedHead.m_QueriedAt);
}

ConfigurationReplica::Actions
ConfigurationReplica::onWatch(const WatchCompleted &Event, MonotonicTime Now) {
  Actions NextActions;
  MonotonicTime QueriedAt;
  if (!endStoreCall(m_WatchCall, Event.m_Id, QueriedAt))
    return NextActions;
  if (Event.m_Outcome == StoreOutcome::NotFound) {
    m_WatchAfterStorePosition.reset();
    startWatch(NextActions, Now);
    return NextActions;
  }
  if (Event.m_Outcome != StoreOutcome::Succeeded) {
    onStoreFailure(Now);
    return NextActions;
  }
  const StorePosition WatchedFrom =
      m_WatchAfterStorePosition.value_or(StorePosition());
  if (Event.m_StorePosition.m_Era != WatchedFrom.m_Era) {
    // The store has returned from a copy, so changes before the position that
    // was watched from are missing in the answer.
    m_WatchAfterStorePosition.reset();
    startWatch(NextActions, Now);
    return NextActions;
  }
  m_WatchAfterStorePosition = std::max(WatchedFrom, Event.m_StorePosition);
  onHeadVersionReported(Event.m_HeadVersion, QueriedAt, NextActions, Now);
  return NextActions;
}

ConfigurationReplica::Actions
ConfigurationReplica::onList(const ListCompleted &Event, MonotonicTime Now) {
  Actions NextActions;
  MonotonicTime QueriedAt;
  if (!endStoreCall(m_WatchCall, Event.m_Id, QueriedAt))
    return NextActions;
  if (Event.m_Outcome != StoreOutcome::Succeeded) {
    onStoreFailure(Now);
    return NextActions;
  }
  m_WatchAfterStorePosition = Event.m_StorePosition;
  onHeadVersionReported(Event.m_HeadVersion, QueriedAt, NextActions, Now);
  return NextActions;
}

ConfigurationReplica::Actions
ConfigurationReplica::onGet(const GetCompleted &Event, MonotonicTime Now) {
  Actions NextActions;
  MonotonicTime SentAt;
  if (!endStoreCall(m_GetCall, Event.m_Id, SentAt))
    return NextActions;
  if (Event.m_Outcome != StoreOutcome::Succeeded) {
    // A newer snapshot may have superseded the one that could not be read, so
    // the retry reads the head first.
    m_HeadAwaitingSnapshot.reset();
    m_StoreRetryAt = Now + m_Options.m_StoreRetryDelay;
    return NextActions;
  }
  const ConfigurationRevision RevisionBefore = m_View->revision();
  if (m_HeadAwaitingSnapshot) {
    const auto View = ConfigurationView::decode(Event.m_Value);
    if (View.ok())
      applySnapshot(*View);
    for (const ConfigurationChange &Change : m_HeadAwaitingSnapshot->m_Changes)
      applyChange(Change);
    if (m_View->revision() >= m_HeadAwaitingSnapshot->m_Revision)
      m_AppliedHeadVersion =
          std::max(m_AppliedHeadVersion, m_HeadVersionAwaitingSnapshot);
    m_HeadAwaitingSnapshot.reset();
    confirmIfHeadApplied();
  } else {
    onHeadRead(Event, NextActions, Now);
  }
  forwardChanges(RevisionBefore, "", NextActions);
  if (!m_GetCall && m_AppliedHeadVersion < m_ReportedHead.m_Version)
    m_StoreRetryAt = Now + m_Options.m_StoreRetryDelay / 10;
  return NextActions;
}

void ConfigurationReplica::onHeadRead(const GetCompleted &Event,
                                      Actions &NextActions, MonotonicTime Now) {
  absl::StatusOr<ConfigurationHead> Head = decodeHead(Event.m_Value);
  if (!Head.ok()) {
    logLine(LogLevel::Error, "configuration",
            std::string(Head.status().message()));
    return;
  }
  if (m_View->revision() < Head->m_SnapshotRevision) {
    m_HeadVersionAwaitingSnapshot = Event.m_Version;
    NextActions.push_back(GetObject{beginStoreCall(m_GetCall, Now),
                                    snapshotKey(Head->m_SnapshotRevision)});
    m_HeadAwaitingSnapshot = *std::move(Head);
    return;
  }
  for (const ConfigurationChange &Change : Head->m_Changes)
    applyChange(Change);
  m_AppliedHeadVersion = std::max(m_AppliedHeadVersion, Event.m_Version);
  confirmIfHeadApplied();
}

bool ConfigurationReplica::applyChange(const ConfigurationChange &Change) {
  if (Change.m_Revision <= m_View->revision())
    return true;
  absl::StatusOr<ConfigurationView::Pointer> Next = m_View->withChange(Change);
  if (!Next.ok())
    return false;
  m_View = *std::move(Next);
  m_ChangeLogBytes += toJson(Change).dump().size();
  m_ChangeLog.push_back(Change);
  while (m_ChangeLogBytes > m_Options.m_MaxChangeLogBytes &&
         m_ChangeLog.size() > 1) {
    m_ChangeLogBytes -= toJson(m_ChangeLog.front()).dump().size();
    m_ChangeLog.pop_front();
  }
  m_Freshness.onRevisionApplied(m_View->revision());
  return true;
}

bool ConfigurationReplica::applySnapshot(
    const ConfigurationView::Pointer &View) {
  if (View->revision() <= m_View->revision())
    return false;
  m_View = View;
  m_ChangeLog.clear();
  m_ChangeLogBytes = 0;
  m_Freshness.onRevisionApplied(m_View->revision());
  return true;
}

/// Forwards the changes that were applied after \p RevisionBefore to all
/// neighbours but \p ReceivedFrom. Changes inside a snapshot are not forwarded:
/// the neighbours see the new revision in the next ping answer and request an
/// update.
void ConfigurationReplica::forwardChanges(ConfigurationRevision RevisionBefore,
                                          const std::string &ReceivedFrom,
                                          Actions &NextActions) const {
  ConfigurationUpdate Update;
  for (const ConfigurationChange &Change : m_ChangeLog)
    if (Change.m_Revision > RevisionBefore)
      Update.m_Changes.push_back(Change);
  if (Update.m_Changes.empty())
    return;
  for (const std::string &Neighbour : m_Neighbours)
    if (Neighbour != ReceivedFrom)
      NextActions.push_back(SendUpdate{Neighbour, Update});
}

ConfigurationReplica::Actions
ConfigurationReplica::onUpdate(const std::string &Peer,
                               const ConfigurationUpdate &Update,
                               MonotonicTime Now) {
  Actions NextActions;
  const ConfigurationRevision RevisionBefore = m_View->revision();
  m_UpdateRequestedAt.reset();
  if (!Update.m_Snapshot.empty()) {
    const auto View = ConfigurationView::decode(Update.m_Snapshot);
    if (View.ok())
      applySnapshot(*View);
  }
  for (const ConfigurationChange &Change : Update.m_Changes)
    if (!applyChange(Change)) {
      requestUpdate(Peer, NextActions, Now);
      break;
    }
  forwardChanges(RevisionBefore, Peer, NextActions);
  return NextActions;
}

ConfigurationReplica::Actions
ConfigurationReplica::onLocalChange(const ConfigurationChange &Change) {
  Actions NextActions;
  const ConfigurationRevision RevisionBefore = m_View->revision();
  // If an earlier change is missing, this one is not applied; this node
  // receives both later from the object store or from a peer.
  if (applyChange(Change))
    forwardChanges(RevisionBefore, "", NextActions);
  return NextActions;
}

void ConfigurationReplica::requestUpdate(const std::string &Peer,
                                         Actions &NextActions,
                                         MonotonicTime Now) {
  if (m_UpdateRequestedAt &&
      Now - *m_UpdateRequestedAt < m_Options.m_PeerRequestTimeout)
    return;
  m_UpdateRequestedAt = Now;
  NextActions.push_back(RequestUpdate{Peer, m_View->revision()});
}

ConfigurationReplica::Actions
ConfigurationReplica::onPingAnswer(const std::string &Peer,
                                   const FreshnessAnswer &Answer,
                                   MonotonicTime PingedAt, MonotonicTime Now) {
  Actions NextActions;
  m_Freshness.onPingAnswer(Answer, PingedAt);
  if (Answer.m_Revision > m_View->revision())
    requestUpdate(Peer, NextActions, Now);
  return NextActions;
}

ConfigurationReplica::Actions ConfigurationReplica::onUpdateRequest(
    const std::string &Peer, ConfigurationRevision PeerRevision) const {
  Actions NextActions;
  if (PeerRevision >= m_View->revision())
    return NextActions;
  ConfigurationUpdate Update;
  const bool LogHasMissingChanges =
      !m_ChangeLog.empty() &&
      m_ChangeLog.front().m_Revision <= PeerRevision + 1;
  if (!LogHasMissingChanges)
    Update.m_Snapshot = m_View->encode();
  else
    for (const ConfigurationChange &Change : m_ChangeLog)
      if (Change.m_Revision > PeerRevision)
        Update.m_Changes.push_back(Change);
  NextActions.push_back(SendUpdate{Peer, std::move(Update)});
  return NextActions;
}

void ConfigurationReplica::retryStoreCalls(Actions &NextActions,
                                           MonotonicTime Now) {
  for (std::optional<StoreCall> *Call : {&m_WatchCall, &m_GetCall})
    if (*Call && Now - (*Call)->m_SentAt >
                     m_Options.m_WatchTimeout + m_Options.m_StoreCallTimeout) {
      // Without the call ID, endStoreCall() ignores an answer that arrives
      // later.
      Call->reset();
      m_HeadAwaitingSnapshot.reset();
      onStoreFailure(Now);
    }
  if (m_StoreRetryAt && Now < *m_StoreRetryAt)
    return;
  m_StoreRetryAt.reset();
  startWatch(NextActions, Now);
  if (m_IsWatcher && m_AppliedHeadVersion < m_ReportedHead.m_Version)
    readHead(NextActions, Now);
}

ConfigurationReplica::Actions
ConfigurationReplica::onTick(MonotonicTime Now, std::mt19937_64 &Random) {
  Actions NextActions;
  retryStoreCalls(NextActions, Now);
  const bool MustBootstrap =
      m_View->revision() == 0 && !m_Freshness.age(Now).has_value();
  if (!MustBootstrap)
    return NextActions;
  if (m_HasPeers &&
      (!m_UpdateRequestedAt ||
       Now - *m_UpdateRequestedAt > m_Options.m_PeerRequestTimeout)) {
    std::uniform_int_distribution<std::size_t> Index(0,
                                                     m_Neighbours.size() - 1);
    requestUpdate(m_Neighbours[Index(Random)], NextActions, Now);
  }
  const bool MayReadFromStore =
      Now - m_StartedAt > m_Options.m_PeerOnlyBootstrapTime || !m_HasPeers;
  if (MayReadFromStore && !m_StoreRetryAt && !m_IsWatcher) {
    readHead(NextActions, Now);
    m_StoreRetryAt = Now + m_Options.m_StoreRetryDelay;
  }
  return NextActions;
}

} // namespace fulmarwinch
