#include "servers/routes/route_table.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

/// Lookup of routes, services and organisations.
class RouteTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouteTableTest);
  CPPUNIT_TEST(longestPathPrefixMatches);
  CPPUNIT_TEST(pathPrefixMatchesOnlyWholeSegments);
  CPPUNIT_TEST(hostMatchesRegardlessOfCaseAndPort);
  CPPUNIT_TEST(weightsDivideTheTraffic);
  CPPUNIT_TEST(organisationIsFoundByAnyOfItsApiKeys);
  CPPUNIT_TEST(configurationOfACopyReplacesNoLaterOne);
  CPPUNIT_TEST(prioritiesMatterOnlyIfTheyDiffer);
  CPPUNIT_TEST_SUITE_END();

  static Route route(const std::string &Name, const std::string &Prefix) {
    Route Result;
    Result.m_Name = Name;
    Result.m_Host = "Reports.Example";
    Result.m_PathPrefix = Prefix;
    Result.m_Services = {{"llm", 1}};
    return Result;
  }

  static RouteTable routeTable() {
    TrafficConfiguration Configuration;
    Configuration.m_Version = 1;
    Configuration.m_Routes = {route("all", "/"), route("a", "/a/"),
                              route("ab", "/a/b/")};
    Configuration.m_Organisations = {{"org", {"k1", "k2"}, 0}};
    Configuration.m_RequiresApiKeys = true;
    return RouteTable(std::move(Configuration));
  }

  /// The store returns from a copy that has an older configuration. Guards
  /// against a node that goes back to it, and against one that ignores the next
  /// version because its revision is lower.
  void configurationOfACopyReplacesNoLaterOne() {
    const ConfigurationOrder InForce{13, {1, 245}};
    CPPUNIT_ASSERT(!(InForce < ConfigurationOrder{10, {2, 237}}));
    CPPUNIT_ASSERT((InForce < ConfigurationOrder{15, {2, 240}}));
    CPPUNIT_ASSERT((InForce < ConfigurationOrder{13, {2, 238}}));
  }

  /// Guards against a change for services whose requests all have the same
  /// priority, and against an organisation's priority that is ignored.
  void prioritiesMatterOnlyIfTheyDiffer() {
    TrafficConfiguration Configuration = routeTable().configuration();
    CPPUNIT_ASSERT(!RouteTable(Configuration).hasPriorities("llm"));
    Configuration.m_Organisations.push_back({"urgent", {"k3"}, 1});
    CPPUNIT_ASSERT(RouteTable(Configuration).hasPriorities("llm"));
    CPPUNIT_ASSERT(!RouteTable(Configuration).hasPriorities("another"));
    Configuration.m_Organisations.clear();
    CPPUNIT_ASSERT(!RouteTable(Configuration).hasPriorities("llm"));
    Configuration.m_Routes.back().m_Priority = 2;
    CPPUNIT_ASSERT(RouteTable(Configuration).hasPriorities("llm"));
    const Route &Last = Configuration.m_Routes.back();
    const OrganisationSpec Urgent{"urgent", {}, 0};
    const OrganisationSpec Unset{"unset", {}, -1};
    CPPUNIT_ASSERT_EQUAL(2U, requestPriority(Last, nullptr));
    CPPUNIT_ASSERT_EQUAL(2U, requestPriority(Last, &Unset));
    CPPUNIT_ASSERT_EQUAL(0U, requestPriority(Last, &Urgent));
  }

  /// Guards against matching the route of a shorter path prefix.
  void longestPathPrefixMatches() {
    const RouteTable Table = routeTable();
    const auto Name = [&](const char *Path) {
      return Table.findRoute("reports.example", Path)->m_Name;
    };
    CPPUNIT_ASSERT_EQUAL(std::string("ab"), Name("/a/b/c?x=/a/"));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), Name("/a/c/b/"));
    CPPUNIT_ASSERT_EQUAL(std::string("all"), Name("/"));
  }

  /// Guards against matching the path "/ab" to the route of "/a/".
  void pathPrefixMatchesOnlyWholeSegments() {
    const RouteTable Table = routeTable();
    CPPUNIT_ASSERT_EQUAL(std::string("all"),
                         Table.findRoute("reports.example", "/ab")->m_Name);
    CPPUNIT_ASSERT(!Table.findRoute("reports.example", "a/b/"));
  }

  /// Guards against requests without a route because of the case or the port in
  /// their Host header.
  void hostMatchesRegardlessOfCaseAndPort() {
    const RouteTable Table = routeTable();
    CPPUNIT_ASSERT(Table.findRoute("REPORTS.example:80", "/a/"));
    CPPUNIT_ASSERT(!Table.findRoute("other.example", "/a/"));
  }

  /// Guards against weights that send all traffic to one service.
  void weightsDivideTheTraffic() {
    Route WeightedRoute = route("split", "/");
    WeightedRoute.m_Services = {{"old", 90}, {"new", 10}};
    CPPUNIT_ASSERT_EQUAL(std::string("old"), chooseService(WeightedRoute, 0.0));
    CPPUNIT_ASSERT_EQUAL(std::string("old"),
                         chooseService(WeightedRoute, 0.89));
    CPPUNIT_ASSERT_EQUAL(std::string("new"),
                         chooseService(WeightedRoute, 0.91));
    CPPUNIT_ASSERT_EQUAL(std::string("new"),
                         chooseService(WeightedRoute, 0.9999));
  }

  /// Guards against accepting an unknown API key.
  void organisationIsFoundByAnyOfItsApiKeys() {
    const RouteTable Table = routeTable();
    CPPUNIT_ASSERT_EQUAL(std::string("org"),
                         Table.findOrganisation("k2")->m_Name);
    CPPUNIT_ASSERT(!Table.findOrganisation("k3"));
    CPPUNIT_ASSERT(Table.requiresApiKeys());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteTableTest);

} // namespace fulmarwinch
