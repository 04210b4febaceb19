#include "servers/audit/audit_trail.h"

#include <utility>

namespace fulmarwinch {

namespace {

/// Encoded size of the keys and punctuation of a record, in bytes.
constexpr std::size_t RecordOverhead = 80;

std::size_t encodedSize(const AuditRecord &Record) {
  return RecordOverhead + Record.m_Actor.size() + Record.m_Action.size() +
         Record.m_Before.size() + Record.m_After.size() +
         Record.m_PlanId.size();
}

} // namespace

AuditTrail::AuditTrail(AuditOptions Options) : m_Options(std::move(Options)) {}

void AuditTrail::record(AuditRecord Record, MonotonicTime Now) {
  const std::size_t Bytes = encodedSize(Record);
  if (m_BufferBytes + Bytes > m_Options.m_MaxBufferBytes) {
    ++m_DroppedRecords;
    return;
  }
  m_BufferBytes += Bytes;
  m_Buffer.push_back(std::move(Record));
  if (!m_NextCallAt)
    m_NextCallAt = Now + m_Options.m_FlushDelay;
}

std::vector<StoreAction> AuditTrail::onTick(MonotonicTime Now) {
  if (m_CallInFlight || !m_NextCallAt || Now < *m_NextCallAt)
    return {};
  m_NextCallAt.reset();
  return m_PageBeingWritten ? makeStoreCall() : writeBufferedRecords();
}

/// Moves buffered records of one day to the page, up to the maximum page size,
/// and returns the write. Starts a new page if the day changed, the page is
/// full, or records were dropped.
std::vector<StoreAction> AuditTrail::writeBufferedRecords() {
  if (m_Buffer.empty())
    return {};
  const std::string Day = auditDay(m_Buffer.front().m_Time);
  std::size_t Bytes = encodePage(m_StoredPage).size();
  if (Day != m_PageDay || Bytes >= m_Options.m_MaxPageBytes ||
      m_DroppedRecords > 0) {
    m_PageNumber = Day == m_PageDay ? m_PageNumber + 1 : 0;
    m_PageDay = Day;
    m_StoredPage = AuditPage{
        m_Options.m_Writer, 0, std::exchange(m_DroppedRecords, 0), {}};
    m_StoredVersion = 0;
    Bytes = 0;
  }
  m_PageBeingWritten = m_StoredPage;
  while (!m_Buffer.empty() && Bytes < m_Options.m_MaxPageBytes &&
         auditDay(m_Buffer.front().m_Time) == m_PageDay) {
    const std::size_t Size = encodedSize(m_Buffer.front());
    Bytes += Size;
    m_BufferBytes -= Size;
    m_PageBeingWritten->m_Records.push_back(std::move(m_Buffer.front()));
    m_Buffer.pop_front();
  }
  m_PageBeingWritten->m_WriteSequence = ++m_WriteSequence;
  return makeStoreCall();
}

std::vector<StoreAction> AuditTrail::makeStoreCall() {
  m_CallInFlight = true;
  const std::string Key =
      auditPageKey(m_PageDay, m_Options.m_Writer, m_PageNumber);
  if (m_MustReadPage)
    return {GetObject{++m_LastCallId, Key}};
  return {PutObject{++m_LastCallId, Key, m_StoredVersion,
                    encodePage(*m_PageBeingWritten)}};
}

void AuditTrail::onPageStored(ObjectVersion Version) {
  m_StoredPage = *std::exchange(m_PageBeingWritten, std::nullopt);
  m_StoredVersion = Version;
  m_MustReadPage = false;
}

std::vector<StoreAction> AuditTrail::onPut(const WriteCompleted &Event,
                                           MonotonicTime Now) {
  if (!m_CallInFlight || Event.m_Id != m_LastCallId)
    return {};
  m_CallInFlight = false;
  if (Event.m_Outcome == StoreOutcome::Succeeded) {
    onPageStored(Event.m_Version);
    if (!m_Buffer.empty())
      m_NextCallAt = Now + m_Options.m_FlushDelay;
    return {};
  }
  // After a conflict or an unknown outcome, the page is read to find out
  // whether the write was applied. If the page does not contain it, the same
  // write is sent again. This is safe, because at most one of two writes with
  // the same expected version is applied, and both have the same content.
  m_MustReadPage = Event.m_Outcome != StoreOutcome::Unavailable;
  m_NextCallAt = Now + m_Options.m_RetryDelay;
  return m_MustReadPage ? makeStoreCall() : std::vector<StoreAction>();
}

std::vector<StoreAction> AuditTrail::onGet(const GetCompleted &Event,
                                           MonotonicTime Now) {
  if (!m_CallInFlight || Event.m_Id != m_LastCallId)
    return {};
  m_CallInFlight = false;
  m_NextCallAt = Now + m_Options.m_RetryDelay;
  const bool IsPageStateKnown = Event.m_Outcome == StoreOutcome::Succeeded ||
                                Event.m_Outcome == StoreOutcome::NotFound;
  if (!IsPageStateKnown)
    return {};
  m_MustReadPage = false;
  if (Event.m_Outcome == StoreOutcome::NotFound)
    return {};
  const absl::StatusOr<AuditPage> Page = decodePage(Event.m_Value);
  if (Page.ok() && Page->m_WriteSequence == m_PageBeingWritten->m_WriteSequence)
    onPageStored(Event.m_Version);
  return {};
}

} // namespace fulmarwinch
