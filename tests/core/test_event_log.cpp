#include "core/event_log.h"
#include "core/json.h"

#include "cppunit/extensions/HelperMacros.h"

#include <array>
#include <sstream>
#include <unistd.h>

namespace fulmarwinch {

/// Structured log lines, also with a reader that has stopped reading.
class EventLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventLogTest);
  CPPUNIT_TEST(linesAreJsonWhateverTheyHold);
  CPPUNIT_TEST(stoppedReaderCostsLinesOnly);
  CPPUNIT_TEST(floodOfOneEventIsCounted);
  CPPUNIT_TEST_SUITE_END();

  std::array<int, 2> m_Pipe{};

public:
  void setUp() override { CPPUNIT_ASSERT(pipe(m_Pipe.data()) == 0); }
  void tearDown() override {
    close(m_Pipe[0]);
    close(m_Pipe[1]);
  }

private:
  std::string readAll() {
    std::string Text(1U << 20U, '\0');
    const ssize_t Size = read(m_Pipe[0], Text.data(), Text.size());
    Text.resize(Size > 0 ? static_cast<std::size_t>(Size) : 0);
    return Text;
  }

  void linesAreJsonWhateverTheyHold() {
    EventLog Log(m_Pipe[1]);
    Log.write(
        "sent",
        {{"id", "a\"b\n\x01\xff"}, {"count", std::int64_t{3}}, {"ok", true}});
    Log.flush();
    const auto Line = parseJson(readAll(), "line");
    CPPUNIT_ASSERT(Line.ok());
    CPPUNIT_ASSERT_EQUAL(std::string("sent"),
                         (*Line)["event"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(3, (*Line)["count"].get<int>());
  }

  /// Guards against a node that stands still because nobody reads its log.
  void stoppedReaderCostsLinesOnly() {
    EventLogSettings Settings;
    Settings.m_MaxLinesPerSecond = 1000000;
    Settings.m_MaxBufferedBytes = 4096;
    EventLog Log(m_Pipe[1], Settings);
    const std::string Long(500, 'x');
    for (int I = 0; I < 1000; ++I) {
      Log.write("sent", {{"id", Long}});
      Log.flush();
    }
    CPPUNIT_ASSERT(Log.droppedLines() > 0);
  }

  void floodOfOneEventIsCounted() {
    EventLogSettings Settings;
    Settings.m_MaxLinesPerSecond = 5;
    EventLog Log(m_Pipe[1], Settings);
    for (int I = 0; I < 50; ++I)
      Log.write("flood", {});
    Log.write("other", {});
    Log.flush();
    const std::string Text = readAll();
    CPPUNIT_ASSERT(Text.find("\"other\"") != std::string::npos);
    CPPUNIT_ASSERT(Log.droppedLines() >= 40);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventLogTest);

} // namespace fulmarwinch
