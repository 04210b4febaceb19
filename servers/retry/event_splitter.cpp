#include "servers/retry/event_splitter.h"
#include "core/text.h"

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

/// Returns the size of the first complete event in \p Bytes, or 0 if there is
/// none.
std::size_t firstEventSize(std::string_view Bytes) {
  for (std::size_t LineEnd = Bytes.find('\n');
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
  m_IncompleteEvent.append(Bytes);
  std::vector<RawEvent> Events;
  std::size_t Begin = 0;
  while (const std::size_t Size = firstEventSize(
             std::string_view(m_IncompleteEvent).substr(Begin))) {
    RawEvent Event;
    Event.m_Bytes = m_IncompleteEvent.substr(Begin, Size);
    Event.m_Id = eventId(Event.m_Bytes);
    Events.push_back(std::move(Event));
    Begin += Size;
  }
  m_IncompleteEvent.erase(0, Begin);
  return Events;
}

EventSequenceFilter::Verdict
EventSequenceFilter::accept(const RawEvent &Event) {
  if (!Event.m_Id) {
    m_CanResume = false;
    ++m_Delivered;
    return Verdict::Deliver;
  }
  if (m_LastId && *Event.m_Id <= *m_LastId)
    return Verdict::Duplicate;
  // IDs are consecutive within one attempt. The first event of a resumed
  // attempt has to follow the last event that was delivered.
  const bool IsNextId = m_LastId && *Event.m_Id == *m_LastId + 1;
  if (m_LastId && !IsNextId)
    return Verdict::Gap;
  m_LastId = Event.m_Id;
  ++m_Delivered;
  return Verdict::Deliver;
}

} // namespace fulmarwinch
