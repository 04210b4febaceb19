#include "servers/retry/response_flaw.h"
#include "core/json.h"
#include "core/text.h"
#include "servers/retry/event_splitter.h"

namespace fulmarwinch {

namespace {

constexpr int FirstSuccess = 200;
constexpr int FirstRedirection = 300;

bool isJson(std::string_view ContentType) {
  std::string_view MediaType = ContentType.substr(0, ContentType.find(';'));
  while (!MediaType.empty() && MediaType.back() == ' ')
    MediaType.remove_suffix(1);
  const std::string Name = toLower(MediaType);
  constexpr std::string_view Suffix = "+json";
  return Name == "application/json" ||
         (Name.size() > Suffix.size() &&
          Name.compare(Name.size() - Suffix.size(), Suffix.size(), Suffix) ==
              0);
}

} // namespace

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

ResponseFlaw findBodyFlaw(int Status, std::string_view ContentType,
                          std::string_view Body, ResponseEnd End) {
  if (End == ResponseEnd::Delimited)
    return ResponseFlaw::None;
  const bool IsSuccess = Status >= FirstSuccess && Status < FirstRedirection;
  if (Body.empty())
    return IsSuccess ? ResponseFlaw::NoBody : ResponseFlaw::None;
  if (isJson(ContentType) && !Json::accept(Body))
    return ResponseFlaw::IncompleteJson;
  return ResponseFlaw::None;
}

} // namespace fulmarwinch
