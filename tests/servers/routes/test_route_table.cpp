#include "servers/routes/route_table.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

/// Selection of routes, services and organisations.
class RouteTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouteTableTest);
  CPPUNIT_TEST(longestPrefixWins);
  CPPUNIT_TEST(prefixEndsAtASlash);
  CPPUNIT_TEST(hostIgnoresCaseAndPort);
  CPPUNIT_TEST(weightsSplitTheTraffic);
  CPPUNIT_TEST(keysBelongToOrganisations);
  CPPUNIT_TEST_SUITE_END();

  static Route route(const std::string &Name, const std::string &Prefix) {
    Route Result;
    Result.m_Name = Name;
    Result.m_Host = "Reports.Example";
    Result.m_PathPrefix = Prefix;
    Result.m_Services = {{"llm", 1}};
    return Result;
  }

  static RouteTable table() {
    TrafficConfiguration Content;
    Content.m_Version = 1;
    Content.m_Routes = {route("all", "/"), route("a", "/a/"),
                        route("ab", "/a/b/")};
    Content.m_Organisations = {{"org", {"k1", "k2"}, 0}};
    return RouteTable(std::move(Content));
  }

  /// Guards against a request that takes the route of a shorter prefix.
  void longestPrefixWins() {
    const RouteTable Table = table();
    const auto Name = [&](const char *Path) {
      return Table.findRoute("reports.example", Path)->m_Name;
    };
    CPPUNIT_ASSERT_EQUAL(std::string("ab"), Name("/a/b/c?x=/a/"));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), Name("/a/c/b/"));
    CPPUNIT_ASSERT_EQUAL(std::string("all"), Name("/"));
  }

  /// Guards against "/ab" taking the route of "/a/".
  void prefixEndsAtASlash() {
    const RouteTable Table = table();
    CPPUNIT_ASSERT_EQUAL(std::string("all"),
                         Table.findRoute("reports.example", "/ab")->m_Name);
    CPPUNIT_ASSERT(!Table.findRoute("reports.example", "a/b/"));
  }

  void hostIgnoresCaseAndPort() {
    const RouteTable Table = table();
    CPPUNIT_ASSERT(Table.findRoute("REPORTS.example:80", "/a/"));
    CPPUNIT_ASSERT(!Table.findRoute("other.example", "/a/"));
  }

  /// Guards against a split that sends all traffic to one service.
  void weightsSplitTheTraffic() {
    Route Split = route("split", "/");
    Split.m_Services = {{"old", 90}, {"new", 10}};
    CPPUNIT_ASSERT_EQUAL(std::string("old"), chooseService(Split, 0.0));
    CPPUNIT_ASSERT_EQUAL(std::string("old"), chooseService(Split, 0.89));
    CPPUNIT_ASSERT_EQUAL(std::string("new"), chooseService(Split, 0.91));
    CPPUNIT_ASSERT_EQUAL(std::string("new"), chooseService(Split, 0.9999));
  }

  void keysBelongToOrganisations() {
    const RouteTable Table = table();
    CPPUNIT_ASSERT_EQUAL(std::string("org"),
                         Table.findOrganisation("k2")->m_Name);
    CPPUNIT_ASSERT(!Table.findOrganisation("k3"));
    CPPUNIT_ASSERT(Table.needsKeys());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteTableTest);

} // namespace fulmarwinch
