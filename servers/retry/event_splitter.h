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
/// event is never forwarded to the client. Lines end with LF, CR LF or CR.
class EventSplitter {
public:
  /// Appends received bytes and returns the events that are now complete.
  std::vector<RawEvent> accept(std::string_view Bytes);
  /// True if an event has not ended within the maximum size. Its bytes are
  /// discarded, and no further event is returned.
  bool hasFailed() const { return m_HasFailed; }
  /// Returns the bytes after the last complete event.
  const std::string &incompleteEvent() const { return m_IncompleteEvent; }
  /// True if those bytes are part of an event, and not only blank lines and
  /// comments, or if hasFailed().
  bool isInsideEvent() const;

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

  /// Must be called when the response of the next attempt begins.
  void beginAttempt();
  /// Must be called when the response of an attempt has ended. \p IsInsideEvent
  /// is true if it ended within an event.
  void endAttempt(bool IsInsideEvent);
  /// True once an event of the current attempt has shown by its ID that the
  /// attempt goes on with the delivered events, and if there are none.
  bool continuesStream() const { return m_ContinuesStream; }

  /// True if an attempt has shown that the stream has a further event, and none
  /// has been delivered since.
  bool isEventMissing() const { return m_IsEventMissing; }

  /// Decides about the next event of the current attempt. An event without an
  /// ID is a gap until the attempt has shown that it continues the stream.
  Verdict accept(const RawEvent &Event);

  /// ID of the last event that was delivered to the client.
  std::optional<std::uint64_t> lastId() const { return m_LastId; }
  /// Number of events delivered to the client.
  std::uint64_t deliveredCount() const { return m_Delivered; }
  /// False once an event without an ID was delivered, since the event from
  /// which another attempt would have to resume is then unknown.
  bool canResume() const { return m_CanResume; }

private:
  Verdict deliver();

  std::optional<std::uint64_t> m_LastId;
  std::uint64_t m_Delivered = 0;
  /// The current attempt repeats events before the last delivered one.
  bool m_IsReplaying = false;
  bool m_IsEventMissing = false;
  bool m_CanResume = true;
  bool m_ContinuesStream = true;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_RETRY_EVENT_SPLITTER_H
