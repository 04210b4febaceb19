#include "servers/retry/event_splitter.h"
#include "core/text.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

/// Characters that end a line, alone or as CR LF.
constexpr std::string_view LineEnds = "\r\n";

/// Returns the position after the line end at \p Position. A CR at the end of
/// \p Bytes counts as a whole line end.
std::size_t skipLineEnd(std::string_view Bytes, std::size_t Position) {
  const bool IsPair = Bytes.substr(Position, LineEnds.size()) == LineEnds;
  return Position + (IsPair ? LineEnds.size() : 1);
}

bool isLineEnd(std::string_view Bytes, std::size_t Position) {
  return Position < Bytes.size() &&
         LineEnds.find(Bytes[Position]) != std::string_view::npos;
}

std::optional<std::uint64_t> eventId(std::string_view Event) {
  while (!Event.empty()) {
    std::string_view Line = Event.substr(0, Event.find_first_of(LineEnds));
    Event.remove_prefix(std::min(Event.size(), Line.size() + 1));
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
/// Length of the longest end of an event, CR LF CR LF, without its last byte.
constexpr std::size_t MaxPartialEnd = 3;

/// Returns the size of the first complete event in \p Bytes, or 0 if there is
/// none. The first \p Searched bytes contain no end of an event. Blank lines
/// before an event belong to it.
std::size_t firstEventSize(std::string_view Bytes, std::size_t Searched) {
  const std::size_t Begin = Bytes.find_first_not_of(LineEnds);
  if (Begin == std::string_view::npos)
    return 0;
  for (std::size_t End =
           Bytes.find_first_of(LineEnds, std::max(Begin, Searched));
       End != std::string_view::npos;
       End = Bytes.find_first_of(LineEnds, End)) {
    End = skipLineEnd(Bytes, End);
    // An event that ends with CR is complete. If a LF follows later, it becomes
    // the beginning of the next event.
    if (isLineEnd(Bytes, End))
      return skipLineEnd(Bytes, End);
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

bool EventSplitter::isInsideEvent() const {
  if (m_HasFailed)
    return true;
  std::string_view Rest = m_IncompleteEvent;
  while (!Rest.empty()) {
    const std::size_t End = Rest.find_first_of(LineEnds);
    const bool IsComment = Rest.front() == ':';
    if (End == std::string_view::npos || (End > 0 && !IsComment))
      return true;
    Rest.remove_prefix(skipLineEnd(Rest, End));
  }
  return false;
}

EventSequenceFilter::Verdict
EventSequenceFilter::accept(const RawEvent &Event) {
  if (!Event.m_Id) {
    if (!m_ContinuesStream)
      return Verdict::Gap;
    m_CanResume = false;
    return deliver();
  }
  m_IsReplaying = m_LastId && *Event.m_Id < *m_LastId;
  if (m_LastId && *Event.m_Id <= *m_LastId) {
    m_ContinuesStream = true;
    return Verdict::Duplicate;
  }
  // IDs are consecutive within one attempt. The first event of a resumed
  // attempt has to follow the last event that was delivered.
  const bool IsNextId = m_LastId && *Event.m_Id == *m_LastId + 1;
  if (m_LastId && !IsNextId) {
    m_IsEventMissing = true;
    return Verdict::Gap;
  }
  m_ContinuesStream = true;
  m_LastId = Event.m_Id;
  return deliver();
}

EventSequenceFilter::Verdict EventSequenceFilter::deliver() {
  ++m_Delivered;
  m_IsEventMissing = false;
  return Verdict::Deliver;
}

void EventSequenceFilter::beginAttempt() {
  m_ContinuesStream = m_Delivered == 0;
  m_IsReplaying = false;
}

void EventSequenceFilter::endAttempt(bool IsInsideEvent) {
  m_IsEventMissing = m_IsEventMissing || (IsInsideEvent && !m_IsReplaying);
}

} // namespace fulmarwinch
