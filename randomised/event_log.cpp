#include "randomised/event_log.h"

#include "fmt/format.h"
#include "xxhash.h"

namespace fulmarwinch {

void EventLog::add(const std::string &Kind, const std::string &Text) {
  const std::string Line = fmt::format("step {} {}: {}", m_Step, Kind, Text);
  m_Hash = XXH3_64bits_withSeed(Line.data(), Line.size(), m_Hash);
  ++m_Counts[Kind];
  m_LastEvents.push_back(Line);
  if (m_LastEvents.size() > KeptEvents)
    m_LastEvents.pop_front();
}

void EventLog::recordViolation(const std::string &Invariant,
                               const std::string &Text) {
  if (isViolated())
    return;
  m_Invariant = Invariant;
  m_Violation = Text;
  add("violation", Invariant + ": " + Text);
}

} // namespace fulmarwinch
