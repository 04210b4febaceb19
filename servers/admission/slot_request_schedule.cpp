#include "servers/admission/slot_request_schedule.h"

#include <iterator>

namespace fulmarwinch {

namespace {

/// Tolerance for early timer calls. isDue() is called by a timer with the same
/// period; without the tolerance, a call that is slightly early would delay the
/// request by a whole period.
constexpr Duration TimerMargin = std::chrono::milliseconds(25);

} // namespace

bool SlotRequestSchedule::isDue(const std::string &Server, bool HasWork,
                                MonotonicTime Now) {
  const auto [Found, IsFirst] = m_LastRequests.try_emplace(Server);
  LastRequest &Last = Found->second;
  // The first work after an idle time must not wait for the next period.
  const bool WorkBegins = HasWork && !Last.m_HadWork;
  const Duration Period = WorkBegins ? MinInterval
                          : HasWork  ? BusyInterval - TimerMargin
                                     : IdleInterval - TimerMargin;
  if (!IsFirst && Now - Last.m_SentAt < Period)
    return false;
  Last = {Now, HasWork};
  return true;
}

void SlotRequestSchedule::removeBefore(MonotonicTime Before) {
  for (auto Entry = m_LastRequests.begin(); Entry != m_LastRequests.end();)
    Entry = Entry->second.m_SentAt < Before ? m_LastRequests.erase(Entry)
                                            : std::next(Entry);
}

} // namespace fulmarwinch
