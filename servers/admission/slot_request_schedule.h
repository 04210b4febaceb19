#ifndef FULMARWINCH_SERVERS_ADMISSION_SLOT_REQUEST_SCHEDULE_H
#define FULMARWINCH_SERVERS_ADMISSION_SLOT_REQUEST_SCHEDULE_H

#include "core/time.h"

#include <map>
#include <string>

namespace fulmarwinch {

/// Decides when a node requests slots on a cold backend server. A node without
/// work requests them less often than every 250 ms. Otherwise these messages
/// would use half of the byte budget of an idle node, and the slots granted to
/// it would not be available to nodes with work.
class SlotRequestSchedule {
public:
  /// Minimum time between two slot requests for one backend server. It bounds
  /// the messages of a node whose queue alternates between empty and not empty.
  static constexpr Duration MinInterval = std::chrono::milliseconds(50);
  /// Time between slot requests while there is work: a quarter of a slot's
  /// lifetime.
  static constexpr Duration BusyInterval = std::chrono::milliseconds(250);
  /// Time between slot requests while there is no work.
  static constexpr Duration IdleInterval = std::chrono::seconds(5);

  /// Returns true if the node must request slots on \p Server now, and records
  /// the request. \p HasWork means that requests are queued or in flight, or
  /// that the node has failures to report to the lease holder.
  bool isDue(const std::string &Server, bool HasWork, MonotonicTime Now);
  /// Deletes the state of backend servers without a slot request since
  /// \p Before.
  void removeBefore(MonotonicTime Before);

private:
  struct LastRequest {
    MonotonicTime m_SentAt{};
    bool m_HadWork = false;
  };
  std::map<std::string, LastRequest> m_LastRequests;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_ADMISSION_SLOT_REQUEST_SCHEDULE_H
