#include "servers/retry/event_splitter.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

/// Splitting of byte streams into events, and joining of resumed streams.
class EventSplitterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventSplitterTest);
  CPPUNIT_TEST(incompleteEventIsBuffered);
  CPPUNIT_TEST(eventsDoNotDependOnReadBoundaries);
  CPPUNIT_TEST(linesEndWithCrAlone);
  CPPUNIT_TEST(lineEndOfTwoReadsIsNoBlankLine);
  CPPUNIT_TEST(restOfAStreamIsInsideAnEventOrNot);
  CPPUNIT_TEST(resumedAttemptIsJoinedWithoutGapOrDuplicate);
  CPPUNIT_TEST(eventWithoutIdPreventsResumption);
  CPPUNIT_TEST(eventThatWasBegunIsMissingUntilOneIsDelivered);
  CPPUNIT_TEST_SUITE_END();

  static RawEvent event(std::uint64_t Id) {
    return {"id: " + std::to_string(Id) + "\n\n", Id};
  }

  /// Guards against an incomplete event that the client would treat as
  /// complete.
  void incompleteEventIsBuffered() {
    EventSplitter Splitter;
    CPPUNIT_ASSERT(Splitter.accept("id: 1\ndata: ab").empty());
    const auto Events = Splitter.accept("c\n\nid: 2");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Events.size());
    CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: abc\n\n"),
                         Events[0].m_Bytes);
    CPPUNIT_ASSERT_EQUAL(std::string("id: 2"), Splitter.incompleteEvent());
  }

  /// Splits \p Stream, which has events 1 and 2, in two reads at each position.
  static void assertTwoEventsAtEachBoundary(const std::string &Stream) {
    for (std::size_t ReadBoundary = 0; ReadBoundary <= Stream.size();
         ++ReadBoundary) {
      EventSplitter Splitter;
      std::vector<RawEvent> Events =
          Splitter.accept(Stream.substr(0, ReadBoundary));
      for (RawEvent &Event : Splitter.accept(Stream.substr(ReadBoundary)))
        Events.push_back(std::move(Event));
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Events.size());
      CPPUNIT_ASSERT(Events[0].m_Id == 1U && Events[1].m_Id == 2U);
      CPPUNIT_ASSERT_EQUAL(Stream, Events[0].m_Bytes + Events[1].m_Bytes);
      CPPUNIT_ASSERT(Splitter.incompleteEvent().empty());
    }
  }

  /// Guards against events that depend on how the network divided the bytes
  /// into reads.
  void eventsDoNotDependOnReadBoundaries() {
    assertTwoEventsAtEachBoundary("id: 1\r\ndata: a\r\n\r\nid:2\ndata: b\n\n");
  }

  /// Guards against a stream whose events are held back until it ends.
  void linesEndWithCrAlone() {
    assertTwoEventsAtEachBoundary("id: 1\rdata: a\r\rid:2\rdata: b\r\r");
  }

  /// The CR of the last line end arrives before its LF. Guards against a byte
  /// that is lost or taken for a further event.
  void lineEndOfTwoReadsIsNoBlankLine() {
    EventSplitter Splitter;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Splitter.accept("id: 1\r\n\r").size());
    CPPUNIT_ASSERT(Splitter.accept("\n").empty());
    CPPUNIT_ASSERT(!Splitter.isInsideEvent());
    const auto Events = Splitter.accept("id: 2\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Events.size());
    CPPUNIT_ASSERT_EQUAL(std::string("\nid: 2\r\n\r\n"), Events[0].m_Bytes);
    CPPUNIT_ASSERT(Events[0].m_Id == 2U);
  }

  void restOfAStreamIsInsideAnEventOrNot() {
    const std::string Event = "id: 1\n\n";
    for (const char *Rest :
         {"i", "data: a\n", "data: a\r", "data: a\r\n", ": cut comment",
          "\ndata: a", ": comment\nid: 2\n"}) {
      EventSplitter Splitter;
      Splitter.accept(Event + Rest);
      CPPUNIT_ASSERT_MESSAGE(Rest, Splitter.isInsideEvent());
    }
    for (const char *Rest : {"", "\n", "\r\n", "\r", ": comment\n",
                             "\n: comment\r: another\r\n"}) {
      EventSplitter Splitter;
      Splitter.accept(Event + Rest);
      CPPUNIT_ASSERT_MESSAGE(Rest, !Splitter.isInsideEvent());
      CPPUNIT_ASSERT_EQUAL(std::string(Rest), Splitter.incompleteEvent());
    }
    EventSplitter Oversized;
    Oversized.accept(std::string(300000, 'x'));
    CPPUNIT_ASSERT(Oversized.isInsideEvent());
  }

  /// Guards against a client that receives an event twice or misses one.
  void resumedAttemptIsJoinedWithoutGapOrDuplicate() {
    using Verdict = EventSequenceFilter::Verdict;
    EventSequenceFilter Sequence{std::nullopt};
    CPPUNIT_ASSERT(Sequence.accept(event(1)) == Verdict::Deliver);
    CPPUNIT_ASSERT(Sequence.accept(event(2)) == Verdict::Deliver);
    CPPUNIT_ASSERT(Sequence.accept(event(2)) == Verdict::Duplicate);
    CPPUNIT_ASSERT(Sequence.accept(event(4)) == Verdict::Gap);
    CPPUNIT_ASSERT(Sequence.accept(event(3)) == Verdict::Deliver);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, Sequence.deliveredCount());
    EventSequenceFilter Resumed{std::uint64_t{12}};
    CPPUNIT_ASSERT(Resumed.accept(event(12)) == Verdict::Duplicate);
    CPPUNIT_ASSERT(Resumed.accept(event(14)) == Verdict::Gap);
    CPPUNIT_ASSERT(Resumed.accept(event(13)) == Verdict::Deliver);
  }

  /// Guards against resuming a stream after an event without an ID, so that the
  /// position to resume at is unknown.
  void eventWithoutIdPreventsResumption() {
    EventSequenceFilter Sequence{std::nullopt};
    CPPUNIT_ASSERT(Sequence.canResume());
    Sequence.accept({"data: x\n\n", std::nullopt});
    CPPUNIT_ASSERT(!Sequence.canResume());
  }

  /// Guards against a stream that ends as complete although an earlier attempt
  /// has shown a further event.
  void eventThatWasBegunIsMissingUntilOneIsDelivered() {
    EventSequenceFilter Sequence{std::nullopt};
    Sequence.beginAttempt();
    Sequence.accept(event(1));
    Sequence.accept(event(2));
    Sequence.endAttempt(false);
    CPPUNIT_ASSERT(!Sequence.isEventMissing());
    Sequence.beginAttempt();
    Sequence.endAttempt(true);
    CPPUNIT_ASSERT(Sequence.isEventMissing());
    Sequence.beginAttempt();
    Sequence.accept(event(2));
    Sequence.endAttempt(false);
    CPPUNIT_ASSERT(Sequence.isEventMissing());
    Sequence.accept(event(3));
    CPPUNIT_ASSERT(!Sequence.isEventMissing());
    // An attempt that repeats event 1 broke off inside its event 2.
    Sequence.beginAttempt();
    Sequence.accept(event(1));
    Sequence.endAttempt(true);
    CPPUNIT_ASSERT(!Sequence.isEventMissing());
    Sequence.accept(event(5));
    CPPUNIT_ASSERT(Sequence.isEventMissing());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventSplitterTest);

} // namespace fulmarwinch
