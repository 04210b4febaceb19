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
  /// Routers stop using a view after this time (design 4.3).
  static constexpr Duration ViewLifetime = std::chrono::milliseconds(1500);

  /// \p Zone is the node's own availability zone.
  ViewReceiver(DataPath &Path, std::string Zone);

  void onView(const PublishedView &View, MonotonicTime Now);
  /// Forgets groups of which nothing has been heard for long.
  void tick(MonotonicTime Now);

  /// Newest view of each group.
  struct Known {
    PublishedView m_View;
    MonotonicTime m_ReceivedAt{};
    bool m_Warm = false;
  };
  const std::map<std::string, Known> &groups() const { return m_Groups; }

private:
  GroupView toGroupView(const Known &Group) const;
  Capability capabilityOf(const PublishedView &View) const;

  DataPath &m_Path;
  std::string m_Zone;
  std::map<std::string, Known> m_Groups;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_VIEW_RECEIVER_H
