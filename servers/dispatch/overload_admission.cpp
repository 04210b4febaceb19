#include "servers/dispatch/overload_admission.h"

#include <algorithm>
#include <cmath>

namespace fulmarwinch {

namespace {

/// Below this share of used slots all requests are admitted at once: the
/// measured completions or latencies do not show an overload.
constexpr double MinSlotUsage = 0.5;
/// Shares of used slots, averaged over a second, up to which slots count as
/// free and from which the groups count as saturated. From the latter, the
/// selector sends a server no more requests. Without the average, load reports
/// of 0.4 s ago made the usage swing between 0.7 and 1.4 in a simulation.
constexpr double FreeSlotUsage = 0.75;
constexpr double SaturatedSlotUsage = 0.9;
/// Weight of one period in the average slot usage.
constexpr double SlotUsageWeight = 0.2;
/// Share of the nodes below which the slot usage is extrapolated.
constexpr double MinCountedNodeShare = 0.5;
/// Slot usage and mean latency of first events, relative to their objective,
/// from which requests are rejected. All are admitted again below
/// RecoveredLatency.
constexpr double OverloadSlotUsage = 1.0;
constexpr double OverloadLatency = 1.5;
constexpr double RecoveredLatency = 0.7;
/// Mean latency at which exactly the capacity of the groups is admitted.
constexpr double TargetLatency = 0.8;
/// Number of first events that the mean needs.
constexpr double MinFirstEvents = 4.0;
/// Lowest admitted share, so that the state of the groups stays observable.
constexpr double MinAdmittedShare = 0.1;

/// Bounds of the correction for latency. The lower one keeps enough requests
/// running that completions continue to show the capacity.
constexpr double MinCorrection = 0.5;
constexpr double MaxCorrection = 1.25;
/// Changes of the correction in one period. A latency of the last two seconds
/// is an average, so faster reductions would continue after the queues have
/// become short.
constexpr double CorrectionIncrease = 0.02;
constexpr double MaxCorrectionDecrease = 0.05;
/// Largest changes of the admitted shares in one period. Shares rise more
/// slowly than they fall, so that returning clients do not fill the queues
/// again at once.
constexpr double MaxShareIncrease = 0.05;
constexpr double MaxShareDecrease = 0.15;
/// Time constants with which the known capacity is forgotten while the groups
/// are saturated and complete less, and while completions do not show it.
constexpr double SaturatedMemorySeconds = 4.0;
constexpr double IdleMemorySeconds = 30.0;

/// A request with less than this share of the usual time left is counted as
/// returning. Clients return after a good part of their time, and networks
/// delay first attempts by a much smaller one.
constexpr double MaxReturningTimeShare = 0.85;
/// Weight of one request in the average time left.
constexpr double UsualTimeWeight = 0.02;

} // namespace

namespace {

double meanLatency(const RelativeLatency &Latency) {
  return Latency.m_Count < MinFirstEvents ? TargetLatency
                                          : Latency.m_Sum / Latency.m_Count;
}

double shareOf(double Available, double Offered) {
  return Offered <= 0.0
             ? 1.0
             : std::clamp(Available / Offered, MinAdmittedShare, 1.0);
}

void approach(double &Share, double Target) {
  Share = std::clamp(Target, Share - MaxShareDecrease,
                     std::min(1.0, Share + MaxShareIncrease));
}

/// Returns the admitted share that is raised to the extent to which slots are
/// free. A gradual change avoids that all nodes begin to admit everything at
/// the same moment.
double withFreeSlots(double Share, double SlotUsage) {
  const double Saturation = std::clamp((SlotUsage - FreeSlotUsage) /
                                           (SaturatedSlotUsage - FreeSlotUsage),
                                       0.0, 1.0);
  return 1.0 - (1.0 - Share) * Saturation;
}

} // namespace

double OverloadAdmission::slotUsage(const GroupSupply &Supply) {
  // Some nodes are always missing from the list or from the reports. If this
  // node hears of less than half, its links have failed, and the others are
  // assumed to use as many slots as those that it hears of.
  return Supply.m_CountedNodeShare < MinCountedNodeShare
             ? Supply.m_MeanSlotUsage / Supply.m_CountedNodeShare
             : Supply.m_MeanSlotUsage;
}

void OverloadAdmission::updateCapacity(const PoolLoad &Load) {
  // A group that has just opened or was lost shows in the completions only
  // after seconds, and so does a peer whose reports have begun or ended.
  const std::size_t Groups = Load.m_Supply.m_Groups;
  if (m_Groups > 0 && Groups > 0)
    m_Capacity *= static_cast<double>(Groups) / static_cast<double>(m_Groups);
  // Many new reports show what their nodes have completed. The nodes may differ
  // in size, so the capacity is not extrapolated to them.
  if (m_Nodes > 0 && Load.m_Nodes <= 2 * m_Nodes)
    m_Capacity *= static_cast<double>(Load.m_Nodes) / m_Nodes;
  if (Groups > 0)
    m_Groups = Groups;
  m_Nodes = Load.m_Nodes;
  const bool IsSaturated = m_SlotUsage >= SaturatedSlotUsage;
  const double MemorySeconds =
      IsSaturated ? SaturatedMemorySeconds : IdleMemorySeconds;
  m_Capacity *=
      std::exp(-std::chrono::duration<double>(Period).count() / MemorySeconds);
  m_Capacity = std::max(m_Capacity, Load.m_Completed);
}

void OverloadAdmission::updateCorrection(const PoolLoad &Load) {
  const double Latency = meanLatency(Load.m_Latency);
  if (Latency <= TargetLatency || m_SlotUsage < SaturatedSlotUsage) {
    m_Correction = std::min(MaxCorrection, m_Correction + CorrectionIncrease);
    return;
  }
  const double Target = std::max(MinCorrection, TargetLatency / Latency);
  m_Correction = Target < m_Correction
                     ? std::max(Target, m_Correction - MaxCorrectionDecrease)
                     : std::min(Target, m_Correction + CorrectionIncrease);
}

AdmittedShares OverloadAdmission::update(const PoolLoad &Load) {
  const GroupSupply &Supply = Load.m_Supply;
  const double Usage = slotUsage(Supply);
  m_SlotUsage += (Usage - m_SlotUsage) * SlotUsageWeight;
  updateCapacity(Load);
  const bool HasLatency = Load.m_Latency.m_Count >= MinFirstEvents;
  const double Latency = meanLatency(Load.m_Latency);
  const bool WasOverloaded = m_IsOverloaded;
  if (Supply.m_Groups == 0 || Usage < MinSlotUsage) {
    m_IsOverloaded = false;
    m_Shares = {};
    return m_Shares;
  }
  if (m_SlotUsage > OverloadSlotUsage ||
      (HasLatency && Latency > OverloadLatency))
    m_IsOverloaded = true;
  else if ((!HasLatency || Latency < RecoveredLatency) &&
           m_SlotUsage < SaturatedSlotUsage)
    m_IsOverloaded = false;
  AdmittedShares Target;
  if (m_IsOverloaded) {
    if (!WasOverloaded && m_Shares.admitsAll())
      m_Correction = 1.0;
    updateCorrection(Load);
    // Returning clients do not count as overload: otherwise rejections would be
    // the reason for further ones.
    const double Available = m_Capacity * m_Correction;
    const OfferedWork &Offered = Load.m_Offered;
    Target.m_FirstAttempts =
        withFreeSlots(shareOf(Available, Offered.m_FirstAttempts), m_SlotUsage);
    Target.m_Returning = withFreeSlots(
        shareOf(Available - Offered.m_FirstAttempts, Offered.m_Returning),
        m_SlotUsage);
  }
  approach(m_Shares.m_FirstAttempts, Target.m_FirstAttempts);
  approach(m_Shares.m_Returning, Target.m_Returning);
  return m_Shares;
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
