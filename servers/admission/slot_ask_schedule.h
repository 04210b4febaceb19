#ifndef FULMARWINCH_SERVERS_ADMISSION_SLOT_ASK_SCHEDULE_H
#define FULMARWINCH_SERVERS_ADMISSION_SLOT_ASK_SCHEDULE_H

#include "core/time.h"

#include <map>
#include <string>

namespace fulmarwinch {

/// Decides when a node asks for slots on a cold backend server. A node without
/// work does not ask every 250 ms, because these messages were half of the
/// byte budget of an idle node and the slots were taken from nodes with work.
class SlotAskSchedule {
public:
  /// Shortest time between two requests for one backend server, so that a
  /// queue that alternates between empty and not empty stays within budget.
  static constexpr Duration Shortest = std::chrono::milliseconds(50);
  /// Time between requests while there is work, a quarter of a slot's
  /// lifetime.
  static constexpr Duration Busy = std::chrono::milliseconds(250);
  /// Time between requests without work.
  static constexpr Duration Idle = std::chrono::seconds(5);

  /// Returns true if the node has to ask for \p Server now. \p HasWork means
  /// that requests wait or that the backend server has requests in flight or
  /// failures that the holder has not been told.
  bool isDue(const std::string &Server, bool HasWork, MonotonicTime Now);
  /// Forgets backend servers that were not asked for since \p Before.
  void forget(MonotonicTime Before);

private:
  struct Asked {
    MonotonicTime m_At{};
    bool m_HadWork = false;
  };
  std::map<std::string, Asked> m_Asked;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_ADMISSION_SLOT_ASK_SCHEDULE_H
