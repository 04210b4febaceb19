#include "servers/dispatch/overload_admission.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

/// Ratio of demand to supply from which requests are rejected. The margin
/// covers the error of the demand estimate.
constexpr double OverloadThreshold = 1.05;
/// While less than this share of the slots is in use, the estimate is wrong and
/// nothing is rejected.
constexpr double MinSlotUsage = 0.6;
/// Lowest admitted share, so that the state of the groups stays observable.
constexpr double MinAdmittedShare = 0.1;

} // namespace

double admittedShare(double DemandedGroups, const GroupSupply &Supply) {
  if (Supply.m_Groups == 0 || Supply.m_MeanSlotUsage < MinSlotUsage)
    return 1.0;
  const double Load = DemandedGroups / static_cast<double>(Supply.m_Groups);
  return Load <= OverloadThreshold ? 1.0
                                   : std::max(MinAdmittedShare, 1.0 / Load);
}

} // namespace fulmarwinch
