#ifndef FULMARWINCH_SERVERS_GROUPS_GROUP_SETTINGS_H
#define FULMARWINCH_SERVERS_GROUPS_GROUP_SETTINGS_H

#include "core/time.h"

#include <algorithm>
#include <cstddef>

namespace fulmarwinch {

/// The weight store as the operator describes it.
struct WeightStoreSettings {
  /// Rate of the whole store and of one VM, in bytes per second.
  double m_BytesPerSecond = 8e9;
  double m_VmBytesPerSecond = 1e9;
  /// Weights that one VM loads.
  double m_BytesPerVm = 20e9;

  /// VMs that can load at their full rate at the same time.
  std::size_t loadingVms() const {
    return static_cast<std::size_t>(
        std::max(1.0, m_BytesPerSecond / m_VmBytesPerSecond));
  }
  /// Time to load a group of \p Vms VMs alone.
  Duration reloadTime(std::size_t Vms) const {
    const double Share = std::min(
        m_VmBytesPerSecond,
        m_BytesPerSecond / static_cast<double>(std::max<std::size_t>(Vms, 1)));
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(m_BytesPerVm / Share));
  }
};

struct GroupSettings {
  WeightStoreSettings m_WeightStore;
  /// A member that is missing for a shorter time is not replaced.
  Duration m_RepairAfter = std::chrono::seconds(2);
  /// A surplus group is removed after this time, since the summaries of other
  /// domains may lag.
  Duration m_SurplusAfter = std::chrono::seconds(30);
  /// Routers stop sending to a draining group within this time (I8).
  Duration m_DrainQuiet = std::chrono::seconds(3);
  /// Older reports count as missing; reports reach the holder by way of the
  /// monitors, so this is more than the age for serving views.
  Duration m_ReportAge = std::chrono::seconds(2);
  /// An engine that loads for more than this multiple of the reload time is
  /// treated as failed. The weight store is shared, so one reload time alone
  /// is often exceeded.
  int m_LoadTimeFactor = 4;
  Duration m_OrderRepeat = std::chrono::seconds(1);
  Duration m_StoreRetry = std::chrono::milliseconds(500);
  Duration m_StoreRetryMax = std::chrono::seconds(4);
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_GROUPS_GROUP_SETTINGS_H
