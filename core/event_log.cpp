#include "core/event_log.h"
#include "core/json.h"
#include "core/text.h"

#include <cerrno>
#include <fcntl.h>
#include <map>
#include <string>
#include <unistd.h>

namespace fulmarwinch {

namespace {

/// Numbers of lines with one event name that were written and that were
/// discarded in the current second.
struct EventRate {
  std::int64_t m_Second = 0;
  std::size_t m_Lines = 0;
  std::uint64_t m_DiscardedLines = 0;
};

std::string quoted(std::string_view Text) {
  // Header values may contain invalid UTF-8, which JSON cannot represent; it is
  // replaced.
  return Json(std::string(Text))
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

struct ValueFormatter {
  std::string operator()(std::string_view Text) const { return quoted(Text); }
  std::string operator()(std::int64_t Number) const { return concat(Number); }
  std::string operator()(double Number) const { return concat(Number); }
  std::string operator()(bool Flag) const { return Flag ? "true" : "false"; }
};

std::int64_t unixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

struct EventLog::Impl {
  int m_Descriptor;
  EventLogSettings m_Settings;
  std::string m_Buffer;
  std::map<std::string, EventRate, std::less<>> m_Rates;
  std::uint64_t m_TotalDiscardedLines = 0;

  void addLine(std::string_view Event, std::initializer_list<LogField> Fields) {
    std::string Line = concat("{\"time_ms\":", unixMilliseconds(),
                              ",\"event\":", quoted(Event));
    for (const LogField &Field : Fields)
      append(Line, ",", quoted(Field.m_Name), ":",
             std::visit(ValueFormatter(), Field.m_Value));
    Line += "}\n";
    if (m_Buffer.size() + Line.size() > m_Settings.m_MaxBufferedBytes) {
      ++m_TotalDiscardedLines;
      return;
    }
    m_Buffer += Line;
  }
};

EventLog::EventLog(int Descriptor, const EventLogSettings &Settings)
    : m_Impl(std::make_unique<Impl>()) {
  m_Impl->m_Descriptor = Descriptor;
  m_Impl->m_Settings = Settings;
  const int Flags = fcntl(Descriptor, F_GETFL);
  if (Flags >= 0)
    fcntl(Descriptor, F_SETFL, Flags | O_NONBLOCK);
}

EventLog::~EventLog() { flush(); }

void EventLog::write(std::string_view Event,
                     std::initializer_list<LogField> Fields) {
  Impl &Self = *m_Impl;
  const std::int64_t Second = std::chrono::duration_cast<std::chrono::seconds>(
                                  monotonicNow().time_since_epoch())
                                  .count();
  auto Rate = Self.m_Rates.find(Event);
  if (Rate == Self.m_Rates.end())
    Rate = Self.m_Rates.emplace(std::string(Event), EventRate()).first;
  EventRate &Current = Rate->second;
  if (Current.m_Second != Second) {
    if (Current.m_DiscardedLines > 0)
      Self.addLine(
          "lines_left_out",
          {{"of", Event},
           {"count", static_cast<std::int64_t>(Current.m_DiscardedLines)}});
    Current = EventRate{Second, 0, 0};
  }
  if (++Current.m_Lines > Self.m_Settings.m_MaxLinesPerSecond) {
    ++Current.m_DiscardedLines;
    ++Self.m_TotalDiscardedLines;
    return;
  }
  Self.addLine(Event, Fields);
}

void EventLog::flush() {
  Impl &Self = *m_Impl;
  std::size_t Offset = 0;
  while (Offset < Self.m_Buffer.size()) {
    const ssize_t BytesWritten =
        ::write(Self.m_Descriptor, Self.m_Buffer.data() + Offset,
                Self.m_Buffer.size() - Offset);
    if (BytesWritten < 0 && errno == EINTR)
      continue;
    if (BytesWritten <= 0)
      break; // the rest stays in the buffer, whose size is limited
    Offset += static_cast<std::size_t>(BytesWritten);
  }
  Self.m_Buffer.erase(0, Offset);
}

std::uint64_t EventLog::discardedLines() const {
  return m_Impl->m_TotalDiscardedLines;
}

} // namespace fulmarwinch
