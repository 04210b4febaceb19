#include "servers/retry/response_flaw.h"
#include "servers/retry/event_splitter.h"

namespace fulmarwinch {

ResponseFlaw findStreamFlaw(const EventSplitter &Splitter,
                            const EventSequenceFilter &Sequence, bool HasEvents,
                            ResponseEnd End) {
  if (Splitter.isInsideEvent())
    return Sequence.continuesStream() ? ResponseFlaw::InsideEvent
                                      : ResponseFlaw::OtherStream;
  if (Sequence.isEventMissing())
    return ResponseFlaw::MissingEvent;
  if (!HasEvents && End == ResponseEnd::ConnectionClosed)
    return ResponseFlaw::NoEvent;
  return ResponseFlaw::None;
}

} // namespace fulmarwinch
