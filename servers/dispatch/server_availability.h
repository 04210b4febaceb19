#ifndef FULMARWINCH_SERVERS_DISPATCH_SERVER_AVAILABILITY_H
#define FULMARWINCH_SERVERS_DISPATCH_SERVER_AVAILABILITY_H

#include "core/enum_names.h"
#include "core/time.h"
#include "servers/dispatch/server_rate_limits.h"
#include "servers/fleet/fleet_view.h"

#include <array>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace fulmarwinch {

/// Backend server chosen for a request, with the data of its store entry at the
/// time of the choice.
struct ChosenServer {
  std::string m_Id;
  std::int64_t m_StartedAtMs = 0;
  Endpoint m_Endpoint;
  std::string m_Zone;
  std::optional<GroupKey> m_Group;
};

/// Reason why the process of a backend server is sent no request.
enum class Unavailability {
  None,
  /// Its store entry or one of its responses says that it leaves.
  Draining,
  /// Its zone is evacuated.
  Evacuated,
  /// It failed or stalled.
  Suspected,
  /// It asked for a pause.
  PauseRequested,
  /// Its pause has ended, and it has not answered the last request since then.
  Resuming,
  /// This node has used its share of the rate limit that the server names.
  RateLimited,
  /// It had no free slot, or no connection to it could be established.
  BackedOff,
};

inline constexpr std::array<EnumName<Unavailability>, 8> UnavailabilityNames{{
    {Unavailability::None, "none"},
    {Unavailability::Draining, "draining"},
    {Unavailability::Evacuated, "evacuated"},
    {Unavailability::Suspected, "suspected"},
    {Unavailability::PauseRequested, "pause_requested"},
    {Unavailability::Resuming, "resuming"},
    {Unavailability::RateLimited, "rate_limited"},
    {Unavailability::BackedOff, "backed_off"},
}};

struct AvailabilitySettings {
  /// Time for which a server that refused a request because no slot was free is
  /// avoided; about the delay of the load reports.
  Duration m_NoFreeSlotPause = std::chrono::milliseconds(150);
  /// Time for which a server that failed or stalled is avoided, unless its
  /// entry shows that it is in a new group.
  Duration m_SuspicionTime = std::chrono::milliseconds(6500);
  /// Initial backoff after a failed connection attempt; doubled for each
  /// further failure.
  Duration m_ConnectFailureBackoff = std::chrono::milliseconds(300);
  /// Minimum time between two requests to a server whose pause has ended, until
  /// it answers one of them.
  Duration m_ResumingInterval = std::chrono::milliseconds(200);
  /// Seed of the random ends of pauses; a random one if unset.
  std::optional<std::uint64_t> m_RandomSeed;
};

/// Parses the value of a Retry-After field in seconds, which may have a
/// fraction. Returns nothing if it is malformed, a date or not positive; a
/// longer pause than two minutes is shortened to that.
std::optional<Duration> parseRequestedPause(std::string_view Value);

/// Decides whether the process of a backend server may be sent requests now.
/// What the operator and the servers have stored is read from the fleet view;
/// what this node has seen of a server is reported to this class.
///
/// The quarantine of group members is not part of it: it forbids joins, which
/// only the lease holder orders, and no requests.
class ServerAvailability {
public:
  explicit ServerAvailability(const AvailabilitySettings &Settings = {});

  /// Returns why \p Server is sent no request; None if it may receive one.
  Unavailability check(const FleetView &Fleet, const BackendServer &Server,
                       MonotonicTime Now) const;

  /// Must be called before the first byte of a request to \p Server is sent,
  /// since what allowed its choice may have changed meanwhile. Returns false if
  /// the process must not receive the request. Otherwise the request counts for
  /// its rate limit.
  bool tryAcquire(const FleetView &Fleet, const ChosenServer &Server,
                  MonotonicTime Now);

  /// Time from which neither a pause that \p Server asked for nor its rate
  /// limit holds requests back; the epoch of the clock if there is neither, and
  /// the maximum if this node has no share of the limit.
  MonotonicTime nextRequestAt(const BackendServer &Server,
                              MonotonicTime Now) const;
  /// Rate limits that the servers name.
  ServerRateLimits &rateLimits() { return m_RateLimits; }
  const ServerRateLimits &rateLimits() const { return m_RateLimits; }

  /// Must be called when this node has sent a request to \p Server.
  void onDispatched(const std::string &Server, MonotonicTime Now);
  /// Must be called when \p Server has answered a request, or has sent the
  /// first part of the answer. If its pause has ended, it gets its whole share
  /// of requests from then on.
  void onOutput(const std::string &Server, MonotonicTime Now);
  /// Must be called when \p Server refused a request because no slot was free.
  void onNoFreeSlot(const std::string &Server, MonotonicTime Now);
  /// Must be called when \p Server asked for no more requests for \p Pause. The
  /// pause ends later by a random time, so that the nodes do not all return at
  /// once, and with the process. Returns true if \p Server was not pausing.
  bool onPauseRequested(const ChosenServer &Server, Duration Pause,
                        MonotonicTime Now);
  /// Must be called when a connection to \p Server could not be established.
  void onConnectFailed(const std::string &Server, MonotonicTime Now);
  /// Must be called when the server failed or stalled. \p Group is the group
  /// whose head it was, if any.
  void onSuspected(const std::string &Server,
                   const std::optional<GroupKey> &Group, MonotonicTime Now);
  /// Must be called when \p Server responded. It is then no longer suspected,
  /// and its count of failed connection attempts is reset.
  void onResponseReceived(const std::string &Server);

  /// True if \p Server recently failed or stalled in the group whose head it
  /// was when it was chosen.
  bool isSuspected(const ChosenServer &Server, MonotonicTime Now) const;

private:
  struct Suspicion {
    std::optional<GroupKey> m_Group;
    MonotonicTime m_Until{};
  };
  struct RequestedPause {
    std::int64_t m_StartedAtMs = 0;
    MonotonicTime m_Until{};
    /// Time of the last request since the pause has ended.
    MonotonicTime m_LastDispatchAt{};
  };

  bool isSuspected(const std::string &Server, const GroupKey *Group,
                   MonotonicTime Now) const;
  /// The active or ended pause of the process of \p Server, or null.
  const RequestedPause *findPause(const BackendServer &Server) const;
  void removeEndedPauses(MonotonicTime Now);
  bool isBackedOff(const std::string &Server, MonotonicTime Now) const;

  AvailabilitySettings m_Settings;
  std::map<std::string, Suspicion> m_Suspicions;
  std::map<std::string, MonotonicTime> m_BackedOffUntil;
  std::map<std::string, RequestedPause> m_RequestedPauses;
  std::map<std::string, unsigned> m_ConnectFailures;
  ServerRateLimits m_RateLimits;
  std::minstd_rand m_Random;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_DISPATCH_SERVER_AVAILABILITY_H
