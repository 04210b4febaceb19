#include "core/event_log.h"
#include "core/json.h"

#include "cppunit/extensions/HelperMacros.h"

#include <array>
#include <sstream>
#include <unistd.h>

namespace fulmarwinch {

/// Tests the format of log lines and the behaviour with a stopped reader or too
/// many lines.
class EventLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventLogTest);
  CPPUNIT_TEST(linesAreValidJsonForAnyValue);
  CPPUNIT_TEST(stoppedReaderLosesLinesWithoutBlocking);
  CPPUNIT_TEST(tooFrequentEventIsDiscardedAndCounted);
  CPPUNIT_TEST_SUITE_END();

  std::array<int, 2> m_Pipe{};

public:
  void setUp() override { CPPUNIT_ASSERT(pipe(m_Pipe.data()) == 0); }
  void tearDown() override {
    close(m_Pipe[0]);
    close(m_Pipe[1]);
  }

private:
  /// Returns everything that is in the pipe, up to 1 MiB.
  std::string readAll() {
    std::string Text(1U << 20U, '\0');
    const ssize_t Size = read(m_Pipe[0], Text.data(), Text.size());
    Text.resize(Size > 0 ? static_cast<std::size_t>(Size) : 0);
    return Text;
  }

  void linesAreValidJsonForAnyValue() {
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

  /// Guards against a node that blocks because the reader of its log has
  /// stopped reading.
  void stoppedReaderLosesLinesWithoutBlocking() {
    EventLogSettings Settings;
    Settings.m_MaxLinesPerSecond = 1000000;
    Settings.m_MaxBufferedBytes = 4096;
    EventLog Log(m_Pipe[1], Settings);
    const std::string LongValue(500, 'x');
    for (int I = 0; I < 1000; ++I) {
      Log.write("sent", {{"id", LongValue}});
      Log.flush();
    }
    CPPUNIT_ASSERT(Log.discardedLines() > 0);
  }

  void tooFrequentEventIsDiscardedAndCounted() {
    EventLogSettings Settings;
    Settings.m_MaxLinesPerSecond = 5;
    EventLog Log(m_Pipe[1], Settings);
    for (int I = 0; I < 50; ++I)
      Log.write("flood", {});
    Log.write("other", {});
    Log.flush();
    const std::string Text = readAll();
    CPPUNIT_ASSERT(Text.find("\"other\"") != std::string::npos);
    CPPUNIT_ASSERT(Log.discardedLines() >= 40);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventLogTest);

} // namespace fulmarwinch
