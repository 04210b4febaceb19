#include "tests/support/policy_figures.h"

#include "cppunit/extensions/HelperMacros.h"
#include "fmt/format.h"

namespace fulmarwinch {

/// Figures of the repair policies against the bound of the target.
class PolicyFiguresTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PolicyFiguresTest);
  CPPUNIT_TEST(memberLoss);
  CPPUNIT_TEST(restartWave);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a repair that is no better than waiting: VMs fail one
  /// after another for 30 s to 10 min each.
  void memberLoss() {
    comparePolicies("member loss", [](GroupWorld &World) {
      const std::vector<std::string> Vms = World.vmNames();
      for (int Round = 0; Round < 10; ++Round) {
        const double Seconds = 30 + static_cast<double>(World.random()() % 570);
        World.crash(Vms[World.random()() % Vms.size()], Seconds,
                    World.chance(0.5));
        World.run(60);
      }
      World.run(300);
    });
  }

  /// Guards against a restart of every VM in turn that keeps groups down for
  /// longer than the restarts need.
  void restartWave() {
    comparePolicies("restart wave", [](GroupWorld &World) {
      for (const std::string &Vm : World.vmNames()) {
        World.crash(Vm, 45, true);
        World.run(20);
      }
      World.run(300);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PolicyFiguresTest);

} // namespace fulmarwinch
