#ifndef FULMARWINCH_SERVERS_DISPATCH_READING_BACKLOG_H
#define FULMARWINCH_SERVERS_DISPATCH_READING_BACKLOG_H

#include "core/time.h"

#include <map>
#include <string>

namespace fulmarwinch {

/// Estimates the queue of unread prompts of each group from what was sent to
/// it. The queue drains at its own pace, so nodes that hear of each other's
/// prompts agree on it without any report from the group.
class ReadingBacklog {
public:
  /// A prompt that takes \p Work to read was sent to \p Server.
  void add(const std::string &Server, Duration Work, MonotonicTime Now);
  /// Time after which the prompts sent so far are read.
  Duration left(const std::string &Server, MonotonicTime Now) const;

private:
  /// When each server will have read everything.
  std::map<std::string, MonotonicTime> m_ReadAt;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_DISPATCH_READING_BACKLOG_H
