#ifndef FULMARWINCH_SERVERS_RETRY_RESPONSE_FLAW_H
#define FULMARWINCH_SERVERS_RETRY_RESPONSE_FLAW_H

#include "core/enum_names.h"

#include <array>
#include <string_view>

namespace fulmarwinch {

class EventSplitter;
class EventSequenceFilter;

/// What tells that a response has ended.
enum class ResponseEnd {
  /// Its length, its last chunk or its status.
  Delimited,
  /// Only the end of the connection, which an interruption causes as well.
  ConnectionClosed,
};

/// Why a response that has ended is not complete, or cannot be taken for
/// complete.
enum class ResponseFlaw {
  None,
  /// A series of events ended within an event.
  InsideEvent,
  /// The connection was closed before the first event of an attempt.
  NoEvent,
  /// A stream ended before an event that an earlier attempt has begun.
  MissingEvent,
  /// Bytes that are no event of the stream that was to be continued.
  OtherStream,
  /// The connection was closed before the first byte of the body.
  NoBody,
  /// The connection was closed within a JSON text.
  IncompleteJson,
  /// Only the close of the connection ended the continuation of a stream whose
  /// client waits for the last chunk.
  UnconfirmedEnd,
};

inline constexpr std::array<EnumName<ResponseFlaw>, 8> ResponseFlawNames{{
    {ResponseFlaw::None, "none"},
    {ResponseFlaw::InsideEvent, "ends_inside_event"},
    {ResponseFlaw::NoEvent, "closed_without_event"},
    {ResponseFlaw::MissingEvent, "missing_event"},
    {ResponseFlaw::OtherStream, "no_stream"},
    {ResponseFlaw::NoBody, "closed_without_body"},
    {ResponseFlaw::IncompleteJson, "incomplete_json"},
    {ResponseFlaw::UnconfirmedEnd, "unconfirmed_end"},
}};

/// Checks a stream whose response has ended. \p HasEvents is true if the
/// current attempt returned at least one event, \p MustBeDelimited if the
/// client has received the beginning of the stream in chunks.
ResponseFlaw findStreamFlaw(const EventSplitter &Splitter,
                            const EventSequenceFilter &Sequence, bool HasEvents,
                            ResponseEnd End, bool MustBeDelimited);

/// Checks the body of a response that is not a stream. A body that only the end
/// of the connection delimits may have been cut anywhere; it passes if nothing
/// shows that.
ResponseFlaw findBodyFlaw(int Status, std::string_view ContentType,
                          std::string_view Body, ResponseEnd End);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_RETRY_RESPONSE_FLAW_H
