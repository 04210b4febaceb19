#include "servers/feed/known_objects.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

/// Evacuations and nodes around a restoration of the store.
class KnownObjectsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KnownObjectsTest);
  CPPUNIT_TEST(evacuationThatTheCopyLacksStaysInForce);
  CPPUNIT_TEST_SUITE_END();

  using Zones = KnownObjects<int>;

  /// The operator evacuated a zone after the copy was made. Guards against
  /// requests to the zone until the operator has written the evacuation again.
  void evacuationThatTheCopyLacksStaysInForce() {
    Zones Evacuated;
    Evacuated.replaceAll({{"a", 1}}, ListingTrust::Latest);
    Evacuated.set("b", 1);
    Evacuated.remove("a");
    Evacuated.replaceAll({{"c", 2}}, ListingTrust::MayBeOutdated);
    CPPUNIT_ASSERT((Evacuated.objects() == Zones::Map{{"b", 1}, {"c", 2}}));
    Evacuated.remove("c");
    CPPUNIT_ASSERT((Evacuated.objects() == Zones::Map{{"b", 1}}));
    // At the end of the restoration the store decides.
    Evacuated.replaceAll({}, ListingTrust::Latest);
    CPPUNIT_ASSERT(Evacuated.objects().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KnownObjectsTest);

} // namespace fulmarwinch
