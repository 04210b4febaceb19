#include "servers/dispatch/reading_backlog.h"

#include <algorithm>

namespace fulmarwinch {

void ReadingBacklog::add(const std::string &Server, Duration Work,
                         MonotonicTime Now) {
  for (auto Entry = m_ReadAt.begin(); Entry != m_ReadAt.end();)
    Entry = Entry->second <= Now ? m_ReadAt.erase(Entry) : std::next(Entry);
  MonotonicTime &ReadAt = m_ReadAt.try_emplace(Server, Now).first->second;
  ReadAt += Work;
}

Duration ReadingBacklog::left(const std::string &Server,
                              MonotonicTime Now) const {
  const auto Entry = m_ReadAt.find(Server);
  return Entry == m_ReadAt.end()
             ? Duration::zero()
             : std::max(Duration::zero(), Entry->second - Now);
}

} // namespace fulmarwinch
