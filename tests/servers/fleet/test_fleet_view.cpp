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
