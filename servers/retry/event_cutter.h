#ifndef FULMARWINCH_SERVERS_RETRY_EVENT_CUTTER_H
#define FULMARWINCH_SERVERS_RETRY_EVENT_CUTTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarwinch {

/// A whole server-sent event with its bytes as they came.
struct RawEvent {
  std::string m_Bytes;
  std::optional<std::uint64_t> m_Id;
};

/// Cuts a byte stream at the ends of server-sent events, so that a part of an
/// event is never passed on.
class EventCutter {
public:
  /// Takes the next bytes and returns the events that ended.
  std::vector<RawEvent> accept(std::string_view Bytes);
  /// Bytes after the last whole event.
  const std::string &rest() const { return m_Rest; }

private:
  std::string m_Rest;
};

/// Decides which events of which run of a stream go to the client, so that
/// each ID goes there once and without a gap.
class EventSequence {
public:
  enum class Verdict { Deliver, Duplicate, Gap };

  /// \p LastId is the event after which the client asked to go on, if any.
  explicit EventSequence(std::optional<std::uint64_t> LastId)
      : m_LastId(LastId) {}

  Verdict accept(const RawEvent &Event);

  /// ID of the last event that went to the client.
  std::optional<std::uint64_t> lastId() const { return m_LastId; }
  std::uint64_t delivered() const { return m_Delivered; }
  /// False once an event without an ID was delivered, after which the point
  /// to go on from is not known.
  bool canResume() const { return m_CanResume; }

private:
  std::optional<std::uint64_t> m_LastId;
  std::uint64_t m_Delivered = 0;
  bool m_CanResume = true;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_RETRY_EVENT_CUTTER_H
