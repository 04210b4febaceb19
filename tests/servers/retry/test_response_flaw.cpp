#include "servers/retry/event_splitter.h"
#include "servers/retry/response_flaw.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

/// What shows that a response that has ended is not complete.
class ResponseFlawTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ResponseFlawTest);
  CPPUNIT_TEST(streamEndsAfterAWholeEvent);
  CPPUNIT_TEST(continuationDeliversWhatWasBegun);
  CPPUNIT_TEST_SUITE_END();

  static constexpr ResponseEnd Ends[] = {ResponseEnd::Delimited,
                                         ResponseEnd::ConnectionClosed};

  static std::string nameOfFlaw(ResponseFlaw Flaw) {
    return std::string(nameOf(ResponseFlawNames, Flaw));
  }

  static std::string streamFlaw(const std::string &Stream, ResponseEnd End) {
    EventSplitter Splitter;
    EventSequenceFilter Sequence{std::nullopt};
    Sequence.beginAttempt();
    const std::vector<RawEvent> Events = Splitter.accept(Stream);
    for (const RawEvent &Event : Events)
      Sequence.accept(Event);
    return nameOfFlaw(findStreamFlaw(Splitter, Sequence, !Events.empty(), End));
  }

  /// Guards against a stream that counts as complete because its connection or
  /// its chunks ended.
  void streamEndsAfterAWholeEvent() {
    for (const ResponseEnd End : Ends) {
      CPPUNIT_ASSERT_EQUAL(std::string("none"), streamFlaw("id: 1\n\n", End));
      CPPUNIT_ASSERT_EQUAL(std::string("ends_inside_event"),
                           streamFlaw("id: 1\n\nid: 2\n", End));
      CPPUNIT_ASSERT_EQUAL(std::string("ends_inside_event"),
                           streamFlaw("id: 1", End));
    }
    CPPUNIT_ASSERT_EQUAL(std::string("none"),
                         streamFlaw("", ResponseEnd::Delimited));
    CPPUNIT_ASSERT_EQUAL(std::string("closed_without_event"),
                         streamFlaw("", ResponseEnd::ConnectionClosed));
  }

  void continuationDeliversWhatWasBegun() {
    EventSequenceFilter Sequence{std::nullopt};
    Sequence.beginAttempt();
    Sequence.accept({"id: 1\n\n", 1});
    Sequence.endAttempt(true);
    Sequence.beginAttempt();
    EventSplitter Splitter;
    for (const ResponseEnd End : Ends)
      CPPUNIT_ASSERT_EQUAL(
          std::string("missing_event"),
          nameOfFlaw(findStreamFlaw(Splitter, Sequence, false, End)));
    Splitter.accept("boom");
    CPPUNIT_ASSERT_EQUAL(std::string("no_stream"),
                         nameOfFlaw(findStreamFlaw(Splitter, Sequence, false,
                                                   ResponseEnd::Delimited)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResponseFlawTest);

} // namespace fulmarwinch
