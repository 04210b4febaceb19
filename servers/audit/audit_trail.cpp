#include "servers/audit/audit_trail.h"

#include <utility>

namespace fulmarwinch {

namespace {

/// Bytes of a record's keys and punctuation.
constexpr std::size_t RecordOverhead = 80;

std::size_t sizeOf(const AuditRecord &Record) {
  return RecordOverhead + Record.m_Who.size() + Record.m_What.size() +
         Record.m_Before.size() + Record.m_After.size() + Record.m_Plan.size();
}

} // namespace

AuditTrail::AuditTrail(AuditOptions Options) : m_Options(std::move(Options)) {}

void AuditTrail::record(AuditRecord Record, MonotonicTime Now) {
  const std::size_t Bytes = sizeOf(Record);
  if (m_BufferBytes + Bytes > m_Options.m_MaxBufferBytes) {
    ++m_Dropped;
    return;
  }
  m_BufferBytes += Bytes;
  m_Buffer.push_back(std::move(Record));
  if (!m_NextAt)
    m_NextAt = Now + m_Options.m_FlushDelay;
}

std::vector<StoreAction> AuditTrail::onTick(MonotonicTime Now) {
  if (m_CallInFlight || !m_NextAt || Now < *m_NextAt)
    return {};
  m_NextAt.reset();
  return m_Pending ? send() : flush();
}

/// Moves the records of one day from the buffer to the page, up to its bound.
std::vector<StoreAction> AuditTrail::flush() {
  if (m_Buffer.empty())
    return {};
  const std::string Day = auditDay(m_Buffer.front().m_When);
  std::size_t Bytes = encodePage(m_Page).size();
  if (Day != m_Day || Bytes >= m_Options.m_MaxPageBytes || m_Dropped > 0) {
    m_PageNumber = Day == m_Day ? m_PageNumber + 1 : 0;
    m_Day = Day;
    m_Page = AuditPage{m_Options.m_Writer, 0, std::exchange(m_Dropped, 0), {}};
    m_Version = 0;
    Bytes = 0;
  }
  m_Pending = m_Page;
  while (!m_Buffer.empty() && Bytes < m_Options.m_MaxPageBytes &&
         auditDay(m_Buffer.front().m_When) == m_Day) {
    const std::size_t Size = sizeOf(m_Buffer.front());
    Bytes += Size;
    m_BufferBytes -= Size;
    m_Pending->m_Records.push_back(std::move(m_Buffer.front()));
    m_Buffer.pop_front();
  }
  m_Pending->m_Sequence = ++m_Sequence;
  return send();
}

std::vector<StoreAction> AuditTrail::send() {
  m_CallInFlight = true;
  const std::string Key = auditPageKey(m_Day, m_Options.m_Writer, m_PageNumber);
  if (m_MustRead)
    return {GetObject{++m_CallId, Key}};
  return {PutObject{++m_CallId, Key, m_Version, encodePage(*m_Pending)}};
}

void AuditTrail::onWritten(ObjectVersion Version) {
  m_Page = *std::exchange(m_Pending, std::nullopt);
  m_Version = Version;
  m_MustRead = false;
}

std::vector<StoreAction> AuditTrail::onPut(const PutCompleted &Event,
                                           MonotonicTime Now) {
  if (!m_CallInFlight || Event.m_Id != m_CallId)
    return {};
  m_CallInFlight = false;
  if (Event.m_Outcome == StoreOutcome::Applied) {
    onWritten(Event.m_Version);
    if (!m_Buffer.empty())
      m_NextAt = Now + m_Options.m_FlushDelay;
    return {};
  }
  // After a conflict or an unknown outcome the page tells whether the earlier
  // write was applied. Without it the same write is sent again: of two writes
  // with one expected version at most one can apply, and both have the same
  // content.
  m_MustRead = Event.m_Outcome != StoreOutcome::Unavailable;
  m_NextAt = Now + m_Options.m_RetryDelay;
  return m_MustRead ? send() : std::vector<StoreAction>();
}

std::vector<StoreAction> AuditTrail::onGet(const GetCompleted &Event,
                                           MonotonicTime Now) {
  if (!m_CallInFlight || Event.m_Id != m_CallId)
    return {};
  m_CallInFlight = false;
  m_NextAt = Now + m_Options.m_RetryDelay;
  const bool Answered = Event.m_Outcome == StoreOutcome::Applied ||
                        Event.m_Outcome == StoreOutcome::NotFound;
  if (!Answered)
    return {};
  m_MustRead = false;
  if (Event.m_Outcome == StoreOutcome::NotFound)
    return {};
  const absl::StatusOr<AuditPage> Page = decodePage(Event.m_Value);
  if (Page.ok() && Page->m_Sequence == m_Pending->m_Sequence)
    onWritten(Event.m_Version);
  return {};
}

} // namespace fulmarwinch
