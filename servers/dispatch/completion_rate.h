#ifndef FULMARWINCH_SERVERS_DISPATCH_COMPLETION_RATE_H
#define FULMARWINCH_SERVERS_DISPATCH_COMPLETION_RATE_H

#include "core/time.h"

#include <array>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace fulmarwinch {

/// Work per second that clients ask for. Returning clients have been rejected
/// before. Work is measured in group-seconds, or in requests for a service
/// without groups.
struct OfferedWork {
  double m_FirstAttempts = 0.0;
  double m_Returning = 0.0;

  OfferedWork &operator+=(const OfferedWork &Other) {
    m_FirstAttempts += Other.m_FirstAttempts;
    m_Returning += Other.m_Returning;
    return *this;
  }
};

/// Work per second of one model, or of one service without groups.
struct WorkRates {
  /// Work that the servers have completed.
  double m_Completed = 0.0;
  std::map<unsigned, OfferedWork> m_OfferedByPriority;
  /// The largest organisations, by priority and name.
  std::map<std::pair<unsigned, std::string>, OfferedWork>
      m_OfferedByOrganisation;
  /// Number of nodes whose work is included, and the age of the oldest report.
  unsigned m_Nodes = 1;
  Duration m_OldestReportAge{0};

  /// Offered work of all priorities.
  OfferedWork offered() const;
};

/// Work per second of one node, in the form in which load messages carry it.
struct WorkReport {
  /// Completed work by model.
  std::map<std::string, double> m_Completed;
  /// Offered work (first attempts, returning clients) by model and priority.
  std::map<std::string, std::map<unsigned, std::array<double, 2>>> m_Offered;
  /// Largest organisations by model: name, priority, first attempts, returning.
  std::map<std::string,
           std::vector<std::tuple<std::string, unsigned, double, double>>>
      m_Organisations;
};

/// Measures the work that is offered and completed, on this node and its peers.
/// Models and services without groups are named by loadPoolName().
class CompletionRate {
public:
  /// Time constant of the exponential averages.
  static constexpr Duration AveragingTime = std::chrono::seconds(2);
  /// Time after which the report of a peer is no longer used.
  static constexpr Duration MaxReportAge = std::chrono::seconds(3);
  /// Number of organisations that a report names for each model.
  static constexpr std::size_t MaxOrganisations = 8;

  /// Source of a request. \p m_Organisation is empty if organisations are not
  /// told apart.
  struct Source {
    unsigned m_Priority = 0;
    std::string m_Organisation;
    bool m_IsReturning = false;
  };

  /// Records a request that has arrived, whether it is admitted or rejected.
  void recordOffered(const std::string &Pool, const Source &From, double Work,
                     MonotonicTime Now);
  /// Records work that a server has done for a request.
  void recordCompleted(const std::string &Pool, double Work, MonotonicTime Now);

  /// Returns the work of this node, for its peers.
  WorkReport ownReport(MonotonicTime Now) const;
  void setPeerReport(const std::string &Peer, WorkReport Report,
                     MonotonicTime Now);
  /// Returns the work of \p Pool on all nodes that have reported recently.
  WorkRates total(const std::string &Pool, MonotonicTime Now) const;

private:
  /// Exponential average of first attempts and returning clients, or of
  /// completed work in the first element.
  struct Average {
    std::array<double, 2> m_PerSecond{};
    MonotonicTime m_UpdatedAt{};

    void add(std::size_t Index, double Work, MonotonicTime Now);
    std::array<double, 2> at(MonotonicTime Now) const;
  };
  struct PoolWork {
    Average m_Completed;
    std::map<std::pair<unsigned, std::string>, Average> m_Offered;
  };
  struct PeerReport {
    WorkReport m_Report;
    MonotonicTime m_ReceivedAt{};
  };

  std::map<std::string, PoolWork> m_Own;
  std::map<std::string, PeerReport> m_Peers;
};

/// Returns the name under which the load of a service's servers is counted: the
/// model, or the service if it has no groups. The two cannot be equal.
std::string loadPoolName(const std::string &Service, const std::string &Model);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_DISPATCH_COMPLETION_RATE_H
