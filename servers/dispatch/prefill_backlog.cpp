#include "servers/dispatch/prefill_backlog.h"

#include <algorithm>

namespace fulmarwinch {

void PrefillBacklog::addPrompt(const std::string &Server, Duration PrefillTime,
                               MonotonicTime Now) {
  absl::erase_if(m_BacklogEnd,
                 [&](const auto &Entry) { return Entry.second <= Now; });
  MonotonicTime &BacklogEnd =
      m_BacklogEnd.try_emplace(Server, Now).first->second;
  BacklogEnd += PrefillTime;
}

Duration PrefillBacklog::remainingPrefillTime(const std::string &Server,
                                              MonotonicTime Now) const {
  const auto Entry = m_BacklogEnd.find(Server);
  return Entry == m_BacklogEnd.end()
             ? Duration::zero()
             : std::max(Duration::zero(), Entry->second - Now);
}

} // namespace fulmarwinch
