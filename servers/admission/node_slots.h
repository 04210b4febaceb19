#ifndef FULMARWINCH_SERVERS_ADMISSION_NODE_SLOTS_H
#define FULMARWINCH_SERVERS_ADMISSION_NODE_SLOTS_H

#include "servers/admission/slot_messages.h"

#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace fulmarwinch {

/// Slots of this node on cold backend servers. Safe for use by several threads;
/// only requests to cold backend servers take the lock.
class NodeSlots {
public:
  /// \p Node is the node ID with its incarnation.
  explicit NodeSlots(std::string Node);

  /// Returns the next request for slots on \p Server. It must be sent at once,
  /// because the lifetime of its grant starts at \p Now.
  SlotRequest makeRequest(const std::string &Server,
                          std::size_t DesiredInFlight, MonotonicTime Now);

  /// Applies a grant from the lease holder. Returns false if the grant is
  /// ignored: expired, unknown or for an earlier start of the backend server.
  bool onGrant(const SlotGrant &Grant, MonotonicTime Now);

  /// Acquires a slot for one request. Returns false if none is free.
  bool tryAcquire(const std::string &Server, MonotonicTime Now);
  /// Returns true if a slot is free, without acquiring it.
  bool hasSlot(const std::string &Server, MonotonicTime Now) const;
  /// Releases the slot of a request that has ended.
  void release(const std::string &Server);

  /// Must be called with the start ID in each response or view. A new start ID
  /// discards all slots for the earlier start; returns true in this case.
  bool onStartId(const std::string &Server, const std::string &StartId);
  /// Must be called when a connection to \p Server is lost. The backend server
  /// may have restarted, so its slots are discarded, and the next slot request
  /// reports the failure to the lease holder.
  void onConnectionLost(const std::string &Server);
  /// Must be called when a request failed on \p Server. The next slot request
  /// reports it, and the lease holder delays the next step of the ramp.
  void onFailure(const std::string &Server);

  std::size_t inFlight(const std::string &Server) const;
  /// Returns true if requests are in flight, or if a failure or a lost
  /// connection has not been reported to the lease holder.
  bool hasWorkToReport(const std::string &Server) const;
  /// Returns the request ID of the grant in use; 0 if there is none.
  std::uint64_t appliedRequestId(const std::string &Server) const;

private:
  struct ServerState {
    std::string m_StartId;
    /// Start IDs that were replaced; they are ignored in late responses.
    std::deque<std::string> m_OldStartIds;
    std::size_t m_InFlight = 0;
    std::size_t m_Slots = 0;
    MonotonicTime m_Expiry{};
    std::uint64_t m_AppliedRequestId = 0;
    std::uint64_t m_LastAnsweredId = 0;
    /// Answers to slot requests up to this request ID are ignored.
    std::uint64_t m_IgnoreAnswersUpTo = 0;
    std::size_t m_Failures = 0;
    std::uint64_t m_LostConnections = 0;
    /// Request IDs of unanswered slot requests, with the time before each was
    /// sent.
    std::map<std::uint64_t, MonotonicTime> m_PendingRequests;
  };

  void discardSlots(ServerState &State) const;
  /// Replaces the start ID. Returns false if \p StartId is an earlier one.
  bool adoptStartId(ServerState &State, const std::string &StartId) const;

  std::string m_Node;
  mutable std::mutex m_Mutex;
  std::uint64_t m_LastRequestId = 0;
  std::map<std::string, ServerState> m_Servers;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_ADMISSION_NODE_SLOTS_H
