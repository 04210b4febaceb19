#ifndef FULMARWINCH_SERVERS_DISPATCH_SERVER_SPEED_H
#define FULMARWINCH_SERVERS_DISPATCH_SERVER_SPEED_H

#include "core/time.h"
#include "servers/dispatch/server_availability.h"

#include "absl/container/flat_hash_map.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace fulmarwinch {

struct SpeedSettings {
  /// Slowness from which a server counts as slow and is reported to the peers.
  double m_SlowFrom = 2.0;
  /// Time constant with which samples lose their weight. A server is slow for
  /// some seconds, and all nodes together see several samples of it a second.
  Duration m_AveragingTime = std::chrono::seconds(3);
  /// Sum of the weights of the samples from which a server may count as slow,
  /// so that one sample does not decide.
  double m_MinWeight = 1.5;
  /// Time after which the report of a peer is no longer used.
  Duration m_MaxReportAge = std::chrono::seconds(4);
};

/// First event of one attempt that has not come yet.
struct FirstEventWait {
  /// Requests whose times can be compared, for example those of one model.
  std::string m_Scope;
  /// Time to the first event at normal speed.
  Duration m_Expected{0};
  MonotonicTime m_SentAt{};
  /// Time from which the wait itself shows that the server is slow.
  MonotonicTime m_OverdueAt = MonotonicTime::max();
  /// Slowness that was recorded for the wait; 0 if none was.
  double m_Recorded = 0.0;
  bool m_IsOver = true;
};

/// A server that began or ceased to count as slow.
struct SpeedChange {
  std::string m_Server;
  /// 1 if it is no longer slow.
  double m_Slowness = 1.0;
  /// Weights of the samples of this node and of its peers.
  double m_OwnWeight = 0.0;
  double m_PeerWeight = 0.0;
};

/// Detects servers that are several times slower than usual, from the ratio of
/// the observed to the expected time to the first event. The ratio is divided
/// by the median of all servers, so that errors of the expectation, and load
/// that all servers have in common, do not count. A single node sees each
/// server rarely, so nodes share what they know of slow servers.
class ServerSpeed {
public:
  /// Slowness in percent and weight in tenths by server, as messages carry it.
  using Report = std::map<std::string, std::array<unsigned, 2>>;

  explicit ServerSpeed(const SpeedSettings &Settings = {})
      : m_Settings(Settings) {}

  /// Begins the wait of a request that was sent at \p SentAt and is expected to
  /// return its first event after \p Expected.
  FirstEventWait beginWait(std::string Scope, Duration Expected,
                           MonotonicTime SentAt) const;
  /// Records a wait that is overdue. Call it repeatedly during the wait.
  void onStillWaiting(FirstEventWait &Wait, const ChosenServer &Server,
                      MonotonicTime Now);
  void onFirstEvent(FirstEventWait &Wait, const ChosenServer &Server,
                    MonotonicTime Now);

  /// Updates what slowness() returns, unless that was done very recently.
  void refresh(MonotonicTime Now);
  /// True if any server counted as slow at the last refresh().
  bool hasSlowServers() const { return !m_Slow.empty(); }
  std::size_t slowServerCount() const { return m_Slow.size(); }
  /// Returns how many times slower than usual the process or group of \p Server
  /// is; 1 if it does not count as slow.
  double slowness(const BackendServer &Server) const;
  /// Returns the servers that began or ceased to count as slow since the last
  /// call.
  std::vector<SpeedChange> takeChanges();

  /// Returns what this node knows of slow servers, and of those that a peer
  /// reports as slow: samples at normal speed refute a wrong report.
  Report ownReport(MonotonicTime Now);
  /// Replaces the report of \p Peer.
  void setPeerReport(const std::string &Peer, const Report &Slow,
                     MonotonicTime Now);
  void removePeer(const std::string &Peer);

private:
  /// Sum of the logarithms of the samples' slowness, and of their weights.
  struct Samples {
    double m_LogSum = 0.0;
    double m_Weight = 0.0;

    double slowness() const;
  };
  struct Process {
    std::int64_t m_StartedAtMs = 0;
    std::optional<GroupKey> m_Group;

    bool operator==(const Process &Other) const {
      return m_StartedAtMs == Other.m_StartedAtMs && m_Group == Other.m_Group;
    }
  };
  struct OwnSamples {
    Process m_Process;
    Samples m_Samples;
    MonotonicTime m_UpdatedAt{};
  };
  struct PeerReport {
    std::map<std::string, Samples> m_Samples;
    MonotonicTime m_ReceivedAt{};
  };
  struct PeerSum {
    Samples m_Samples;
    unsigned m_Peers = 0;
    /// Peers for which the server is slow.
    unsigned m_SlowForPeers = 0;
  };
  struct SlowServer {
    /// Unset if only peers have samples; they do not name the process.
    std::optional<Process> m_Process;
    double m_Slowness = 1.0;
  };
  /// Most recent ratios of observed to expected time of one scope.
  struct RecentRatios {
    std::vector<std::pair<MonotonicTime, double>> m_Ratios;
    std::size_t m_Next = 0;
  };

  /// Median of the recent ratios of \p Scope; nothing if there are too few.
  std::optional<double> medianRatio(const std::string &Scope,
                                    MonotonicTime Now) const;
  void addRatio(const std::string &Scope, double Ratio, MonotonicTime Now);
  Samples decayed(const OwnSamples &Own, MonotonicTime Now) const;
  OwnSamples &ownSamples(const ChosenServer &Server, MonotonicTime Now);
  void removeExpired(MonotonicTime Now);
  void addToSums(const PeerReport &Reported);
  void subtractFromSums(const PeerReport &Reported);
  void recordChange(const std::string &Server, double Slowness,
                    MonotonicTime Now);

  SpeedSettings m_Settings;
  std::map<std::string, RecentRatios> m_RatiosByScope;
  absl::flat_hash_map<std::string, OwnSamples> m_Own;
  std::map<std::string, PeerReport> m_Peers;
  absl::flat_hash_map<std::string, PeerSum> m_PeerSums;
  absl::flat_hash_map<std::string, SlowServer> m_Slow;
  std::vector<SpeedChange> m_Changes;
  MonotonicTime m_RefreshedAt{};
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_DISPATCH_SERVER_SPEED_H
