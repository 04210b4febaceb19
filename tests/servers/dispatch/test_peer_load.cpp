#include "servers/dispatch/peer_load.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

/// Sum of the in-flight requests that peers report.
class PeerLoadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerLoadTest);
  CPPUNIT_TEST(sumFollowsTheReports);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a sum that drifts from the reports when they change, name a
  /// server without requests or end: a server would count as full forever.
  void sumFollowsTheReports() {
    PeerLoad Load;
    CPPUNIT_ASSERT(Load.setReport("n1", {{"s1", 3}, {"s2", 0}}));
    CPPUNIT_ASSERT(Load.setReport("n2", {{"s1", 2}, {"s3", 1}}));
    CPPUNIT_ASSERT_EQUAL(5U, Load.inFlight("s1"));
    CPPUNIT_ASSERT_EQUAL(0U, Load.inFlight("s2"));
    CPPUNIT_ASSERT(!Load.setReport("n1", {{"s1", 1}, {"s2", 4}}));
    CPPUNIT_ASSERT_EQUAL(3U, Load.inFlight("s1"));
    CPPUNIT_ASSERT_EQUAL(4U, Load.inFlight("s2"));
    Load.removeReport("n1");
    Load.removeReport("n1");
    Load.removeReport("unknown");
    CPPUNIT_ASSERT_EQUAL(2U, Load.inFlight("s1"));
    CPPUNIT_ASSERT_EQUAL(0U, Load.inFlight("s2"));
    CPPUNIT_ASSERT(!Load.hasReport("n1"));
    CPPUNIT_ASSERT(!Load.setReport("n2", {}));
    CPPUNIT_ASSERT_EQUAL(0U, Load.inFlight("s1"));
    CPPUNIT_ASSERT_EQUAL(0U, Load.inFlight("s3"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerLoadTest);

} // namespace fulmarwinch
