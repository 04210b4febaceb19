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

/// One named value of a log line.
struct LogField {
  std::string_view m_Name;
  std::variant<std::string_view, std::int64_t, double, bool> m_Value;
};

/// Bounds of the event log.
struct EventLogSettings {
  /// Lines of one event per second; later ones are counted and left out. A
  /// node serves a few dozen requests a second with up to four lines each.
  std::size_t m_MaxLinesPerSecond = 200;
  /// Bytes that wait for a reader that is behind.
  std::size_t m_MaxBufferedBytes = std::size_t{256} * 1024;
};

/// Writes structured log lines, one JSON object each, to a file descriptor.
/// Never blocks: lines that a slow reader leaves no room for are counted and
/// left out. Used by one thread.
class EventLog {
public:
  EventLog(int Descriptor, const EventLogSettings &Settings = {});
  ~EventLog();
  EventLog(const EventLog &) = delete;
  EventLog &operator=(const EventLog &) = delete;

  /// Adds a line with the time, \p Event and \p Fields.
  void write(std::string_view Event, std::initializer_list<LogField> Fields);
  /// Hands buffered lines to the descriptor as far as it takes them.
  void flush();

  std::uint64_t droppedLines() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_CORE_EVENT_LOG_H
