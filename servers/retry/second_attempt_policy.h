#ifndef FULMARWINCH_SERVERS_RETRY_SECOND_ATTEMPT_POLICY_H
#define FULMARWINCH_SERVERS_RETRY_SECOND_ATTEMPT_POLICY_H

#include "core/enum_names.h"
#include "core/time.h"
#include "servers/retry/windowed_retry_budget.h"

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <utility>

namespace fulmarwinch {

/// Limits of second attempts (hedged requests).
struct SecondAttemptSettings {
  /// Maximum number of second attempts per request, from 0 (none are sent) to
  /// MaxSecondAttemptShare.
  double m_MaxShare = 0.0;
  /// Shortest delay of a second attempt, as a share of the latency objective.
  double m_MinDelayShare = 0.5;
  /// Lower bound of the quantile of the recent latencies after which a second
  /// attempt is sent. With a share of less than 0.1 the quantile is higher, so
  /// that no more attempts become due than the share allows.
  double m_MinQuantile = 0.9;
  /// Number of recent latencies below which the quantile is not used; the delay
  /// is then the latency objective.
  double m_MinLatencies = 20.0;
  /// Share of late attempts among the recent ones above which the whole fleet
  /// counts as slow: another server would then be as slow. One slow server of
  /// two stays below it.
  double m_MaxLateShare = 0.6;
  /// Number of recent late attempts below which m_MaxLateShare is not used.
  double m_MinLateAttempts = 3.0;
  /// Retries that a second attempt leaves in the retry budget. A server that
  /// fails breaks several streams of a node, which can only move with retries.
  double m_MinRetriesLeft = 2.0;
  /// Estimated requests per slot from which a server receives no second
  /// attempt, and mean of the groups of a model from which none is sent. Load
  /// reports of peers are up to 100 ms old, in which a fuller server may become
  /// full.
  double m_MaxSlotUsage = 0.7;
  double m_MaxMeanSlotUsage = 0.8;
};

/// Upper limit of SecondAttemptSettings::m_MaxShare: the platform allows no
/// more additional arrivals than this share of the requests.
inline constexpr double MaxSecondAttemptShare = 0.2;

/// Whether a second attempt is sent, or the reason why not.
enum class SecondAttemptVerdict {
  Send,
  /// Second attempts are turned off.
  Off,
  /// The request must not run more than once.
  NotRepeatable,
  /// The first server has begun to respond.
  Answered,
  /// The first server is not late yet.
  NotDue,
  /// A planned stop of this node has begun.
  Stopping,
  /// The content, or a part of it, may have crashed servers.
  SuspectedContent,
  /// The request would reach more servers than its route allows.
  MaxAttempts,
  Overloaded,
  /// Most recent attempts are late, so that no server would be faster.
  SlowFleet,
  /// The usual latency exceeds the time that is left.
  TooLittleTime,
  /// The share that the operator allows is used up.
  ShareUsed,
  NoRetryBudget,
  /// No other server is estimated to have free slots.
  NoFreeServer,
  /// The node has no memory or descriptor to spare.
  NoResources,
};

inline constexpr std::array<EnumName<SecondAttemptVerdict>, 15>
    SecondAttemptVerdictNames{{
        {SecondAttemptVerdict::Send, "send"},
        {SecondAttemptVerdict::Off, "off"},
        {SecondAttemptVerdict::NotRepeatable, "not_repeatable"},
        {SecondAttemptVerdict::Answered, "answered"},
        {SecondAttemptVerdict::NotDue, "not_due"},
        {SecondAttemptVerdict::Stopping, "stopping"},
        {SecondAttemptVerdict::SuspectedContent, "suspected_content"},
        {SecondAttemptVerdict::MaxAttempts, "max_attempts"},
        {SecondAttemptVerdict::Overloaded, "overloaded"},
        {SecondAttemptVerdict::SlowFleet, "slow_fleet"},
        {SecondAttemptVerdict::TooLittleTime, "too_little_time"},
        {SecondAttemptVerdict::ShareUsed, "share_used"},
        {SecondAttemptVerdict::NoRetryBudget, "no_retry_budget"},
        {SecondAttemptVerdict::NoFreeServer, "no_free_server"},
        {SecondAttemptVerdict::NoResources, "no_resources"},
    }};

/// Service and model whose servers take each other's requests; the model is
/// empty for services without replica groups.
using LatencyKey = std::pair<std::string, std::string>;

/// An attempt that waits for its server, as the relay sees it.
struct WaitingAttempt {
  LatencyKey m_Key;
  Duration m_LatencyObjective{0};
  /// Time since the attempt was sent.
  Duration m_Waited{0};
  /// Time until the client must have its response.
  Duration m_TimeLeft{0};
  bool m_MayRunMoreThanOnce = false;
  /// The server has returned an event of a stream, or the head of a response
  /// that is no stream.
  bool m_HasAnswer = false;
  bool m_IsStopping = false;
  bool m_IsContentSuspected = false;
  bool m_IsOverloaded = false;
  /// The node has no memory or descriptor for a further call.
  bool m_LacksResources = false;
  /// Servers that the request has reached, including the one that it waits for.
  unsigned m_ReachedServers = 1;
  unsigned m_MaxAttempts = 1;
  /// Retries that the retry budget of the service has left.
  double m_RetriesLeft = 0.0;
};

/// What the policy knows about the latencies of one service and model.
struct LatencyKnowledge {
  /// Time after which a second attempt is due.
  Duration m_Delay{0};
  /// Number of recent latencies, where earlier ones weigh less.
  double m_Latencies = 0.0;
  /// Time since the last of them; the maximum if there is none.
  Duration m_Age = Duration::max();
};

/// Decides when a request that waits for a slow server is sent to a second one
/// as well. It uses what this node has seen itself: the latencies of its own
/// attempts, and its own requests and second attempts.
class SecondAttemptPolicy {
public:
  explicit SecondAttemptPolicy(const SecondAttemptSettings &Settings = {})
      : m_Settings(Settings) {}

  const SecondAttemptSettings &settings() const { return m_Settings; }
  bool isEnabled() const { return m_Settings.m_MaxShare > 0.0; }

  /// Counts a client request, which adds to the allowed second attempts.
  void onRequest(const std::string &Service, MonotonicTime Now);
  /// Records that an attempt got its first event, or its whole response if that
  /// is no stream, \p Latency after it was sent.
  void onAnswer(const LatencyKey &Key, Duration Latency, MonotonicTime Now);
  /// Records that an attempt was cancelled after \p Waited without an answer.
  /// Its latency would have been longer; it counts if it was late by then.
  void onNoAnswer(const LatencyKey &Key, Duration LatencyObjective,
                  Duration Waited, MonotonicTime Now);
  /// Must be called once for each attempt for which isLate() becomes true.
  void onLate(const LatencyKey &Key, MonotonicTime Now);

  /// True if an attempt that has waited for \p Waited is slower than almost all
  /// recent ones.
  bool isLate(const LatencyKey &Key, Duration LatencyObjective, Duration Waited,
              MonotonicTime Now) const;
  /// Decides whether \p Attempt gets a second attempt. The caller must still
  /// find a server and take the retry from the retry budget.
  SecondAttemptVerdict decide(const WaitingAttempt &Attempt, MonotonicTime Now);
  /// Counts a second attempt that is being sent.
  void onSecondAttempt(const std::string &Service, MonotonicTime Now);

  LatencyKnowledge knowledge(const LatencyKey &Key, Duration LatencyObjective,
                             MonotonicTime Now) const;

private:
  /// Bucket I counts the latencies up to ShortestLatency * BucketGrowth^I.
  static constexpr std::size_t BucketCount = 56;

  struct Latencies {
    std::array<double, BucketCount> m_Buckets{};
    double m_Total = 0.0;
    /// Time for which the counts are valid.
    MonotonicTime m_DecayedAt{};
    MonotonicTime m_LastRecordAt{};
    /// Attempts of the last seconds that became late, and that were answered.
    double m_RecentLate = 0.0;
    double m_RecentAnswers = 0.0;
    MonotonicTime m_RecentDecayedAt{};
  };

  static Duration upperBound(std::size_t Bucket);
  static Duration quantile(const Latencies &Known, double Share);
  static void addLatency(Latencies &Known, Duration Latency, MonotonicTime Now);
  static void decayRecent(Latencies &Known, MonotonicTime Now);
  Duration delay(const Latencies *Known, Duration LatencyObjective,
                 MonotonicTime Now) const;
  const Latencies *find(const LatencyKey &Key) const;
  bool isFleetSlow(const LatencyKey &Key, MonotonicTime Now);
  WindowedRetryBudget &share(const std::string &Service);

  SecondAttemptSettings m_Settings;
  std::map<LatencyKey, Latencies> m_Latencies;
  /// Second attempts that the operator's share allows, by service.
  std::map<std::string, WindowedRetryBudget> m_Shares;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_RETRY_SECOND_ATTEMPT_POLICY_H
