#include "tests/support/policy_figures.h"

#include "cppunit/extensions/HelperMacros.h"
#include "fmt/format.h"

namespace fulmarwinch {

/// Figures of the repair policies against the bound of the target.
class DomainDarkFiguresTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DomainDarkFiguresTest);
  CPPUNIT_TEST(domainDark);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against groups that stay down until a dark domain returns, and
  /// that then load all at the same low rate.
  void domainDark() {
    comparePolicies("domain dark", [](GroupWorld &World) {
      const std::string Domain = fmt::format("d{}-", World.random()() % 3);
      for (const std::string &Vm : World.vmNames())
        if (Vm.rfind(Domain, 0) == 0)
          World.crash(Vm, 300, true);
      World.run(450);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DomainDarkFiguresTest);

} // namespace fulmarwinch
