#include "servers/replicas/domain_model_assignment.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

/// Assignment of one model to each fabric domain.
class DomainModelAssignmentTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DomainModelAssignmentTest);
  CPPUNIT_TEST(assignsNoModelIfDomainsAreTooFew);
  CPPUNIT_TEST(domainKeepsTheModelItHasLoaded);
  CPPUNIT_TEST(domainsAreAssignedInProportionToShares);
  CPPUNIT_TEST_SUITE_END();

  static DomainInventory
  inventory(const std::string &Zone,
            std::map<std::string, std::size_t> ServersByModel = {}) {
    return {Zone, 9, std::move(ServersByModel)};
  }

  /// Guards against a model that is assigned to a single domain and has no
  /// group once that domain fails.
  void assignsNoModelIfDomainsAreTooFew() {
    const std::map<std::string, DomainInventory> Domains{
        {"d0", inventory("a")}, {"d1", inventory("b")}, {"d2", inventory("c")}};
    CPPUNIT_ASSERT(
        assignModelsToDomains(Domains, {{"big", 0.5}, {"small", 0.5}}, false)
            .empty());
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{3},
        assignModelsToDomains(Domains, {{"big", 0.5}, {"small", 0.5}}, true)
            .size());
  }

  /// Guards against a new lease holder or a change in demand that assigns
  /// another model to a domain, after which all its servers load weights again.
  void domainKeepsTheModelItHasLoaded() {
    const std::map<std::string, DomainInventory> Domains{
        {"d0", inventory("a", {{"small", 5}, {"big", 4}})},
        {"d1", inventory("b", {{"small", 1}})},
        {"d2", inventory("c")},
        {"d3", inventory("c", {{"small", 9}})}};
    const auto Layout =
        assignModelsToDomains(Domains, {{"big", 0.9}, {"small", 0.1}}, false);
    CPPUNIT_ASSERT_EQUAL(std::string("small"), Layout.at("d0"));
    CPPUNIT_ASSERT_EQUAL(std::string("small"), Layout.at("d1"));
    CPPUNIT_ASSERT_EQUAL(std::string("big"), Layout.at("d2"));
    CPPUNIT_ASSERT_EQUAL(std::string("small"), Layout.at("d3"));
  }

  /// Guards against assigning the same number of domains to models that need
  /// different numbers of servers.
  void domainsAreAssignedInProportionToShares() {
    std::map<std::string, DomainInventory> Domains;
    for (int I = 0; I < 8; ++I)
      Domains["d" + std::to_string(I)] = inventory("zone" + std::to_string(I));
    std::size_t BigDomains = 0;
    for (const auto &[Domain, Model] : assignModelsToDomains(
             Domains, {{"big", 0.75}, {"small", 0.25}}, false))
      BigDomains += Model == "big";
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, BigDomains);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DomainModelAssignmentTest);

} // namespace fulmarwinch
