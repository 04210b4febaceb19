#include "servers/replicas/model_rebalancer.h"

#include "cppunit/extensions/HelperMacros.h"

#include <algorithm>
#include <iostream>

namespace fulmarwinch {

/// Decisions to give a fabric domain another model.
class ModelRebalancerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ModelRebalancerTest);
  CPPUNIT_TEST(shortModelReceivesDomainsAtEverySize);
  CPPUNIT_TEST(balancedModelsKeepTheirDomains);
  CPPUNIT_TEST(strandedServersFormGroupsWithDonors);
  CPPUNIT_TEST(freeServersGoBeforeDonors);
  CPPUNIT_TEST(donorIsNotStarved);
  CPPUNIT_TEST(conversionSpreadsOverZones);
  CPPUNIT_TEST(urgentModelIsSuppliedFirst);
  CPPUNIT_TEST(urgentModelDoesNotSwingBack);
  CPPUNIT_TEST(supplyBearsTheLossOfAZone);
  CPPUNIT_TEST_SUITE_END();

  static std::vector<ModelSpec> models(unsigned BigSize, unsigned SmallSize) {
    return {{"big", BigSize, 1.0, 0.5, std::chrono::seconds(16),
             std::chrono::milliseconds(1600)},
            {"small", SmallSize, 0.6, 0.5, std::chrono::seconds(12),
             std::chrono::milliseconds(1100)}};
  }

  static DomainSupply domain(const std::string &Zone, const ModelSpec &Model,
                             std::size_t Servers) {
    return {Zone,
            Servers % Model.m_GroupSize,
            {{Model.m_Name, Servers / Model.m_GroupSize}}};
  }

  /// One deployment: its domains, the sizes of its models and the groups that
  /// the requests keep busy.
  struct Deployment {
    unsigned m_BigSize;
    unsigned m_SmallSize;
    std::size_t m_ServersPerDomain;
    std::size_t m_BigDomains;
    std::size_t m_SmallDomains;
    double m_BigDemand;
    double m_SmallDemand;
  };

  static std::map<std::string, DomainSupply>
  domainsOf(const Deployment &Site, const std::vector<ModelSpec> &Models) {
    std::map<std::string, DomainSupply> Domains;
    for (std::size_t I = 0; I < Site.m_BigDomains + Site.m_SmallDomains; ++I)
      Domains["d" + std::to_string(10 + I)] = domain(
          "z" + std::to_string(I % 3), Models[I < Site.m_BigDomains ? 0 : 1],
          Site.m_ServersPerDomain);
    return Domains;
  }

  /// Applies conversions until none is chosen; returns the lowest ratio of
  /// groups to demand before and after.
  static std::pair<double, double>
  convertUntilBalanced(const Deployment &Site, std::size_t &Conversions) {
    const std::vector<ModelSpec> Models =
        models(Site.m_BigSize, Site.m_SmallSize);
    std::map<std::string, DomainSupply> Domains = domainsOf(Site, Models);
    const DemandByModel Demand{{"big", Site.m_BigDemand},
                               {"small", Site.m_SmallDemand}};
    const auto LowestRatio = [&] {
      double Lowest = 1e9;
      for (const auto &[Model, Demanded] : Demand) {
        double Groups = 0.0;
        for (const auto &[Name, Domain] : Domains) {
          const auto Own = Domain.m_GroupsByModel.find(Model);
          Groups += Own == Domain.m_GroupsByModel.end()
                        ? 0.0
                        : static_cast<double>(Own->second);
        }
        Lowest = std::min(Lowest, Groups / Demanded);
      }
      return Lowest;
    };
    const double Before = LowestRatio();
    Conversions = 0;
    while (const auto Conversion = chooseConversion(Domains, Models, Demand)) {
      CPPUNIT_ASSERT(++Conversions <= 3 * Domains.size());
      DomainSupply &Converted = Domains.at(Conversion->m_Domain);
      const auto SizeOf = [&](const std::string &Name) -> std::size_t {
        return Models[Name == Models[0].m_Name ? 0 : 1].m_GroupSize;
      };
      Converted.m_GroupsByModel[Conversion->m_DonorModel] -=
          Conversion->m_DonorGroups;
      ++Converted.m_GroupsByModel[Conversion->m_Model];
      Converted.m_FreeServers +=
          Conversion->m_DonorGroups * SizeOf(Conversion->m_DonorModel);
      CPPUNIT_ASSERT(Converted.m_FreeServers >= SizeOf(Conversion->m_Model));
      Converted.m_FreeServers -= SizeOf(Conversion->m_Model);
    }
    return {Before, LowestRatio()};
  }

  /// Load pattern: the requests keep more groups of one model busy than its
  /// domains hold, in deployments of all group sizes in use. Guards against one
  /// model that refuses half of its requests while groups of the other are
  /// idle.
  void shortModelReceivesDomainsAtEverySize() {
    const std::vector<Deployment> Sites{
        {4, 3, 9, 3, 3, 8.0, 2.5},     {4, 2, 8, 2, 4, 6.0, 5.0},
        {8, 4, 19, 3, 6, 9.0, 9.0},    {16, 4, 37, 2, 4, 6.0, 12.0},
        {32, 8, 73, 7, 8, 15.0, 38.0}, {32, 8, 73, 11, 4, 9.0, 44.0},
    };
    for (const Deployment &Site : Sites) {
      std::size_t Conversions = 0;
      const auto [Before, After] = convertUntilBalanced(Site, Conversions);
      std::cout << "\n  groups of " << Site.m_BigSize << " and "
                << Site.m_SmallSize << ": lowest supply " << Before << " -> "
                << After << " after " << Conversions << " conversions";
      CPPUNIT_ASSERT(Conversions > 0);
      CPPUNIT_ASSERT(After >= Before * 1.1);
      CPPUNIT_ASSERT(After >= 1.0);
    }
    std::cout << std::endl;
  }

  /// Guards against domains that change their model back and forth, and against
  /// conversions without a shortage.
  void balancedModelsKeepTheirDomains() {
    std::size_t Conversions = 0;
    convertUntilBalanced({32, 8, 73, 9, 6, 14.0, 40.0}, Conversions);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Conversions);
    convertUntilBalanced({32, 8, 73, 8, 7, 10.0, 20.0}, Conversions);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Conversions);
    const std::vector<ModelSpec> Models = models(32, 8);
    CPPUNIT_ASSERT(!chooseConversion({}, Models, {{"big", 1.0}}));
    CPPUNIT_ASSERT(!chooseConversion(
        domainsOf({32, 8, 73, 8, 7, 0.0, 0.0}, Models), Models, {}));
  }

  /// Load pattern: four domains of eight lose one server each, so that three
  /// free servers are left in each and the big model has four of eight groups,
  /// later one, while the small model has twice the groups that it needs.
  /// Guards against a shortage that lasts although servers are idle.
  void strandedServersFormGroupsWithDonors() {
    const std::vector<ModelSpec> Models = models(4, 2);
    std::map<std::string, DomainSupply> Domains;
    for (int I = 0; I < 4; ++I)
      Domains["d" + std::to_string(I)] = {"a", 3, {{"big", I == 0 ? 1U : 0U}}};
    for (int I = 4; I < 6; ++I)
      Domains["d" + std::to_string(I)] = {"b", 0, {{"small", 4}}};
    const auto Conversion =
        chooseConversion(Domains, Models, {{"big", 3.5}, {"small", 3.5}});
    CPPUNIT_ASSERT(Conversion.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("big"), Conversion->m_Model);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Conversion->m_DonorGroups);
  }

  /// Guards against ending groups where free servers suffice.
  void freeServersGoBeforeDonors() {
    const std::vector<ModelSpec> Models = models(4, 2);
    const std::map<std::string, DomainSupply> Domains{
        {"d0", {"a", 0, {{"small", 4}}}}, {"d1", {"a", 5, {{"small", 1}}}}};
    const auto Conversion =
        chooseConversion(Domains, Models, {{"big", 2.0}, {"small", 2.0}});
    CPPUNIT_ASSERT(Conversion.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("d1"), Conversion->m_Domain);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Conversion->m_DonorGroups);
  }

  /// Guards against starving the model that gives up a domain.
  void donorIsNotStarved() {
    const std::vector<ModelSpec> Models = models(8, 4);
    // Each model has two groups for each that is busy in its only domain.
    const std::map<std::string, DomainSupply> Domains{
        {"d0", domain("a", Models[0], 19)}, {"d1", domain("b", Models[1], 19)}};
    CPPUNIT_ASSERT(
        !chooseConversion(Domains, Models, {{"big", 2.0}, {"small", 3.9}}));
  }

  void conversionSpreadsOverZones() {
    const std::vector<ModelSpec> Models = models(8, 4);
    const std::map<std::string, DomainSupply> Domains{
        {"d0", domain("a", Models[0], 19)},
        {"d1", domain("a", Models[1], 19)},
        {"d2", domain("b", Models[1], 19)},
        {"d3", domain("b", Models[1], 19)},
        {"d4", domain("a", Models[1], 19)}};
    const auto Conversion =
        chooseConversion(Domains, Models, {{"big", 3.0}, {"small", 4.0}});
    CPPUNIT_ASSERT(Conversion.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         Domains.at(Conversion->m_Domain).m_Zone);
  }

  /// Domains of 18 servers in two zones that remain when a third is lost, with
  /// groups of 8 and 2.
  static std::map<std::string, DomainSupply> remainingDomains() {
    return {
        {"d1", {"z1", 2, {{"big", 2}}}},   {"d2", {"z1", 0, {{"small", 9}}}},
        {"d3", {"z1", 2, {{"big", 2}}}},   {"d4", {"z2", 2, {{"big", 2}}}},
        {"d5", {"z2", 0, {{"small", 9}}}}, {"d6", {"z2", 2, {{"big", 2}}}}};
  }

  static ConversionPolicy smallModelIsUrgent() {
    ConversionPolicy Policy;
    Policy.m_PriorityByModel = {{"big", 1.5}, {"small", 0.0}};
    return Policy;
  }

  /// Load pattern: after the loss of a zone no model has enough groups. Guards
  /// against the most urgent requests being refused while less urgent ones keep
  /// their groups.
  void urgentModelIsSuppliedFirst() {
    const std::vector<ModelSpec> Models = models(8, 2);
    const DemandByModel Demand{{"big", 10.0}, {"small", 25.0}};
    const std::map<std::string, DomainSupply> Domains = remainingDomains();
    // Without priorities the free servers go to the model with the fewest
    // groups for its demand, and no group ends.
    const auto ByDemand = chooseConversion(Domains, Models, Demand);
    CPPUNIT_ASSERT(!ByDemand || ByDemand->m_Model == "small");
    const auto ByPriority =
        chooseConversion(Domains, Models, Demand, smallModelIsUrgent());
    CPPUNIT_ASSERT(ByPriority);
    CPPUNIT_ASSERT_EQUAL(std::string("small"), ByPriority->m_Model);
    // With the free servers gone, a group of the other model ends.
    std::map<std::string, DomainSupply> Full = Domains;
    for (auto &[Name, Domain] : Full)
      Domain.m_FreeServers = 0;
    const auto FromDonor =
        chooseConversion(Full, Models, Demand, smallModelIsUrgent());
    CPPUNIT_ASSERT(FromDonor);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, FromDonor->m_DonorGroups);
    CPPUNIT_ASSERT(
        !chooseConversion(Full, Models, {{"big", 10.0}, {"small", 22.0}}, {}));
  }

  /// Guards against groups that are given back and forth between the models,
  /// each time at the price of the loads.
  void urgentModelDoesNotSwingBack() {
    const std::vector<ModelSpec> Models = models(8, 2);
    const DemandByModel Demand{{"big", 10.0}, {"small", 25.0}};
    std::map<std::string, DomainSupply> Domains = remainingDomains();
    unsigned Conversions = 0;
    while (const auto Conversion = chooseConversion(Domains, Models, Demand,
                                                    smallModelIsUrgent())) {
      CPPUNIT_ASSERT_EQUAL(std::string("small"), Conversion->m_Model);
      CPPUNIT_ASSERT(++Conversions < 30);
      DomainSupply &Converted = Domains.at(Conversion->m_Domain);
      Converted.m_GroupsByModel["big"] -= Conversion->m_DonorGroups;
      Converted.m_FreeServers += Conversion->m_DonorGroups * 8 - 2;
      ++Converted.m_GroupsByModel["small"];
    }
    std::size_t Small = 0;
    std::size_t Big = 0;
    for (const auto &[Name, Domain] : Domains)
      for (const auto &[Model, Count] : Domain.m_GroupsByModel)
        (Model == "big" ? Big : Small) += Count;
    CPPUNIT_ASSERT(Small >= 25);
    CPPUNIT_ASSERT(Big >= 5);
  }

  /// Load pattern: a zone is evacuated. Guards against a supply that just
  /// suffices before and lacks a third of its groups afterwards, since the
  /// loads of a conversion take longer than the evacuation.
  void supplyBearsTheLossOfAZone() {
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.95, shortageRatioAfterZoneLoss(1.3, 3, 1),
                                 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.3, shortageRatioAfterZoneLoss(1.3, 3, 0),
                                 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.3, shortageRatioAfterZoneLoss(1.3, 1, 1),
                                 1e-9);
    std::map<std::string, DomainSupply> Domains;
    for (const char *Zone : {"z1", "z2", "z3"}) {
      Domains[std::string(Zone) + "big"] = {Zone, 2, {{"big", 3}}};
      Domains[std::string(Zone) + "small"] = {Zone, 0, {{"small", 12}}};
    }
    const std::vector<ModelSpec> Models = models(8, 2);
    const DemandByModel Demand{{"big", 3.5}, {"small", 25.0}};
    CPPUNIT_ASSERT(!chooseConversion(Domains, Models, Demand));
    ConversionPolicy Policy;
    Policy.m_ShortageRatio = shortageRatioAfterZoneLoss(1.3, 3, 1);
    const auto Conversion = chooseConversion(Domains, Models, Demand, Policy);
    CPPUNIT_ASSERT(Conversion);
    CPPUNIT_ASSERT_EQUAL(std::string("small"), Conversion->m_Model);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ModelRebalancerTest);

} // namespace fulmarwinch
