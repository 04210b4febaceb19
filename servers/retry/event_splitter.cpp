#include "servers/retry/event_splitter.h"
#include "core/text.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

std::optional<std::uint64_t> eventId(std::string_view Event) {
  for (std::string_view Line : split(Event, '\n')) {
    removeSuffix(Line, "\r");
    if (!removePrefix(Line, "id:"))
      continue;
    removePrefix(Line, " ");
    std::uint64_t Id = 0;
    if (parseNumber(Line, Id))
      return Id;
  }
  return std::nullopt;
}

/// Maximum size of one event. The events of model engines have some hundred
/// bytes.
constexpr std::size_t MaxEventBytes = std::size_t{256} * 1024;
/// Length of the longest end of an event, LF CR LF, without its last byte.
constexpr std::size_t MaxPartialEnd = 2;

/// Returns the size of the first complete event in \p Bytes, or 0 if there is
/// none. The first \p Searched bytes contain no end of an event.
std::size_t firstEventSize(std::string_view Bytes, std::size_t Searched) {
  for (std::size_t LineEnd = Bytes.find('\n', Searched);
       LineEnd != std::string_view::npos;
       LineEnd = Bytes.find('\n', LineEnd + 1)) {
    std::size_t Next = LineEnd + 1;
    if (Next < Bytes.size() && Bytes[Next] == '\r')
      ++Next;
    if (Next < Bytes.size() && Bytes[Next] == '\n')
      return Next + 1;
  }
  return 0;
}

} // namespace

std::vector<RawEvent> EventSplitter::accept(std::string_view Bytes) {
  std::vector<RawEvent> Events;
  if (m_HasFailed)
    return Events;
  m_IncompleteEvent.append(Bytes);
  std::size_t Begin = 0;
  while (const std::size_t Size =
             firstEventSize(std::string_view(m_IncompleteEvent).substr(Begin),
                            m_SearchedBytes)) {
    RawEvent Event;
    Event.m_Bytes = m_IncompleteEvent.substr(Begin, Size);
    Event.m_Id = eventId(Event.m_Bytes);
    Events.push_back(std::move(Event));
    Begin += Size;
    m_SearchedBytes = 0;
  }
  m_IncompleteEvent.erase(0, Begin);
  m_SearchedBytes = m_IncompleteEvent.size() -
                    std::min(m_IncompleteEvent.size(), MaxPartialEnd);
  if (m_IncompleteEvent.size() > MaxEventBytes) {
    m_HasFailed = true;
    m_IncompleteEvent = std::string();
  }
  return Events;
}

EventSequenceFilter::Verdict
EventSequenceFilter::accept(const RawEvent &Event) {
  if (!Event.m_Id) {
    if (!m_ContinuesStream)
      return Verdict::Gap;
    m_CanResume = false;
    ++m_Delivered;
    return Verdict::Deliver;
  }
  if (m_LastId && *Event.m_Id <= *m_LastId) {
    m_ContinuesStream = true;
    return Verdict::Duplicate;
  }
  // IDs are consecutive within one attempt. The first event of a resumed
  // attempt has to follow the last event that was delivered.
  const bool IsNextId = m_LastId && *Event.m_Id == *m_LastId + 1;
  if (m_LastId && !IsNextId)
    return Verdict::Gap;
  m_ContinuesStream = true;
  m_LastId = Event.m_Id;
  ++m_Delivered;
  return Verdict::Deliver;
}

} // namespace fulmarwinch
