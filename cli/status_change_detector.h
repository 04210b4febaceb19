#ifndef FULMARWINCH_CLI_STATUS_CHANGE_DETECTOR_H
#define FULMARWINCH_CLI_STATUS_CHANGE_DETECTOR_H

#include "core/json.h"

#include <map>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Change of one status item, such as a node, group or problem. The text before
/// or after the change is empty if the item did not exist then.
struct StatusChange {
  std::string m_Item;
  std::string m_Before;
  std::string m_After;
};

/// Compares each status response with the previous one.
class StatusChangeDetector {
public:
  /// Returns the changes since the previous call; the first call returns every
  /// item.
  std::vector<StatusChange> update(const Json &Status);

private:
  std::map<std::string, std::string> m_PreviousItems;
};

/// Returns the change as one line: `+` for an item that is added, `-` for one
/// that is removed, `~` for one that is changed.
std::string toText(const StatusChange &Change);
Json toJson(const StatusChange &Change);

} // namespace fulmarwinch

#endif // FULMARWINCH_CLI_STATUS_CHANGE_DETECTOR_H
