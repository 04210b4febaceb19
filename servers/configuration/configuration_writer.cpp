#include "servers/configuration/configuration_writer.h"

#include "core/error.h"

#include "fmt/format.h"

#include <algorithm>
#include <utility>

namespace fulmarwinch {

ConfigurationWriter::ConfigurationWriter(WriterOptions Options,
                                         AcceptRequest Request,
                                         ConfigurationView::Pointer Known)
    : m_Options(std::move(Options)), m_Request(std::move(Request)),
      m_View(Known ? std::move(Known) : ConfigurationView::empty()),
      m_CallId(m_Options.m_FirstCallId),
      m_RetryDelay(m_Options.m_MinRetryDelay) {}

bool ConfigurationWriter::isAfter(Duration Limit, MonotonicTime Now) const {
  return Now - m_StartedAt > Limit;
}

std::vector<StoreAction> ConfigurationWriter::start(MonotonicTime Now) {
  m_StartedAt = Now;
  return readHead();
}

std::vector<StoreAction> ConfigurationWriter::readHead() {
  m_Step = Step::ReadHead;
  return {GetObject{++m_CallId, ConfigurationHeadKey}};
}

std::vector<StoreAction> ConfigurationWriter::retry(MonotonicTime Now,
                                                    std::mt19937_64 &Random) {
  if (isAfter(m_Options.m_FenceDeadline, Now)) {
    if (m_MayBeInFlight)
      return finish(
          makeError(ErrorKind::OutcomeUnknown,
                    fmt::format("plan {} may or may not have been accepted",
                                m_Request.m_Plan),
                    "confirm the same plan again; it is never applied twice"));
    return giveUp();
  }
  // Full jitter keeps racing writers from meeting again at the same moment.
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
    return catchUp(Now, Random);
  }
  if (Event.m_Outcome != StoreOutcome::Applied) {
    if (!m_MayBeInFlight && isAfter(m_Options.m_Deadline, Now))
      return giveUp();
    return retry(Now, Random);
  }
  absl::StatusOr<ConfigurationHead> Head = decodeHead(Event.m_Value);
  if (!Head.ok())
    return finish(Head.status());
  m_Head = *std::move(Head);
  m_HeadVersion = Event.m_Version;
  return catchUp(Now, Random);
}

std::vector<StoreAction>
ConfigurationWriter::onSnapshot(const GetCompleted &Event, MonotonicTime Now,
                                std::mt19937_64 &Random) {
  if (Event.m_Outcome != StoreOutcome::Applied)
    return retry(Now, Random);
  absl::StatusOr<ConfigurationView::Pointer> View =
      ConfigurationView::decode(Event.m_Value);
  if (!View.ok())
    return finish(View.status());
  if ((*View)->revision() > m_View->revision())
    m_View = *std::move(View);
  return catchUp(Now, Random);
}

std::vector<StoreAction> ConfigurationWriter::catchUp(MonotonicTime Now,
                                                      std::mt19937_64 &Random) {
  if (m_View->revision() < m_Head.m_SnapshotRevision) {
    m_Step = Step::ReadSnapshot;
    return {GetObject{++m_CallId, snapshotKey(m_Head.m_SnapshotRevision)}};
  }
  for (const ConfigurationChange &Change : m_Head.m_Changes) {
    if (Change.m_Revision <= m_View->revision())
      continue;
    absl::StatusOr<ConfigurationView::Pointer> Next = m_View->applied(Change);
    if (!Next.ok())
      return finish(Next.status());
    m_View = *std::move(Next);
  }
  return decide(Now, Random);
}

/// The verdicts are final even if the read lagged: an entry that has changed
/// stays changed, and a write of ours that is still in flight expects a
/// version of the head from before that change.
absl::Status ConfigurationWriter::checkBase() const {
  if (m_Request.m_BaseRevision + RememberedRevisions < m_View->revision())
    return makeError(
        ErrorKind::KeyExpired,
        fmt::format("plan {} was made at revision {}, more than {} changes "
                    "before the present revision {}; this confirm did not "
                    "apply it",
                    m_Request.m_Plan, m_Request.m_BaseRevision,
                    RememberedRevisions, m_View->revision()),
        "look in the audit trail whether an earlier confirm applied it, else "
        "make a new plan");
  for (const TouchedEntry &Entry : m_Request.m_Entries) {
    const ViewEntry *Present = m_View->find(Entry.m_Id);
    if (!Present || Present->m_Revision == Entry.m_BaseRevision)
      continue;
    return makeError(
        ErrorKind::Conflict,
        fmt::format("plan {} of {} changes {} as of revision {}, but plan {} "
                    "of {} changed it at revision {}",
                    m_Request.m_Plan, m_Request.m_Operator, toText(Entry.m_Id),
                    Entry.m_BaseRevision, Present->m_Plan, Present->m_Operator,
                    Present->m_Revision),
        "read the present entry and make a new plan");
  }
  return absl::OkStatus();
}

std::vector<StoreAction> ConfigurationWriter::decide(MonotonicTime Now,
                                                     std::mt19937_64 &Random) {
  if (const auto Revision = m_View->revisionOfPlan(m_Request.m_Plan))
    return finish(*Revision);
  // A read from before the plan was made shows old revisions of its entries,
  // which must not be mistaken for a conflict.
  const bool Lagging = m_View->revision() < m_Request.m_BaseRevision;
  if (absl::Status Fault = checkBase(); !Lagging && !Fault.ok())
    return finish(Fault);
  if (isAfter(m_Options.m_Deadline, Now))
    return giveUp();
  // The node already knows a later revision, so this read lagged.
  if (Lagging || m_Head.m_Revision < m_View->revision())
    return retry(Now, Random);
  if (absl::Status Fault = prepareHead(); !Fault.ok()) {
    if (!m_MayBeInFlight)
      return finish(Fault);
    return retry(Now, Random);
  }
  if (m_NextHead.m_SnapshotRevision != m_Head.m_SnapshotRevision)
    return put(Step::WriteSnapshot, snapshotKey(m_NextHead.m_SnapshotRevision),
               0, m_View->encode());
  return writeHead();
}

/// The snapshot is of the accepted revision, not of the one to be written:
/// racing writers then store the same bytes under the same key, and a writer
/// that loses the race leaves no wrong snapshot behind.
absl::Status ConfigurationWriter::prepareHead() {
  ConfigurationChange Change{m_Head.m_Revision + 1,
                             m_Request.m_Plan,
                             m_Request.m_Operator,
                             m_Request.m_Time,
                             {}};
  for (const TouchedEntry &Entry : m_Request.m_Entries)
    Change.m_Entries.push_back({Entry.m_Id, Entry.m_Text});
  m_NextHead = m_Head;
  m_NextHead.m_Writer = m_Options.m_Writer;
  m_NextHead.m_Sequence = ++m_Sequence;
  m_NextHead.m_Revision = Change.m_Revision;
  m_NextHead.m_Changes.push_back(Change);
  if (m_Head.m_Revision > m_Head.m_SnapshotRevision &&
      encodeHead(m_NextHead).size() > m_Options.m_MaxChangeBytes) {
    m_NextHead.m_SnapshotRevision = m_Head.m_Revision;
    m_NextHead.m_Changes = {Change};
  }
  const absl::StatusOr<ConfigurationView::Pointer> Next =
      m_View->applied(Change);
  if (!Next.ok())
    return Next.status();
  const std::size_t Bytes =
      std::max((*Next)->encode().size(), encodeHead(m_NextHead).size());
  if (Bytes <= m_Options.m_MaxObjectBytes)
    return absl::OkStatus();
  return makeError(ErrorKind::LimitExceeded,
                   fmt::format("configuration would take {} bytes, allowed {}",
                               Bytes, m_Options.m_MaxObjectBytes),
                   "remove entries that are no longer used");
}

/// Without a write in flight the refusal is certain. Otherwise a conditional
/// update that changes only the version makes the earlier write fail.
std::vector<StoreAction> ConfigurationWriter::giveUp() {
  if (!m_MayBeInFlight)
    return finish(
        makeError(ErrorKind::StoreUnavailable,
                  fmt::format("plan {} was not accepted, because the object "
                              "store did not answer in time",
                              m_Request.m_Plan),
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

std::vector<StoreAction> ConfigurationWriter::onPut(const PutCompleted &Event,
                                                    MonotonicTime Now,
                                                    std::mt19937_64 &Random) {
  if (m_Result || Event.m_Id != m_CallId)
    return {};
  const bool Applied = Event.m_Outcome == StoreOutcome::Applied;
  const bool Conflict = Event.m_Outcome == StoreOutcome::Conflict;
  if (m_Step == Step::WriteSnapshot)
    return Applied || Conflict ? writeHead() : retry(Now, Random);
  if (m_Step == Step::WriteHead) {
    if (Applied) {
      m_Accepted = m_NextHead.m_Changes.back();
      return finish(m_NextHead.m_Revision);
    }
    m_MayBeInFlight |= Event.m_Outcome == StoreOutcome::Unknown;
    return retry(Now, Random);
  }
  if (m_Step != Step::Fence)
    return {};
  if (!Applied)
    return retry(Now, Random);
  m_MayBeInFlight = false;
  return giveUp();
}

} // namespace fulmarwinch
