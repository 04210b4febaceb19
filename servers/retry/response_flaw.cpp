#include "servers/retry/response_flaw.h"
#include "core/json.h"
#include "core/text.h"
#include "servers/retry/event_splitter.h"

namespace fulmarwinch {

namespace {

constexpr int FirstSuccess = 200;
constexpr int FirstRedirection = 300;

/// Returns the media type in \p ContentType in lower case, without parameters.
std::string mediaType(std::string_view ContentType) {
  std::string_view Type = ContentType.substr(0, ContentType.find(';'));
  while (!Type.empty() && Type.back() == ' ')
    Type.remove_suffix(1);
  return toLower(Type);
}

/// True if \p Body is a series of events that ends inside one.
bool endsInsideEvent(const std::string &Type, std::string_view Body) {
  if (Type != "text/event-stream")
    return false;
  EventSplitter Splitter;
  Splitter.accept(Body);
  return !Splitter.hasFailed() && Splitter.isInsideEvent();
}

bool isJson(const std::string &Name) {
  constexpr std::string_view Suffix = "+json";
  return Name == "application/json" ||
         (Name.size() > Suffix.size() &&
          Name.compare(Name.size() - Suffix.size(), Suffix.size(), Suffix) ==
              0);
}

} // namespace

ResponseFlaw findStreamFlaw(const EventSplitter &Splitter,
                            const EventSequenceFilter &Sequence, bool HasEvents,
                            ResponseEnd End, bool MustBeDelimited) {
  if (Splitter.isInsideEvent())
    return Sequence.continuesStream() ? ResponseFlaw::InsideEvent
                                      : ResponseFlaw::OtherStream;
  if (Sequence.isEventMissing())
    return ResponseFlaw::MissingEvent;
  if (!HasEvents && End == ResponseEnd::ConnectionClosed)
    return ResponseFlaw::NoEvent;
  if (MustBeDelimited && End == ResponseEnd::ConnectionClosed)
    return ResponseFlaw::UnconfirmedEnd;
  return ResponseFlaw::None;
}

ResponseFlaw findBodyFlaw(int Status, std::string_view ContentType,
                          std::string_view Body, ResponseEnd End) {
  if (End == ResponseEnd::Delimited)
    return ResponseFlaw::None;
  const bool IsSuccess = Status >= FirstSuccess && Status < FirstRedirection;
  if (Body.empty())
    return IsSuccess ? ResponseFlaw::NoBody : ResponseFlaw::None;
  const std::string Type = mediaType(ContentType);
  if (isJson(Type) && !Json::accept(Body))
    return ResponseFlaw::IncompleteJson;
  if (endsInsideEvent(Type, Body))
    return ResponseFlaw::InsideEvent;
  return ResponseFlaw::None;
}

} // namespace fulmarwinch
