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
/// Mean latency of first events, relative to their objective, up to which
/// nothing is rejected, and the number of events that the mean needs.
constexpr double MinMeanLatency = 0.8;
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
                              const RelativeLatency &Latency) {
  const double Groups = static_cast<double>(Supply.m_Groups);
  if (Supply.m_Groups == 0 || Supply.m_MeanSlotUsage < MinSlotUsage ||
      Latency.m_Count < MinFirstEvents ||
      Latency.m_Sum < MinMeanLatency * Latency.m_Count ||
      Demand.m_FirstAttempts + Demand.m_Returning <= OverloadThreshold * Groups)
    return {};
  // Admitting just what the groups serve would keep the queues at their present
  // length, so less is admitted the longer they are.
  const double MeanLatency = Latency.m_Sum / Latency.m_Count;
  const double Capacity = Groups * MinMeanLatency / MeanLatency;
  const auto ShareOf = [](double Available, double Demanded) {
    return Demanded <= 0.0
               ? 1.0
               : std::clamp(Available / Demanded, MinAdmittedShare, 1.0);
  };
  return {ShareOf(Capacity, Demand.m_FirstAttempts),
          ShareOf(Capacity - Demand.m_FirstAttempts, Demand.m_Returning)};
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
