#include "servers/admission/slot_ask_schedule.h"

#include <iterator>

namespace fulmarwinch {

namespace {

/// Calls come from a timer of the same period; without this margin a call that
/// comes slightly early would skip a whole period.
constexpr Duration TimerMargin = std::chrono::milliseconds(25);

} // namespace

bool SlotAskSchedule::isDue(const std::string &Server, bool HasWork,
                            MonotonicTime Now) {
  const auto [Found, IsFirst] = m_Asked.try_emplace(Server);
  Asked &Last = Found->second;
  // Work that begins after an idle time must not wait for the next period.
  const bool Begins = HasWork && !Last.m_HadWork;
  const Duration Period = Begins    ? Shortest
                          : HasWork ? Busy - TimerMargin
                                    : Idle - TimerMargin;
  if (!IsFirst && Now - Last.m_At < Period)
    return false;
  Last = {Now, HasWork};
  return true;
}

void SlotAskSchedule::forget(MonotonicTime Before) {
  for (auto Entry = m_Asked.begin(); Entry != m_Asked.end();)
    Entry =
        Entry->second.m_At < Before ? m_Asked.erase(Entry) : std::next(Entry);
}

} // namespace fulmarwinch
