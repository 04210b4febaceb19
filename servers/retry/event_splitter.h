#ifndef FULMARWINCH_SERVERS_RETRY_EVENT_SPLITTER_H
#define FULMARWINCH_SERVERS_RETRY_EVENT_SPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarwinch {

/// A complete server-sent event with its bytes as received.
struct RawEvent {
  std::string m_Bytes;
  std::optional<std::uint64_t> m_Id;
};

/// Splits a byte stream into complete server-sent events, so that an incomplete
/// event is never forwarded to the client.
class EventSplitter {
public:
  /// Appends received bytes and returns the events that are now complete.
  std::vector<RawEvent> accept(std::string_view Bytes);
  /// True if an event has not ended within the maximum size. Its bytes are
  /// discarded, and no further event is returned.
  bool hasFailed() const { return m_HasFailed; }
  /// Returns the bytes after the last complete event.
  const std::string &incompleteEvent() const { return m_IncompleteEvent; }

private:
  std::string m_IncompleteEvent;
  /// Bytes of m_IncompleteEvent that contain no end of an event.
  std::size_t m_SearchedBytes = 0;
  bool m_HasFailed = false;
};

/// Filters the events of several attempts at one stream, so that the client
/// receives each event ID once and without a gap.
class EventSequenceFilter {
public:
  /// Deliver: forward the event to the client. Duplicate: discard it. Gap:
  /// events between the last delivered one and this one are missing.
  enum class Verdict { Deliver, Duplicate, Gap };

  /// \p LastId is the ID of the event after which the client requested to
  /// resume the stream, if any.
  explicit EventSequenceFilter(std::optional<std::uint64_t> LastId)
      : m_LastId(LastId) {}

  /// Decides about the next event of the current attempt. The state changes
  /// only if the result is Deliver.
  Verdict accept(const RawEvent &Event);

  /// ID of the last event that was delivered to the client.
  std::optional<std::uint64_t> lastId() const { return m_LastId; }
  /// Number of events delivered to the client.
  std::uint64_t deliveredCount() const { return m_Delivered; }
  /// False once an event without an ID was delivered, since the event from
  /// which another attempt would have to resume is then unknown.
  bool canResume() const { return m_CanResume; }

private:
  std::optional<std::uint64_t> m_LastId;
  std::uint64_t m_Delivered = 0;
  bool m_CanResume = true;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_RETRY_EVENT_SPLITTER_H
