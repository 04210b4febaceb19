#ifndef FULMARWINCH_SERVERS_DISPATCH_CONNECTION_SHEDDING_H
#define FULMARWINCH_SERVERS_DISPATCH_CONNECTION_SHEDDING_H

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace fulmarwinch {

/// Tells from the number of bytes that a client has taken whether the client
/// reads. Load condition: clients that keep answers waiting, among them some
/// that read single bytes.
class ReadProgress {
public:
  /// Begins anew at \p Taken, since output has begun to wait.
  void restart(std::uint64_t Taken, MonotonicTime Now);
  /// \p Taken is the number of bytes that the client has taken so far.
  void update(std::uint64_t Taken, MonotonicTime Now);
  /// Time since which the client has taken almost nothing.
  MonotonicTime stalledSince() const { return m_StalledSince; }
  /// Time that the client needs for \p Waiting bytes as fast as it has read so
  /// far; 0 until it has been seen for a few seconds.
  Duration timeToRead(std::size_t Waiting, MonotonicTime Now) const;

private:
  std::uint64_t m_FirstTaken = 0;
  std::uint64_t m_LastTaken = 0;
  MonotonicTime m_FirstSeenAt{};
  std::uint64_t m_CountedBytes = 0;
  MonotonicTime m_StalledSince{};
};

/// State of one client connection for the choice of those to close.
struct ConnectionState {
  enum class Activity {
    /// No request is in progress, and nothing waits to be sent.
    Idle,
    /// A request has begun to arrive and is not complete.
    Receiving,
    /// Output waits for the client to read it.
    Sending,
    /// A request is in progress whose client reads what there is.
    Waiting,
  };

  Activity m_Activity = Activity::Waiting;
  /// Memory that closing the connection releases.
  std::size_t m_HeldBytes = 0;
  /// Time at which the connection became idle, the request began to arrive or
  /// the client stopped reading.
  MonotonicTime m_Since{};
  /// Time that the client will need to read what waits; 0 if not known.
  Duration m_TimeToRead{0};
};

/// Returns the indices of the connections to close so that at least \p Excess
/// bytes are released, if the clients that do not read hold as many. Load
/// condition: clients that do not read hold more memory than the node has.
/// Those with the largest product of held bytes and time without reading come
/// first. Then follow clients that read, but would hold what waits for minutes,
/// the slowest first. A client that reads faster is never chosen.
std::vector<std::size_t>
chooseByMemory(const std::vector<ConnectionState> &Connections,
               std::size_t Excess, MonotonicTime Now);

/// Returns the indices of at most \p Count connections to close. Load
/// condition: the node has no descriptor left for a further connection. Idle
/// connections come first, then clients that send a request slowly, then those
/// that do not read; within each kind, those of the longest time. Other
/// connections are never chosen.
std::vector<std::size_t>
chooseByIdleness(const std::vector<ConnectionState> &Connections,
                 std::size_t Count, MonotonicTime Now);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_DISPATCH_CONNECTION_SHEDDING_H
