#include "servers/fleet/fleet_view.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

using std::chrono::seconds;

/// View of the backend servers when store entries arrive late, repeatedly or
/// not at all.
class FleetViewTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetViewTest);
  CPPUNIT_TEST(olderRevisionsAreIgnored);
  CPPUNIT_TEST(listReturnsChangedServers);
  CPPUNIT_TEST(unchangedEntryDoesNotRestartColdTime);
  CPPUNIT_TEST(endpointsAreValidated);
  CPPUNIT_TEST(entriesOfUnnamedServicesAreExcluded);
  CPPUNIT_TEST(olderListingOfTheSameReportMovesNoPositionBack);
  CPPUNIT_TEST(entryOfACopyBringsNoLeavingServerBack);
  CPPUNIT_TEST(serverThatTheCopyLacksIsKeptForAWhile);
  CPPUNIT_TEST(removedEntryOfACopyIsNoServer);
  CPPUNIT_TEST(listingAtTheEndOfARestorationDecides);
  CPPUNIT_TEST_SUITE_END();

  MonotonicTime m_Now{seconds(1000)};

  static BackendServer server(const std::string &Id, std::uint64_t Revision,
                              bool Draining = false) {
    BackendServer Result;
    Result.m_Id = Id;
    Result.m_Position = Revision;
    Result.m_Draining = Draining;
    return Result;
  }

  /// Guards against a draining server that receives requests again because of
  /// an older entry.
  void olderRevisionsAreIgnored() {
    FleetView Fleet;
    CPPUNIT_ASSERT(Fleet.update(server("a", 5, true), m_Now));
    CPPUNIT_ASSERT(!Fleet.update(server("a", 4), m_Now));
    CPPUNIT_ASSERT(Fleet.find("a")->m_Draining);
    CPPUNIT_ASSERT(!Fleet.remove("a", 3));
    CPPUNIT_ASSERT(Fleet.remove("a", 6));
    CPPUNIT_ASSERT(!Fleet.find("a"));
  }

  /// Report \p Number of the process of server \p Id that started at
  /// \p StartedAtMs.
  static BackendServer report(const std::string &Id, StorePosition Position,
                              std::int64_t StartedAtMs, std::uint64_t Number,
                              bool Draining = false) {
    BackendServer Result = server(Id, 0, Draining);
    Result.m_Position = Position;
    Result.m_StartedAtMs = StartedAtMs;
    Result.m_ReportNumber = Number;
    return Result;
  }

  /// A listing is older than a change that a relay has forwarded, and the
  /// server does not count its reports. Guards against an older change that is
  /// applied after it.
  void olderListingOfTheSameReportMovesNoPositionBack() {
    FleetView Fleet;
    Fleet.update(report("a", {1, 9}, 1000, 0, true), m_Now);
    Fleet.replaceAll({report("a", {1, 7}, 1000, 0)}, m_Now);
    CPPUNIT_ASSERT(!Fleet.update(report("a", {1, 8}, 1000, 0), m_Now));
    CPPUNIT_ASSERT(!Fleet.acceptsNewWork(*Fleet.find("a")));
  }

  /// A server has said that it leaves, and the store returns from a copy in
  /// which it is ready. Guards against requests to it, and against one that is
  /// ignored because its next report has a lower revision.
  void entryOfACopyBringsNoLeavingServerBack() {
    FleetView Fleet;
    Fleet.update(report("a", {1, 90}, 1000, 12, true), m_Now);
    Fleet.update(report("b", {1, 91}, 1000, 4), m_Now);
    Fleet.replaceAll({report("a", {2, 40}, 1000, 9), //
                      report("b", {2, 41}, 1000, 4)},
                     m_Now, ListingTrust::MayBeOutdated);
    CPPUNIT_ASSERT(!Fleet.acceptsNewWork(*Fleet.find("a")));
    CPPUNIT_ASSERT(Fleet.update(report("b", {2, 45}, 1000, 5, true), m_Now));
    CPPUNIT_ASSERT(!Fleet.acceptsNewWork(*Fleet.find("b")));
    // The process that follows at the ID takes requests.
    CPPUNIT_ASSERT(Fleet.update(report("a", {2, 46}, 2000, 1), m_Now));
    CPPUNIT_ASSERT(Fleet.acceptsNewWork(*Fleet.find("a")));
  }

  /// A server registered after the copy was made. Guards against requests that
  /// find no server until it has written its entry again, and against a server
  /// that stays for good after it has ended.
  void serverThatTheCopyLacksIsKeptForAWhile() {
    FleetView Fleet;
    Fleet.update(report("back", {1, 90}, 1000, 1), m_Now);
    Fleet.update(report("gone", {1, 91}, 1000, 1), m_Now);
    Fleet.replaceAll({}, m_Now, ListingTrust::MayBeOutdated);
    CPPUNIT_ASSERT(Fleet.find("back") && Fleet.find("gone"));
    CPPUNIT_ASSERT(Fleet.removeMissing(m_Now + seconds(2)).empty());
    Fleet.update(report("back", {2, 40}, 1000, 2), m_Now + seconds(2));
    CPPUNIT_ASSERT(Fleet.removeMissing(m_Now + seconds(3)) ==
                   std::vector<std::string>{"gone"});
    CPPUNIT_ASSERT(Fleet.find("back") && !Fleet.find("gone"));
  }

  /// A server's entry was removed, and the copy has it again. Guards against
  /// requests to a server that has left.
  void removedEntryOfACopyIsNoServer() {
    FleetView Fleet;
    Fleet.update(report("left", {1, 80}, 1000, 7), m_Now);
    Fleet.update(report("lapsed", {1, 81}, 1000, 7), m_Now);
    Fleet.remove("left", {1, 90});
    Fleet.remove("lapsed", {1, 91});
    // Within an era the store's order decides.
    CPPUNIT_ASSERT(Fleet.update(report("lapsed", {1, 92}, 1000, 8), m_Now));
    Fleet.remove("lapsed", {1, 93});

    Fleet.replaceAll(
        {report("left", {2, 40}, 1000, 7), report("lapsed", {2, 41}, 1000, 7)},
        m_Now, ListingTrust::MayBeOutdated);
    CPPUNIT_ASSERT(!Fleet.find("left") && !Fleet.find("lapsed"));
    CPPUNIT_ASSERT(Fleet.update(report("lapsed", {2, 50}, 1000, 9), m_Now));
    CPPUNIT_ASSERT(Fleet.find("lapsed"));
  }

  /// A server returned to an earlier state while the store was away, so that
  /// its entry did not change again. Guards against a state that is kept for
  /// good.
  void listingAtTheEndOfARestorationDecides() {
    FleetView Fleet;
    Fleet.update(report("kept", {1, 90}, 1000, 12, true), m_Now);
    Fleet.update(report("removed", {1, 91}, 1000, 5), m_Now);
    Fleet.update(report("missing", {1, 92}, 1000, 5), m_Now);
    Fleet.remove("removed", {1, 93});
    const std::vector<BackendServer> Listing{
        report("kept", {2, 40}, 1000, 9), report("removed", {2, 41}, 1000, 5)};
    Fleet.replaceAll(Listing, m_Now, ListingTrust::MayBeOutdated);
    CPPUNIT_ASSERT(Fleet.find("kept")->m_Draining);
    Fleet.replaceAll(Listing, m_Now + seconds(4));
    CPPUNIT_ASSERT(!Fleet.find("kept")->m_Draining);
    CPPUNIT_ASSERT(Fleet.find("removed"));
    CPPUNIT_ASSERT(!Fleet.find("missing"));
  }

  /// Guards against a server that remains in the view although its entry was
  /// deleted while the change history of the store was unavailable.
  void listReturnsChangedServers() {
    FleetView Fleet;
    Fleet.update(server("same", 1), m_Now);
    Fleet.update(server("gone", 2), m_Now);
    Fleet.update(server("leaves", 3), m_Now);
    const auto Changed = Fleet.replaceAll(
        {server("same", 1), server("leaves", 9, true), server("new", 8)},
        m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Changed.size());
    CPPUNIT_ASSERT(!Fleet.find("gone"));
    CPPUNIT_ASSERT(Fleet.find("new"));
    CPPUNIT_ASSERT(!Fleet.acceptsNewWork(*Fleet.find("leaves")));
  }

  /// Guards against a cold start time that begins again with each list call.
  void unchangedEntryDoesNotRestartColdTime() {
    FleetView Fleet;
    BackendServer Cold = server("a", 1);
    Cold.m_RemainingColdTime = seconds(3);
    Fleet.update(Cold, m_Now);
    m_Now += seconds(2);
    Fleet.replaceAll({Cold}, m_Now);
    CPPUNIT_ASSERT(Fleet.remainingColdTime("a", m_Now) == seconds(1));
    m_Now += seconds(2);
    CPPUNIT_ASSERT(Fleet.remainingColdTime("a", m_Now) == Duration::zero());
  }

  /// Guards against an entry of another program that is taken for a server, and
  /// against a server that stays away although a later configuration names its
  /// service.
  void entriesOfUnnamedServicesAreExcluded() {
    const auto ServerOf = [](const std::string &Service, const std::string &Id,
                             std::uint64_t Revision) {
      BackendServer Result = server(Id, Revision);
      Result.m_Service = Service;
      Result.m_Membership =
          GroupMembership{{"m.1.1", 100001}, 0, GroupMemberState::Open};
      return Result;
    };
    FleetView Fleet;
    Fleet.setServices({"llm"}, m_Now);
    Fleet.replaceAll({ServerOf("llm", "a", 1), ServerOf("odd", "b", 2)}, m_Now);
    CPPUNIT_ASSERT(!Fleet.update(ServerOf("odd", "c", 3), m_Now));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Fleet.servers().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Fleet.excludedEntries().size());
    CPPUNIT_ASSERT_EQUAL(std::string("a"),
                         Fleet.groups().begin()->second.m_Head->m_Id);

    Fleet.remove("c", 4);
    CPPUNIT_ASSERT(Fleet.membersWithoutEntry({"m.1.1", 100001}).empty());

    Fleet.setServices({"odd"}, m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Fleet.servers().size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         Fleet.groups().begin()->second.m_Head->m_Id);
    Fleet.setServices({"llm", "odd"}, m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Fleet.servers().size());
    CPPUNIT_ASSERT(Fleet.excludedEntries().empty());
  }

  /// Guards against accepting malformed endpoints or invalid ports.
  void endpointsAreValidated() {
    CPPUNIT_ASSERT(parseEndpoint("10.0.0.1:80")->m_Port == 80);
    for (const char *Text :
         {"", ":80", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:x"})
      CPPUNIT_ASSERT(!parseEndpoint(Text));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetViewTest);

} // namespace fulmarwinch
