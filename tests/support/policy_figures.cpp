#include "tests/support/policy_figures.h"

#include "cppunit/TestAssert.h"
#include "fmt/format.h"

#include <iostream>

namespace fulmarwinch {

namespace {

struct Figures {
  double m_Downtime = 0;
  double m_Stranded = 0;
};

Figures measure(std::uint64_t Seed, std::shared_ptr<const RepairPolicy> Policy,
                const PolicyScenario &Run) {
  WorldSettings Settings;
  Settings.m_Seed = Seed;
  Settings.m_StepMs = 250;
  Settings.m_DomainVms = {19, 18, 18};
  Settings.m_Groups.m_WeightStore.m_BytesPerVm = 10e9;
  Settings.m_Policy = std::move(Policy);
  GroupWorld World(Settings);
  World.setSpecs({{"large", {"large", "m1", "v1", 4, 6, 3, 3.0, 0.2, true}},
                  {"medium", {"medium", "m2", "v1", 3, 5, 2, 1.5, 0.2, true}},
                  {"small", {"small", "m3", "v1", 2, 5, 1, 1.0, 0.2, true}}});
  World.run(120);
  CPPUNIT_ASSERT_EQUAL(std::size_t{6}, World.servingGroups("large"));
  World.resetFigures();
  Run(World);
  CPPUNIT_ASSERT_EQUAL(std::string(), World.violation());
  return {World.groupDowntime(), World.strandedSeconds()};
}

} // namespace

void comparePolicies(const std::string &Name, const PolicyScenario &Run) {
  Figures Cost;
  Figures Baseline;
  for (std::uint64_t Seed = 1; Seed <= 2; ++Seed) {
    const Figures Ours =
        measure(Seed, std::make_shared<CostRepairPolicy>(), Run);
    const Figures Theirs =
        measure(Seed, std::make_shared<FirstFitPolicy>(), Run);
    Cost.m_Downtime += Ours.m_Downtime;
    Cost.m_Stranded += Ours.m_Stranded;
    Baseline.m_Downtime += Theirs.m_Downtime;
    Baseline.m_Stranded += Theirs.m_Stranded;
  }
  std::cout << fmt::format("\n{}: seeds 1 and 2, downtime {:.0f} group-seconds "
                           "(baseline {:.0f}), stranded {:.0f} VM-seconds "
                           "(baseline {:.0f})",
                           Name, Cost.m_Downtime, Baseline.m_Downtime,
                           Cost.m_Stranded, Baseline.m_Stranded)
            << std::endl;
  CPPUNIT_ASSERT_MESSAGE("downtime is more than half of the baseline",
                         Cost.m_Downtime * 2 <= Baseline.m_Downtime);
  CPPUNIT_ASSERT_MESSAGE("stranded VMs are more than half of the baseline",
                         Cost.m_Stranded * 2 <= Baseline.m_Stranded);
}

} // namespace fulmarwinch
