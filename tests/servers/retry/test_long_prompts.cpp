#include "servers/retry/crash_detector.h"
#include "tests/support/processor_time.h"

#include "cppunit/extensions/HelperMacros.h"

#include <string>

namespace fulmarwinch {

using std::chrono::seconds;

/// Prompts of many parts, whose contents the node has to record. What one of
/// them costs the event loop must not grow with what the node remembers.
class LongPromptsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LongPromptsTest);
  CPPUNIT_TEST(costOfACompletionDoesNotGrowWithTheRecords);
  CPPUNIT_TEST(costOfAServerEntryDoesNotGrowWithTheParts);
  CPPUNIT_TEST(fullTableKeepsItsEntriesUntilTheyExpire);
  CPPUNIT_TEST_SUITE_END();

  static constexpr MonotonicTime Start{seconds(1000)};
  static constexpr ContentHash Parts = 2000;

  static void complete(PoisonDetector &Detector, ContentHash First,
                       ContentHash Count, MonotonicTime Now) {
    for (ContentHash Hash = First; Hash < First + Count; ++Hash) {
      Detector.onDispatch(Hash, "s");
      Detector.onCompleted(Hash, "s", Now);
    }
  }

  /// Returns the cost of the completion of one prompt while \p MaxRecords
  /// completions are remembered.
  static double completionCost(std::size_t MaxRecords) {
    PoisonSettings Settings = poisonSettingsWithoutIsolation();
    Settings.m_MaxRecords = MaxRecords;
    PoisonDetector Detector(Settings);
    complete(Detector, 0, MaxRecords, Start);
    ContentHash Next = MaxRecords;
    return leastProcessorTime([&] {
      complete(Detector, Next, Parts, Start + seconds(1));
      Next += Parts;
    });
  }

  /// Guards against an event loop that stands still, because each part of a
  /// prompt walks through all recorded completions.
  void costOfACompletionDoesNotGrowWithTheRecords() {
    constexpr std::size_t FewRecords = 256;
    constexpr std::size_t ManyRecords = 64 * FewRecords;
    CPPUNIT_ASSERT(completionCost(ManyRecords) <
                   8 * completionCost(FewRecords));
  }

  /// Returns the cost of the changes of server entries while connections are
  /// watched that were lost with a prompt of \p Count parts each.
  static double entryCost(std::size_t Count) {
    PoisonDetector Detector(poisonSettingsWithoutIsolation());
    CrashDetector Watch(Detector);
    std::vector<ContentHash> Contents;
    for (ContentHash Hash = 0; Hash < Count; ++Hash)
      Contents.push_back(Hash);
    for (int I = 0; I < 50; ++I)
      Watch.onConnectionLost(Contents, "lost" + std::to_string(I), 1, Start);
    return leastProcessorTime([&] {
      for (int I = 0; I < 500; ++I)
        Watch.onServerEntryChanged("other", 1);
    });
  }

  /// Guards against the same for each change of an entry while connections of
  /// long prompts are watched.
  void costOfAServerEntryDoesNotGrowWithTheParts() {
    CPPUNIT_ASSERT(entryCost(Parts) < 8 * entryCost(1));
  }

  /// Guards against completions that are forgotten while they still exempt
  /// their content, and against ones that are never forgotten.
  void fullTableKeepsItsEntriesUntilTheyExpire() {
    PoisonSettings Settings = poisonSettingsWithoutIsolation();
    Settings.m_MaxRecords = 10;
    PoisonDetector Detector(Settings);
    const auto IsExempt = [&](ContentHash Hash, MonotonicTime Now) {
      const std::string Server = "s" + std::to_string(Hash);
      Detector.onDispatch(Hash, Server);
      Detector.onServerCrash(Server, Now);
      return !Detector.hasCrashes(Hash, Now);
    };
    complete(Detector, 0, 10, Start);
    // Renewed entries expire later and take no further room.
    complete(Detector, 0, 5, Start + seconds(4));
    complete(Detector, 20, 10, Start + seconds(5));
    CPPUNIT_ASSERT(IsExempt(0, Start + seconds(5)));
    CPPUNIT_ASSERT(IsExempt(9, Start + seconds(5)));
    CPPUNIT_ASSERT(!IsExempt(20, Start + seconds(5)));
    // Half of the first entries have expired and make room.
    complete(Detector, 30, 10, Start + seconds(11));
    CPPUNIT_ASSERT(IsExempt(1, Start + seconds(11)));
    CPPUNIT_ASSERT(!IsExempt(8, Start + seconds(11)));
    CPPUNIT_ASSERT(IsExempt(34, Start + seconds(11)));
    CPPUNIT_ASSERT(!IsExempt(35, Start + seconds(11)));
    CPPUNIT_ASSERT(!IsExempt(2, Start + seconds(15)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LongPromptsTest);

} // namespace fulmarwinch
