#include "drivers/platform/http_object_store.h"
#include "drivers/standin/platform_standin.h"
#include "tests/support/free_port.h"

#include "cppunit/extensions/HelperMacros.h"
#include "fmt/format.h"

#include <future>
#include <thread>

namespace fulmarwinch {

/// Tests the client of the platform's API against the platform stand-in.
class HttpObjectStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpObjectStoreTest);
  CPPUNIT_TEST(putFailsIfVersionDiffers);
  CPPUNIT_TEST(versionIncreasesAcrossDeletion);
  CPPUNIT_TEST(appliedWriteWithLostResponseIsUnknown);
  CPPUNIT_TEST(timedOutWriteIsUnknownAndAppliedLater);
  CPPUNIT_TEST(rejectedCallsAreUnavailable);
  CPPUNIT_TEST(refusedConnectionIsUnavailable);
  CPPUNIT_TEST(valueWithInvalidUtf8IsNotSent);
  CPPUNIT_TEST(watchReportsOnlyKeysBelowItsPrefix);
  CPPUNIT_TEST(watchWithoutChangeIsNoOutage);
  CPPUNIT_TEST(watchBeforeRetainedHistoryIsNotFound);
  CPPUNIT_TEST(listsKeysInPagesWithoutGaps);
  CPPUNIT_TEST(listsVmsWithConfiguredLag);
  CPPUNIT_TEST(versionsOfARestoredStoreNameItsEra);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { CPPUNIT_ASSERT(m_Platform.start(m_Port).ok()); }

  void tearDown() override { m_Platform.stop(); }

  /// Guards against two writers that both receive a success for the same
  /// expected version.
  void putFailsIfVersionDiffers() {
    const WriteCompleted First = put("configuration/head", 0, "one");
    CPPUNIT_ASSERT(First.m_Outcome == StoreOutcome::Succeeded);
    const WriteCompleted Second = put("configuration/head", 0, "two");
    CPPUNIT_ASSERT(Second.m_Outcome == StoreOutcome::Conflict);
    CPPUNIT_ASSERT_EQUAL(First.m_Version, Second.m_Version);
    const GetCompleted Read = get("configuration/head");
    CPPUNIT_ASSERT(Read.m_Outcome == StoreOutcome::Succeeded);
    CPPUNIT_ASSERT_EQUAL(std::string("one"), Read.m_Value);
    CPPUNIT_ASSERT_EQUAL(First.m_Version, Read.m_Version);
    CPPUNIT_ASSERT_EQUAL(StoreCallId{7}, Read.m_Id);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                         m_Store.callCount(StoreCallKind::Put));
    CPPUNIT_ASSERT(get("configuration%2Fhead").m_Outcome ==
                   StoreOutcome::NotFound);
  }

  /// Guards against a delayed conditional write that is applied to an object
  /// after it was deleted and created again: its version must not recur.
  void versionIncreasesAcrossDeletion() {
    const ObjectVersion First = put("a", 0, "1").m_Version;
    CPPUNIT_ASSERT(remove("a", First.next()).m_Outcome ==
                   StoreOutcome::Conflict);
    CPPUNIT_ASSERT(remove("a", First).m_Outcome == StoreOutcome::Succeeded);
    CPPUNIT_ASSERT(remove("a", First).m_Outcome == StoreOutcome::NotFound);
    CPPUNIT_ASSERT(put("a", 0, "2").m_Version > First);
    CPPUNIT_ASSERT(put("a", First, "3").m_Outcome == StoreOutcome::Conflict);
  }

  /// The platform returns from a copy and gives versions out again. Guards
  /// against a conditional write that succeeds against an object which its
  /// writer has never read, and against a watch that misses what changed.
  void versionsOfARestoredStoreNameItsEra() {
    const ObjectVersion First = put("a", 0, "1").m_Version;
    m_Platform.control({{"copy", "early"}});
    const ObjectVersion Lost = put("a", First, "2").m_Version;
    m_Platform.control({{"restore", "early"}});
    CPPUNIT_ASSERT(watch("a", Lost, Duration::zero()).m_Outcome ==
                   StoreOutcome::NotFound);
    const GetCompleted Read = get("a");
    CPPUNIT_ASSERT_EQUAL(StoreEra{1}, Read.m_Era);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), Read.m_Value);
    CPPUNIT_ASSERT_EQUAL(StorePosition(1, First.m_Revision), Read.m_Version);

    const ObjectVersion Recurred = put("a", Read.m_Version, "3").m_Version;
    CPPUNIT_ASSERT_EQUAL(Lost.m_Revision, Recurred.m_Revision);
    const WriteCompleted OfTheEraBefore = put("a", Lost, "4");
    CPPUNIT_ASSERT(OfTheEraBefore.m_Outcome == StoreOutcome::Conflict);
    CPPUNIT_ASSERT_EQUAL(StoreEra{1}, OfTheEraBefore.m_Era);
    CPPUNIT_ASSERT_EQUAL(StoreEra{1}, get("missing").m_Era);
    CPPUNIT_ASSERT_EQUAL(Recurred, list("a", "", 1).m_Keys.at(0).m_Version);
  }

  /// Guards against a write that was applied but is reported as not executed,
  /// or sent again, because its response was lost.
  void appliedWriteWithLostResponseIsUnknown() {
    m_Platform.control({{"lose_answers", 1.0}});
    CPPUNIT_ASSERT(put("a", 0, "1").m_Outcome == StoreOutcome::Unknown);
    CPPUNIT_ASSERT(get("a").m_Outcome == StoreOutcome::Succeeded);
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t{1},
        m_Platform.status()["counts"]["put"].get<std::uint64_t>());
  }

  /// Guards against a write that is reported as not executed because it timed
  /// out, although the platform still executes it later.
  void timedOutWriteIsUnknownAndAppliedLater() {
    HttpObjectStoreOptions Options = options();
    Options.m_WriteTimeout = std::chrono::seconds(1);
    HttpObjectStore ShortTimeoutStore(Options, m_Client);
    m_Platform.control({{"slow_ms", 1500}});
    CPPUNIT_ASSERT(put(ShortTimeoutStore, "a", 0, "1").m_Outcome ==
                   StoreOutcome::Unknown);
    m_Platform.control({{"slow_ms", 0}});
    CPPUNIT_ASSERT(watch("a", 0, std::chrono::seconds(10)).m_Events.size() ==
                   1);
  }

  /// Guards against a call that the platform rejected but that is reported as
  /// unknown, which would cost the caller another read and a write that fences
  /// off the first one.
  void rejectedCallsAreUnavailable() {
    CPPUNIT_ASSERT(put("large", 0, std::string(1000001, 'x')).m_Outcome ==
                   StoreOutcome::Unavailable);
    m_Platform.control({{"outage", true}});
    CPPUNIT_ASSERT(put("a", 0, "1").m_Outcome == StoreOutcome::Unavailable);
    CPPUNIT_ASSERT(get("a").m_Outcome == StoreOutcome::Unavailable);
    CPPUNIT_ASSERT(list("", "", 10).m_Outcome == StoreOutcome::Unavailable);
    m_Platform.control({{"outage", false}, {"writes_per_s", 0.001}});
    CPPUNIT_ASSERT(put("a", 0, "1").m_Outcome == StoreOutcome::Succeeded);
    CPPUNIT_ASSERT(put("b", 0, "1").m_Outcome == StoreOutcome::Unavailable);
    CPPUNIT_ASSERT(get("b").m_Outcome == StoreOutcome::NotFound);
  }

  /// Guards against a write that is reported as unknown although no byte of it
  /// was sent.
  void refusedConnectionIsUnavailable() {
    m_Platform.stop();
    CPPUNIT_ASSERT(put("a", 0, "1").m_Outcome == StoreOutcome::Unavailable);
    CPPUNIT_ASSERT(get("a").m_Outcome == StoreOutcome::Unavailable);
  }

  /// Guards against an exception on the caller's thread for a value that is not
  /// valid UTF-8 and so cannot be encoded as JSON.
  void valueWithInvalidUtf8IsNotSent() {
    CPPUNIT_ASSERT(put("a", 0, "\xff").m_Outcome == StoreOutcome::Unavailable);
    CPPUNIT_ASSERT(get("a").m_Outcome == StoreOutcome::NotFound);
  }

  /// Guards against a watch that does not end at a change below its prefix, or
  /// that ends at a change of another key.
  void watchReportsOnlyKeysBelowItsPrefix() {
    const auto Done = std::make_shared<std::promise<KeysWatched>>();
    m_Store.watch(
        {"lease/", 0, std::chrono::seconds(30)},
        [Done](const KeysWatched &Completion) { Done->set_value(Completion); });
    while (waitingWatchCount() == 0)
      std::this_thread::yield();
    put("plan/1", 0, "x");
    CPPUNIT_ASSERT_EQUAL(1, waitingWatchCount());
    const ObjectVersion Version = put("lease/1", 0, "x").m_Version;
    CPPUNIT_ASSERT_EQUAL(0, waitingWatchCount());
    const KeysWatched Completion = Done->get_future().get();
    CPPUNIT_ASSERT(Completion.m_Outcome == StoreOutcome::Succeeded);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Completion.m_Events.size());
    CPPUNIT_ASSERT_EQUAL(std::string("lease/1"), Completion.m_Events[0].m_Key);
    CPPUNIT_ASSERT_EQUAL(Version, Completion.m_Events[0].m_Version);
    CPPUNIT_ASSERT_EQUAL(Version, Completion.m_Position);
  }

  /// Guards against a watch that ends without changes and is reported as an
  /// outage.
  void watchWithoutChangeIsNoOutage() {
    const KeysWatched Completion = watch("a", 0, std::chrono::milliseconds(20));
    CPPUNIT_ASSERT(Completion.m_Outcome == StoreOutcome::Succeeded);
    CPPUNIT_ASSERT(Completion.m_Events.empty());
  }

  /// Guards against changes that a watch misses because they are older than the
  /// retained history.
  void watchBeforeRetainedHistoryIsNotFound() {
    for (int Index = 0; Index < 4; ++Index)
      put(fmt::format("key{}", Index), 0, "x");
    CPPUNIT_ASSERT(watch("key", 0, Duration::zero()).m_Outcome ==
                   StoreOutcome::NotFound);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3},
                         watch("key", 1, Duration::zero()).m_Events.size());
  }

  /// Guards against keys that are missing from or repeated on the next page.
  void listsKeysInPagesWithoutGaps() {
    for (const char *Key : {"a/1", "a/2", "a/3", "b/1"})
      put(Key, 0, "x");
    const KeysListed First = list("a/", "", 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, First.m_Keys.size());
    CPPUNIT_ASSERT(First.m_HasMore);
    const KeysListed Rest = list("a/", First.m_Keys.back().m_Key, 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Rest.m_Keys.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a/3"), Rest.m_Keys[0].m_Key);
    CPPUNIT_ASSERT(!Rest.m_HasMore);
    CPPUNIT_ASSERT_EQUAL(StorePosition(4), Rest.m_Position);
  }

  /// Guards against a VM list that shows changes before its configured lag has
  /// passed.
  void listsVmsWithConfiguredLag() {
    m_Platform.control({{"vms", {{{"vm", "a1"}, {"domain", "d1"}}}}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, listVms().m_Vms.size());
    CPPUNIT_ASSERT_EQUAL(std::string("d1"), listVms().m_Vms[0].m_Domain);
    m_Platform.control({{"vm_lag_ms", 3600000},
                        {"vms", {{{"vm", "a1"}, {"state", "leaving"}}}}});
    CPPUNIT_ASSERT(listVms().m_Vms.empty());
    m_Platform.control({{"vm_lag_ms", 0}});
    CPPUNIT_ASSERT(listVms().m_Vms[0].m_State ==
                   PlatformVmState::RemovalAnnounced);
  }

private:
  HttpObjectStoreOptions options() const {
    HttpObjectStoreOptions Options;
    Options.m_Address = fmt::format("127.0.0.1:{}", m_Port);
    Options.m_ReadTimeout = std::chrono::seconds(30);
    Options.m_WriteTimeout = std::chrono::seconds(30);
    return Options;
  }

  template <typename CompletionType>
  static CompletionType runAction(ObjectStore &Store, StoreAction Action) {
    std::promise<StoreCompletion> Done;
    Store.start(std::move(Action), [&Done](const StoreCompletion &Completion) {
      Done.set_value(Completion);
    });
    return std::get<CompletionType>(Done.get_future().get());
  }

  static WriteCompleted put(ObjectStore &Store, const std::string &Key,
                            ObjectVersion Expected, const std::string &Value) {
    return runAction<WriteCompleted>(Store, PutObject{7, Key, Expected, Value});
  }

  WriteCompleted put(const std::string &Key, ObjectVersion Expected,
                     const std::string &Value) {
    return put(m_Store, Key, Expected, Value);
  }

  WriteCompleted remove(const std::string &Key, ObjectVersion Expected) {
    return runAction<WriteCompleted>(m_Store, DeleteObject{7, Key, Expected});
  }

  GetCompleted get(const std::string &Key) {
    return runAction<GetCompleted>(m_Store, GetObject{7, Key});
  }

  KeysListed list(const std::string &Prefix, const std::string &After,
                  std::size_t Limit) {
    std::promise<KeysListed> Done;
    m_Store.list({Prefix, After, Limit}, [&Done](const KeysListed &Completion) {
      Done.set_value(Completion);
    });
    return Done.get_future().get();
  }

  KeysWatched watch(const std::string &Prefix, StorePosition Since,
                    Duration Timeout) {
    std::promise<KeysWatched> Done;
    m_Store.watch(
        {Prefix, Since, Timeout},
        [&Done](const KeysWatched &Completion) { Done.set_value(Completion); });
    return Done.get_future().get();
  }

  int waitingWatchCount() {
    return m_Platform.status()["watches_waiting"].get<int>();
  }

  VmsListed listVms() {
    std::promise<VmsListed> Done;
    m_Store.listVms(
        [&Done](const VmsListed &Completion) { Done.set_value(Completion); });
    return Done.get_future().get();
  }

  const std::uint16_t m_Port = findFreePort();
  PlatformStandin m_Platform{Json{{"history", 3}}};
  HttpClient m_Client;
  HttpObjectStore m_Store{options(), m_Client};
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpObjectStoreTest);

} // namespace fulmarwinch
