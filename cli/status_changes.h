#ifndef FULMARWINCH_CLI_STATUS_CHANGES_H
#define FULMARWINCH_CLI_STATUS_CHANGES_H

#include "core/json.h"

#include <map>
#include <string>
#include <vector>

namespace fulmarwinch {

/// One item of the status that differs from the last status. A text is empty
/// where the item did not exist.
struct StatusChange {
  std::string m_Item;
  std::string m_Before;
  std::string m_After;
};

/// Compares each status with the one before it.
class StatusChanges {
public:
  /// Returns the changes since the last call; at the first call every item.
  std::vector<StatusChange> next(const Json &Status);

private:
  std::map<std::string, std::string> m_Last;
};

std::string toText(const StatusChange &Change);
Json toJson(const StatusChange &Change);

} // namespace fulmarwinch

#endif // FULMARWINCH_CLI_STATUS_CHANGES_H
