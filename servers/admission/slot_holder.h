#ifndef FULMARWINCH_SERVERS_ADMISSION_SLOT_HOLDER_H
#define FULMARWINCH_SERVERS_ADMISSION_SLOT_HOLDER_H

#include "servers/admission/slot_messages.h"

#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace fulmarwinch {

/// The slots that this node holds on cold backend servers. Safe for use by
/// several threads; only requests to cold backend servers take the lock.
class SlotHolder {
public:
  /// \p Node is the node ID with its incarnation.
  explicit SlotHolder(std::string Node);

  /// Returns the next request for slots on \p Server. It must be sent at once,
  /// because the lifetime of the grant counts from \p Now.
  SlotRequest makeRequest(const std::string &Server, std::size_t Wanted,
                          MonotonicTime Now);

  /// Takes the shard holder's answer. Returns false if it is not used.
  bool onGrant(const SlotGrant &Grant, MonotonicTime Now);

  /// Takes a slot for one request. Returns false if none is usable.
  bool tryAcquire(const std::string &Server, MonotonicTime Now);
  /// A slot would be usable; for the choice of candidates.
  bool hasSlot(const std::string &Server, MonotonicTime Now) const;
  /// The request that took a slot ended.
  void release(const std::string &Server);

  /// A response or a view carried \p StartId. All slots for another start are
  /// dropped at once. Returns true if they were.
  bool onStartId(const std::string &Server, const std::string &StartId);
  /// A connection to \p Server broke, so it may have restarted: its slots are
  /// dropped and the failure is told to the shard holder.
  void onConnectionLost(const std::string &Server);
  /// A request failed on \p Server; the ramp is held.
  void onFailure(const std::string &Server);

  std::size_t inFlight(const std::string &Server) const;
  /// Requests are in flight, or the shard holder has not been told of a
  /// failure or of a lost connection.
  bool isActive(const std::string &Server) const;
  /// Request ID of the grant in use; 0 if none.
  std::uint64_t appliedRequest(const std::string &Server) const;

private:
  struct ServerState {
    std::string m_StartId;
    /// Start IDs that were replaced. A late response must not bring them back.
    std::deque<std::string> m_OldStartIds;
    std::size_t m_InFlight = 0;
    std::size_t m_Slots = 0;
    MonotonicTime m_Expiry{};
    std::uint64_t m_AppliedId = 0;
    std::uint64_t m_LastAnsweredId = 0;
    /// Answers to requests up to this one are not used.
    std::uint64_t m_VoidUpTo = 0;
    std::size_t m_Failures = 0;
    std::uint64_t m_LostConnections = 0;
    /// Requests under way, with the time before each was sent.
    std::map<std::uint64_t, MonotonicTime> m_SentAt;
  };

  void drop(ServerState &State) const;
  bool adoptStartId(ServerState &State, const std::string &StartId) const;

  std::string m_Node;
  mutable std::mutex m_Mutex;
  std::uint64_t m_LastRequestId = 0;
  std::map<std::string, ServerState> m_Servers;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_ADMISSION_SLOT_HOLDER_H
