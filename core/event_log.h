#ifndef FULMARWINCH_CORE_EVENT_LOG_H
#define FULMARWINCH_CORE_EVENT_LOG_H

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string_view>
#include <variant>

namespace fulmarwinch {

/// Named value in a log line.
struct LogField {
  std::string_view m_Name;
  std::variant<std::string_view, std::int64_t, double, bool> m_Value;
};

struct EventLogSettings {
  /// Maximum lines per second with the same event name; further ones are
  /// discarded and counted. The limit exceeds the usual rate: a node serves a
  /// few dozen requests a second, each with up to four lines.
  std::size_t m_MaxLinesPerSecond = 200;
  /// Maximum size of the buffer for lines that cannot be written yet because
  /// the reader of the descriptor is slow.
  std::size_t m_MaxBufferedBytes = std::size_t{256} * 1024;
};

/// Writes structured log lines, one JSON object each, to a file descriptor.
/// Never blocks: if the reader is slow and the buffer is full, lines are
/// discarded and counted. Used by one thread only.
class EventLog {
public:
  /// Makes \p Descriptor non-blocking; the caller closes it.
  EventLog(int Descriptor, const EventLogSettings &Settings = {});
  ~EventLog();
  EventLog(const EventLog &) = delete;
  EventLog &operator=(const EventLog &) = delete;

  /// Adds a line with the time, \p Event and \p Fields to the buffer.
  void write(std::string_view Event, std::initializer_list<LogField> Fields);
  /// Writes buffered bytes to the descriptor until it would block.
  void flush();

  /// Number of lines discarded since this object was created.
  std::uint64_t discardedLines() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_CORE_EVENT_LOG_H
