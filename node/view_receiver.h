#ifndef FULMARWINCH_NODE_VIEW_RECEIVER_H
#define FULMARWINCH_NODE_VIEW_RECEIVER_H

#include "node/data_path.h"
#include "node/monitor_task.h"

#include <map>
#include <string>

namespace fulmarwinch {

/// Applies the serving views that monitors publish to the routing table. Runs
/// on the control thread.
class ViewReceiver {
public:
  /// Time after which routers stop using a view (docs/design.md, section 4.3).
  static constexpr Duration ViewLifetime = std::chrono::milliseconds(1500);

  /// \p Zone is the node's own availability zone.
  ViewReceiver(DataPath &Path, std::string Zone);

  /// Updates the routing table from \p View, unless it belongs to an earlier
  /// generation of the group.
  void onView(const PublishedView &View, MonotonicTime Now);
  /// Removes the groups that have received no view for the retention time.
  void tick(MonotonicTime Now);

  /// Newest view of a group, and whether the group is warm.
  struct ReceivedView {
    PublishedView m_View;
    MonotonicTime m_ReceivedAt{};
    bool m_Warm = false;
  };
  const std::map<std::string, ReceivedView> &groups() const { return m_Groups; }

private:
  GroupView toGroupView(const ReceivedView &Group) const;
  Capability capabilityOf(const PublishedView &View) const;

  DataPath &m_DataPath;
  std::string m_OwnZone;
  std::map<std::string, ReceivedView> m_Groups;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_VIEW_RECEIVER_H
