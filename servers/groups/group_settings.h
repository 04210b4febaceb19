#ifndef FULMARWINCH_SERVERS_GROUPS_GROUP_SETTINGS_H
#define FULMARWINCH_SERVERS_GROUPS_GROUP_SETTINGS_H

#include "core/time.h"

#include <algorithm>
#include <cstddef>

namespace fulmarwinch {

/// Throughput of the store from which engines load model weights, as configured
/// by the operator.
struct WeightStoreSettings {
  /// Read throughput of the whole store and of one VM, in bytes per second.
  double m_BytesPerSecond = 8e9;
  double m_VmBytesPerSecond = 1e9;
  /// Bytes of weights that one VM loads.
  double m_BytesPerVm = 20e9;

  /// Returns how many VMs can load at the full throughput of a VM at the same
  /// time; at least 1.
  std::size_t vmsAtFullRate() const {
    return static_cast<std::size_t>(
        std::max(1.0, m_BytesPerSecond / m_VmBytesPerSecond));
  }
  /// Returns the time to load a group of \p Vms VMs while no other group loads.
  Duration reloadTime(std::size_t Vms) const {
    const double VmThroughput = std::min(
        m_VmBytesPerSecond,
        m_BytesPerSecond / static_cast<double>(std::max<std::size_t>(Vms, 1)));
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(m_BytesPerVm / VmThroughput));
  }
};

/// Time limits and intervals of group control.
struct GroupSettings {
  WeightStoreSettings m_WeightStore;
  /// Time for which a member has to be missing before it is replaced.
  Duration m_RepairDelay = std::chrono::seconds(2);
  /// Time after which a surplus group is removed. The delay is needed because
  /// the summaries of other domains may be stale.
  Duration m_SurplusRemovalDelay = std::chrono::seconds(30);
  /// Maximum time until routers stop sending requests to a draining group
  /// (invariant I8).
  Duration m_MaxRouterStopDelay = std::chrono::seconds(3);
  /// A member whose last engine report is older than this counts as missing.
  /// Reports reach the lease holder through the monitors, so the limit is
  /// higher than ServingReportAge.
  Duration m_MaxReportAge = std::chrono::seconds(2);
  /// An engine that loads for longer than this multiple of the reload time is
  /// treated as failed. The weight store is shared, so a load often takes
  /// longer than one reload time.
  int m_LoadTimeoutFactor = 4;
  /// Time after which an order is sent again if the engine reports do not show
  /// its effect.
  Duration m_OrderRepeatInterval = std::chrono::seconds(1);
  /// Initial and maximum backoff between retries of a store call.
  Duration m_MinStoreBackoff = std::chrono::milliseconds(500);
  Duration m_MaxStoreBackoff = std::chrono::seconds(4);
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_GROUPS_GROUP_SETTINGS_H
