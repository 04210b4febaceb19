#ifndef FULMARWINCH_SERVERS_DISPATCH_SERVER_RATE_LIMITS_H
#define FULMARWINCH_SERVERS_DISPATCH_SERVER_RATE_LIMITS_H

#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarwinch {

/// What the process of a backend server last said of its rate limit, in the
/// form that nodes exchange. The time is given as an age, because the clocks of
/// different nodes are not comparable.
struct RateLimitStatement {
  std::int64_t m_StartedAtMs = 0;
  /// Requests per second from all nodes together; nothing if the server no
  /// longer names a limit.
  std::optional<double> m_RequestsPerSecond;
  Duration m_Age{0};
};

/// Statements by server ID.
using RateLimitStatements = std::map<std::string, RateLimitStatement>;

/// Parses a rate limit in requests per second. Returns nothing if \p Value is
/// no number or is negative. A very large limit is reduced to one that is never
/// reached.
std::optional<double> parseRateLimit(std::string_view Value);

/// Shares the rate limits that backend servers name among the nodes. Only a few
/// nodes send to a limited server, and each sends an equal part of the limit.
/// Their number is chosen so that the limit also holds while the nodes see
/// different sets of live nodes, so no message is needed before a request.
class ServerRateLimits {
public:
  /// Sets the name of this node, the number of all nodes, and the nodes that
  /// are alive as far as this node knows, including itself.
  void setNodes(std::string OwnName, std::size_t NodeCount,
                std::vector<std::string> LiveNodes);

  /// Must be called when the process of \p Server that started at \p
  /// StartedAtMs has named the limit \p RequestsPerSecond. Returns true if it
  /// named none before.
  bool onLimitNamed(const std::string &Server, std::int64_t StartedAtMs,
                    double RequestsPerSecond, MonotonicTime Now);
  /// Must be called when a sound response of the process names no limit. \p
  /// RequestSentAt is the time at which its request was sent: responses on
  /// different connections overtake each other, so a response to an earlier
  /// request does not end the limit. Returns true if the response ended it.
  bool onNoLimitNamed(const std::string &Server, std::int64_t StartedAtMs,
                      MonotonicTime RequestSentAt);
  /// Adds what a peer heard from the servers themselves.
  void mergePeerStatements(const RateLimitStatements &Statements,
                           MonotonicTime Now);
  /// Returns what this node heard from the servers themselves, the latest
  /// statements first if there are too many for one message.
  RateLimitStatements ownStatements(MonotonicTime Now) const;

  /// True if the process names a limit.
  bool isLimited(const std::string &Server, std::int64_t StartedAtMs,
                 MonotonicTime Now) const {
    return find(Server, StartedAtMs, Now) != nullptr;
  }
  /// Time from which this node may send a request to the process; the epoch of
  /// the clock if it names no limit, and the maximum if this node has no share
  /// of the limit.
  MonotonicTime nextRequestAt(const std::string &Server,
                              std::int64_t StartedAtMs,
                              MonotonicTime Now) const;
  /// Must be called before the first byte of each request to the process.
  /// Returns false if the request must not be sent now.
  bool tryAcquire(const std::string &Server, std::int64_t StartedAtMs,
                  MonotonicTime Now);
  /// Must be called when a call is sent to the process that the limit does not
  /// hold back, such as a probe.
  void onUnlimitedCall(const std::string &Server, std::int64_t StartedAtMs,
                       MonotonicTime Now);

private:
  struct Limit {
    std::int64_t m_StartedAtMs = 0;
    std::optional<double> m_RequestsPerSecond;
    /// Time to which the statement applies.
    MonotonicTime m_StatedAt{};
    /// This node heard the statement from the server itself.
    bool m_IsOwn = false;
    MonotonicTime m_NextRequestAt{};
    /// Rank of this node among the live nodes, for this server.
    std::size_t m_Rank = 0;
  };

  /// The limit of the process, or null if it names none.
  const Limit *find(const std::string &Server, std::int64_t StartedAtMs,
                    MonotonicTime Now) const;
  /// Number of nodes that may send to the server.
  std::size_t senderCount(const Limit &Active) const;
  /// Time between two requests of this node.
  Duration interval(const Limit &Active) const;
  void setStatement(const std::string &Server, const Limit &Stated,
                    MonotonicTime Now);
  void removeForgotten(MonotonicTime Now);

  std::string m_OwnName;
  std::size_t m_NodeCount = 0;
  std::vector<std::string> m_LiveNodes;
  std::map<std::string, Limit> m_Limits;
  std::minstd_rand m_Random{std::random_device()()};
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_DISPATCH_SERVER_RATE_LIMITS_H
