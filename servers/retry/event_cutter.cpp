#include "servers/retry/event_cutter.h"
#include "core/text.h"

namespace fulmarwinch {

namespace {

std::optional<std::uint64_t> idOf(std::string_view Event) {
  for (std::string_view Line : split(Event, '\n')) {
    dropSuffix(Line, "\r");
    if (!dropPrefix(Line, "id:"))
      continue;
    dropPrefix(Line, " ");
    std::uint64_t Id = 0;
    if (parseNumber(Line, Id))
      return Id;
  }
  return std::nullopt;
}

/// Returns the size of the first whole event in \p Bytes, or 0.
std::size_t eventSize(std::string_view Bytes) {
  for (std::size_t Break = Bytes.find('\n'); Break != std::string_view::npos;
       Break = Bytes.find('\n', Break + 1)) {
    std::size_t Next = Break + 1;
    if (Next < Bytes.size() && Bytes[Next] == '\r')
      ++Next;
    if (Next < Bytes.size() && Bytes[Next] == '\n')
      return Next + 1;
  }
  return 0;
}

} // namespace

std::vector<RawEvent> EventCutter::accept(std::string_view Bytes) {
  m_Rest.append(Bytes);
  std::vector<RawEvent> Events;
  std::size_t Begin = 0;
  while (const std::size_t Size =
             eventSize(std::string_view(m_Rest).substr(Begin))) {
    RawEvent Event;
    Event.m_Bytes = m_Rest.substr(Begin, Size);
    Event.m_Id = idOf(Event.m_Bytes);
    Events.push_back(std::move(Event));
    Begin += Size;
  }
  m_Rest.erase(0, Begin);
  return Events;
}

EventSequence::Verdict EventSequence::accept(const RawEvent &Event) {
  if (!Event.m_Id) {
    m_CanResume = false;
    ++m_Delivered;
    return Verdict::Deliver;
  }
  if (m_LastId && *Event.m_Id <= *m_LastId)
    return Verdict::Duplicate;
  // The numbering is dense within a run; where a run goes on, its first event
  // has to follow the last one that was delivered.
  const bool Follows = m_LastId && *Event.m_Id == *m_LastId + 1;
  if (m_LastId && !Follows)
    return Verdict::Gap;
  m_LastId = Event.m_Id;
  ++m_Delivered;
  return Verdict::Deliver;
}

} // namespace fulmarwinch
