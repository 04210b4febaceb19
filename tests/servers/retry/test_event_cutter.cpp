#include "servers/retry/event_cutter.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

/// Streams that are cut, resumed and joined.
class EventCutterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventCutterTest);
  CPPUNIT_TEST(partOfAnEventIsHeldBack);
  CPPUNIT_TEST(everyCutGivesTheSameEvents);
  CPPUNIT_TEST(secondRunIsJoinedWithoutGapOrRepeat);
  CPPUNIT_TEST(eventWithoutIdEndsResumption);
  CPPUNIT_TEST_SUITE_END();

  static RawEvent event(std::uint64_t Id) {
    return {"id: " + std::to_string(Id) + "\n\n", Id};
  }

  /// Guards against half an event that the client takes for a whole one.
  void partOfAnEventIsHeldBack() {
    EventCutter Cutter;
    CPPUNIT_ASSERT(Cutter.accept("id: 1\ndata: ab").empty());
    const auto Events = Cutter.accept("c\n\nid: 2");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Events.size());
    CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: abc\n\n"),
                         Events[0].m_Bytes);
    CPPUNIT_ASSERT_EQUAL(std::string("id: 2"), Cutter.rest());
  }

  /// Guards against events that depend on how the network cut the bytes.
  void everyCutGivesTheSameEvents() {
    const std::string Stream = "id: 1\r\ndata: a\r\n\r\nid:2\ndata: b\n\n";
    for (std::size_t Cut = 0; Cut <= Stream.size(); ++Cut) {
      EventCutter Cutter;
      std::vector<RawEvent> Events = Cutter.accept(Stream.substr(0, Cut));
      for (RawEvent &Event : Cutter.accept(Stream.substr(Cut)))
        Events.push_back(std::move(Event));
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Events.size());
      CPPUNIT_ASSERT(Events[0].m_Id == 1U && Events[1].m_Id == 2U);
      CPPUNIT_ASSERT_EQUAL(Stream, Events[0].m_Bytes + Events[1].m_Bytes);
    }
  }

  /// Guards against a client that sees an event twice or misses one.
  void secondRunIsJoinedWithoutGapOrRepeat() {
    using Verdict = EventSequence::Verdict;
    EventSequence Sequence{std::nullopt};
    CPPUNIT_ASSERT(Sequence.accept(event(1)) == Verdict::Deliver);
    CPPUNIT_ASSERT(Sequence.accept(event(2)) == Verdict::Deliver);
    CPPUNIT_ASSERT(Sequence.accept(event(2)) == Verdict::Duplicate);
    CPPUNIT_ASSERT(Sequence.accept(event(4)) == Verdict::Gap);
    CPPUNIT_ASSERT(Sequence.accept(event(3)) == Verdict::Deliver);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, Sequence.delivered());
    EventSequence Resumed{std::uint64_t{12}};
    CPPUNIT_ASSERT(Resumed.accept(event(12)) == Verdict::Duplicate);
    CPPUNIT_ASSERT(Resumed.accept(event(14)) == Verdict::Gap);
    CPPUNIT_ASSERT(Resumed.accept(event(13)) == Verdict::Deliver);
  }

  void eventWithoutIdEndsResumption() {
    EventSequence Sequence{std::nullopt};
    CPPUNIT_ASSERT(Sequence.canResume());
    Sequence.accept({"data: x\n\n", std::nullopt});
    CPPUNIT_ASSERT(!Sequence.canResume());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventCutterTest);

} // namespace fulmarwinch
