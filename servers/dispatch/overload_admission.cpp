#include "servers/dispatch/overload_admission.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

/// Ratio of demand to supply from which requests are rejected. The margin
/// covers the error of the demand estimate.
constexpr double OverloadThreshold = 1.05;
/// While less than this share of the slots is in use, the estimate is wrong and
/// nothing is rejected.
constexpr double MinSlotUsage = 0.5;
/// Mean latency of first events, relative to their objective, from which
/// requests are rejected, and below which all are admitted again.
constexpr double OverloadLatency = 1.5;
constexpr double RecoveredLatency = 0.7;
/// Mean latency at which exactly the capacity of the groups is admitted.
constexpr double TargetLatency = 0.8;
/// Number of first events that the mean needs.
constexpr double MinFirstEvents = 4.0;
/// Lowest admitted share, so that the state of the groups stays observable.
constexpr double MinAdmittedShare = 0.1;

/// A request with less than this share of the usual time left is counted as
/// returning. Clients return after a good part of their time, and networks
/// delay first attempts by a much smaller one.
constexpr double MaxReturningTimeShare = 0.85;
/// Weight of one request in the average time left.
constexpr double UsualTimeWeight = 0.02;

} // namespace

AdmittedShares admittedShares(const ModelDemand &Demand,
                              const GroupSupply &Supply,
                              const RelativeLatency &Latency,
                              bool WasOverloaded) {
  const double MaxLatency = WasOverloaded ? RecoveredLatency : OverloadLatency;
  if (Supply.m_Groups == 0 || Supply.m_MeanSlotUsage < MinSlotUsage ||
      Latency.m_Count < MinFirstEvents ||
      Latency.m_Sum < MaxLatency * Latency.m_Count)
    return {};
  const auto Groups = static_cast<double>(Supply.m_Groups);
  // Admitting just what the groups serve would keep the queues at their present
  // length, so less is admitted the longer they are.
  const double MeanLatency = Latency.m_Sum / Latency.m_Count;
  const double Capacity = Groups * TargetLatency / MeanLatency;
  const auto ShareOf = [](double Available, double Demanded) {
    return Demanded <= 0.0
               ? 1.0
               : std::clamp(Available / Demanded, MinAdmittedShare, 1.0);
  };
  // Returning clients do not count as overload: otherwise rejections would be
  // the reason for further ones.
  AdmittedShares Shares;
  if (Demand.m_FirstAttempts > OverloadThreshold * Groups)
    Shares.m_FirstAttempts = ShareOf(Capacity, Demand.m_FirstAttempts);
  Shares.m_Returning =
      ShareOf(Capacity - Demand.m_FirstAttempts, Demand.m_Returning);
  return Shares;
}

bool ReturningClients::isReturning(const std::string &Route,
                                   Duration TimeLeft) {
  const double Seconds = std::chrono::duration<double>(TimeLeft).count();
  const auto [Known, IsFirst] = m_UsualSeconds.try_emplace(Route, Seconds);
  const bool IsReturning = Seconds < Known->second * MaxReturningTimeShare;
  Known->second += (Seconds - Known->second) * UsualTimeWeight;
  return IsReturning;
}

} // namespace fulmarwinch
