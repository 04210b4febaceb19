#include "servers/configuration/configuration_writer.h"

#include "core/error.h"

#include "fmt/format.h"

#include <algorithm>
#include <utility>

namespace fulmarwinch {

ConfigurationWriter::ConfigurationWriter(ConfigurationWriterOptions Options,
                                         ProposedChange Proposal,
                                         ConfigurationView::Pointer Known)
    : m_Options(std::move(Options)), m_Proposal(std::move(Proposal)),
      m_View(Known ? std::move(Known) : ConfigurationView::makeEmpty()),
      m_CallId(m_Options.m_LastUsedCallId),
      m_RetryDelay(m_Options.m_MinRetryDelay) {}

bool ConfigurationWriter::hasElapsed(Duration Timeout,
                                     MonotonicTime Now) const {
  return Now - m_StartedAt > Timeout;
}

std::vector<StoreAction> ConfigurationWriter::start(MonotonicTime Now) {
  m_StartedAt = Now;
  return readHead();
}

std::vector<StoreAction> ConfigurationWriter::readHead() {
  m_Step = Step::ReadHead;
  return {GetObject{++m_CallId, ConfigurationHeadKey}};
}

std::vector<StoreAction>
ConfigurationWriter::scheduleRetry(MonotonicTime Now, std::mt19937_64 &Random) {
  if (hasElapsed(m_Options.m_FenceTimeout, Now)) {
    if (m_MayHaveLateWrite)
      return finish(
          makeError(ErrorKind::OutcomeUnknown,
                    fmt::format("plan {} may or may not have been accepted",
                                m_Proposal.m_PlanId),
                    "confirm the same plan again; it is never applied twice"));
    return refuseOrFence();
  }
  // Random jitter prevents competing writers from retrying at the same time.
  std::uniform_int_distribution<Duration::rep> Delay(m_RetryDelay.count() / 2,
                                                     m_RetryDelay.count());
  m_RetryAt = Now + Duration(Delay(Random));
  m_RetryDelay = std::min(m_RetryDelay * 2, m_Options.m_MaxRetryDelay);
  return {};
}

std::vector<StoreAction> ConfigurationWriter::onTick(MonotonicTime Now) {
  if (m_Result || !m_RetryAt || Now < *m_RetryAt)
    return {};
  m_RetryAt.reset();
  return readHead();
}

std::vector<StoreAction>
ConfigurationWriter::finish(absl::StatusOr<ConfigurationRevision> Result) {
  m_Result = std::move(Result);
  m_RetryAt.reset();
  return {};
}

std::vector<StoreAction> ConfigurationWriter::onGet(const GetCompleted &Event,
                                                    MonotonicTime Now,
                                                    std::mt19937_64 &Random) {
  if (m_Result || Event.m_Id != m_CallId)
    return {};
  if (m_Step == Step::ReadHead)
    return onHead(Event, Now, Random);
  if (m_Step == Step::ReadSnapshot)
    return onSnapshot(Event, Now, Random);
  return {};
}

std::vector<StoreAction> ConfigurationWriter::onHead(const GetCompleted &Event,
                                                     MonotonicTime Now,
                                                     std::mt19937_64 &Random) {
  if (Event.m_Outcome == StoreOutcome::NotFound) {
    m_Head = ConfigurationHead();
    m_HeadVersion = 0;
    return applyMissingChanges(Now, Random);
  }
  if (Event.m_Outcome != StoreOutcome::Succeeded) {
    if (!m_MayHaveLateWrite && hasElapsed(m_Options.m_AcceptTimeout, Now))
      return refuseOrFence();
    return scheduleRetry(Now, Random);
  }
  absl::StatusOr<ConfigurationHead> Head = decodeHead(Event.m_Value);
  if (!Head.ok())
    return finish(Head.status());
  m_Head = *std::move(Head);
  m_HeadVersion = Event.m_Version;
  return applyMissingChanges(Now, Random);
}

std::vector<StoreAction>
ConfigurationWriter::onSnapshot(const GetCompleted &Event, MonotonicTime Now,
                                std::mt19937_64 &Random) {
  if (Event.m_Outcome != StoreOutcome::Succeeded)
    return scheduleRetry(Now, Random);
  absl::StatusOr<ConfigurationView::Pointer> View =
      ConfigurationView::decode(Event.m_Value);
  if (!View.ok())
    return finish(View.status());
  if ((*View)->revision() > m_View->revision())
    m_View = *std::move(View);
  return applyMissingChanges(Now, Random);
}

std::vector<StoreAction>
ConfigurationWriter::applyMissingChanges(MonotonicTime Now,
                                         std::mt19937_64 &Random) {
  if (m_View->revision() < m_Head.m_SnapshotRevision) {
    m_Step = Step::ReadSnapshot;
    return {GetObject{++m_CallId, snapshotKey(m_Head.m_SnapshotRevision)}};
  }
  for (const ConfigurationChange &Change : m_Head.m_Changes) {
    if (Change.m_Revision <= m_View->revision())
      continue;
    absl::StatusOr<ConfigurationView::Pointer> Next =
        m_View->withChange(Change);
    if (!Next.ok())
      return finish(Next.status());
    m_View = *std::move(Next);
  }
  return checkAndWriteHead(Now, Random);
}

/// Returns an error if the plan is too old or one of its entries has changed.
/// The error is final even if the store returned an old head: an entry that has
/// changed stays changed, and a write of this writer that is still in flight
/// fails, because it expects a version of the head before that change.
absl::Status ConfigurationWriter::checkForConflict() const {
  if (m_Proposal.m_BaseRevision + RetainedRevisions < m_View->revision())
    return makeError(
        ErrorKind::KeyExpired,
        fmt::format("plan {} was made at revision {}, more than {} changes "
                    "before the present revision {}; this confirm did not "
                    "apply it",
                    m_Proposal.m_PlanId, m_Proposal.m_BaseRevision,
                    RetainedRevisions, m_View->revision()),
        "look in the audit trail whether an earlier confirm applied it, else "
        "make a new plan");
  for (const ProposedEntry &Entry : m_Proposal.m_Entries) {
    const ViewEntry *Current = m_View->find(Entry.m_Id);
    if (!Current || Current->m_Revision == Entry.m_BaseRevision)
      continue;
    return makeError(
        ErrorKind::Conflict,
        fmt::format("plan {} of {} changes {} as of revision {}, but plan {} "
                    "of {} changed it at revision {}",
                    m_Proposal.m_PlanId, m_Proposal.m_Operator,
                    toText(Entry.m_Id), Entry.m_BaseRevision, Current->m_PlanId,
                    Current->m_Operator, Current->m_Revision),
        "read the present entry and make a new plan");
  }
  return absl::OkStatus();
}

std::vector<StoreAction>
ConfigurationWriter::checkAndWriteHead(MonotonicTime Now,
                                       std::mt19937_64 &Random) {
  if (const auto Revision = m_View->revisionOfPlan(m_Proposal.m_PlanId))
    return finish(*Revision);
  // If the store returned a head that was written before the plan was made, its
  // entries have older revisions than those in the plan, which is not a
  // conflict.
  const bool IsHeadOutdated = m_View->revision() < m_Proposal.m_BaseRevision;
  if (absl::Status Fault = checkForConflict(); !IsHeadOutdated && !Fault.ok())
    return finish(Fault);
  if (hasElapsed(m_Options.m_AcceptTimeout, Now))
    return refuseOrFence();
  // If the store returned an older head than this node already knows, the head
  // is read again.
  if (IsHeadOutdated || m_Head.m_Revision < m_View->revision())
    return scheduleRetry(Now, Random);
  if (absl::Status Fault = prepareNextHead(); !Fault.ok()) {
    if (!m_MayHaveLateWrite)
      return finish(Fault);
    return scheduleRetry(Now, Random);
  }
  if (m_NextHead.m_SnapshotRevision != m_Head.m_SnapshotRevision)
    return put(Step::WriteSnapshot, snapshotKey(m_NextHead.m_SnapshotRevision),
               0, m_View->encode());
  return writeHead();
}

/// Builds the head with the change. If it is too large, the earlier changes are
/// compacted into a snapshot of the last accepted revision, not of the new one.
/// Competing writers then store the same bytes under the same key, and a writer
/// that loses the race leaves no invalid snapshot behind.
absl::Status ConfigurationWriter::prepareNextHead() {
  ConfigurationChange Change{m_Head.m_Revision + 1,
                             m_Proposal.m_PlanId,
                             m_Proposal.m_Operator,
                             m_Proposal.m_ConfirmedAt,
                             {}};
  for (const ProposedEntry &Entry : m_Proposal.m_Entries)
    Change.m_Entries.push_back({Entry.m_Id, Entry.m_JsonText});
  m_NextHead = m_Head;
  m_NextHead.m_Writer = m_Options.m_Writer;
  m_NextHead.m_Sequence = ++m_Sequence;
  m_NextHead.m_Revision = Change.m_Revision;
  m_NextHead.m_Changes.push_back(Change);
  if (m_Head.m_Revision > m_Head.m_SnapshotRevision &&
      encodeHead(m_NextHead).size() > m_Options.m_MaxHeadBytes) {
    m_NextHead.m_SnapshotRevision = m_Head.m_Revision;
    m_NextHead.m_Changes = {Change};
  }
  const absl::StatusOr<ConfigurationView::Pointer> Next =
      m_View->withChange(Change);
  if (!Next.ok())
    return Next.status();
  const std::size_t LargestObjectBytes =
      std::max((*Next)->encode().size(), encodeHead(m_NextHead).size());
  if (LargestObjectBytes <= m_Options.m_MaxObjectBytes)
    return absl::OkStatus();
  return makeError(ErrorKind::LimitExceeded,
                   fmt::format("configuration would take {} bytes, allowed {}",
                               LargestObjectBytes, m_Options.m_MaxObjectBytes),
                   "remove entries that are no longer used");
}

/// Refuses the change if no earlier write can still take effect. Otherwise
/// fences that write: a conditional update stores the same configuration again,
/// and the earlier write fails because the version of the head has changed.
std::vector<StoreAction> ConfigurationWriter::refuseOrFence() {
  if (!m_MayHaveLateWrite)
    return finish(
        makeError(ErrorKind::StoreUnavailable,
                  fmt::format("plan {} was not accepted, because the object "
                              "store did not answer in time",
                              m_Proposal.m_PlanId),
                  "confirm the plan again when the object store answers"));
  ConfigurationHead Head = m_Head;
  Head.m_Writer = m_Options.m_Writer;
  Head.m_Sequence = ++m_Sequence;
  return put(Step::Fence, ConfigurationHeadKey, m_HeadVersion,
             encodeHead(Head));
}

std::vector<StoreAction> ConfigurationWriter::writeHead() {
  return put(Step::WriteHead, ConfigurationHeadKey, m_HeadVersion,
             encodeHead(m_NextHead));
}

std::vector<StoreAction> ConfigurationWriter::put(Step Step,
                                                  const std::string &Key,
                                                  ObjectVersion Expected,
                                                  std::string Value) {
  m_Step = Step;
  return {PutObject{++m_CallId, Key, Expected, std::move(Value)}};
}

std::vector<StoreAction> ConfigurationWriter::onPut(const WriteCompleted &Event,
                                                    MonotonicTime Now,
                                                    std::mt19937_64 &Random) {
  if (m_Result || Event.m_Id != m_CallId)
    return {};
  const bool Applied = Event.m_Outcome == StoreOutcome::Succeeded;
  const bool Conflict = Event.m_Outcome == StoreOutcome::Conflict;
  if (m_Step == Step::WriteSnapshot)
    return Applied || Conflict ? writeHead() : scheduleRetry(Now, Random);
  if (m_Step == Step::WriteHead) {
    if (Applied) {
      m_AcceptedChange = m_NextHead.m_Changes.back();
      return finish(m_NextHead.m_Revision);
    }
    m_MayHaveLateWrite |= Event.m_Outcome == StoreOutcome::Unknown;
    return scheduleRetry(Now, Random);
  }
  if (m_Step != Step::Fence)
    return {};
  if (!Applied)
    return scheduleRetry(Now, Random);
  m_MayHaveLateWrite = false;
  return refuseOrFence();
}

} // namespace fulmarwinch
