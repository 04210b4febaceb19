#ifndef FULMARWINCH_SERVERS_DISPATCH_PREFILL_BACKLOG_H
#define FULMARWINCH_SERVERS_DISPATCH_PREFILL_BACKLOG_H

#include "core/time.h"

#include "absl/container/flat_hash_map.h"

#include <string>

namespace fulmarwinch {

/// Estimates the prefill backlog of each replica group from the prompts that
/// were sent to it. Prefill proceeds at a known rate, so nodes that announce
/// their prompts to each other compute the same backlog without any report from
/// the group.
class PrefillBacklog {
public:
  /// Records that a prompt whose prefill takes \p PrefillTime was sent to
  /// \p Server, the head of a group.
  void addPrompt(const std::string &Server, Duration PrefillTime,
                 MonotonicTime Now);
  /// Returns the time from \p Now until the prefill of all prompts sent so far
  /// is done; zero if there is no backlog.
  Duration remainingPrefillTime(const std::string &Server,
                                MonotonicTime Now) const;

private:
  /// Time at which the prefill backlog ends, by server.
  absl::flat_hash_map<std::string, MonotonicTime> m_BacklogEnd;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_DISPATCH_PREFILL_BACKLOG_H
