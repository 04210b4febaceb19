#include "servers/replicas/domain_layout.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

/// Which model each fabric domain gets.
class DomainLayoutTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DomainLayoutTest);
  CPPUNIT_TEST(fewDomainsMix);
  CPPUNIT_TEST(domainKeepsWhatItHolds);
  CPPUNIT_TEST(sharesDecideHowManyDomainsAModelGets);
  CPPUNIT_TEST_SUITE_END();

  static DomainStock stock(const std::string &Zone,
                           std::map<std::string, std::size_t> Holding = {}) {
    return {Zone, 9, std::move(Holding)};
  }

  /// Guards against a model whose only domain is lost.
  void fewDomainsMix() {
    const std::map<std::string, DomainStock> Domains{
        {"d0", stock("a")}, {"d1", stock("b")}, {"d2", stock("c")}};
    CPPUNIT_ASSERT(
        layOutDomains(Domains, {{"big", 0.5}, {"small", 0.5}}, false).empty());
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{3},
        layOutDomains(Domains, {{"big", 0.5}, {"small", 0.5}}, true).size());
  }

  /// Guards against a new holder, or a change of the demand, that makes all
  /// servers of a domain load again.
  void domainKeepsWhatItHolds() {
    const std::map<std::string, DomainStock> Domains{
        {"d0", stock("a", {{"small", 5}, {"big", 4}})},
        {"d1", stock("b", {{"small", 1}})},
        {"d2", stock("c")},
        {"d3", stock("c", {{"small", 9}})}};
    const auto Layout =
        layOutDomains(Domains, {{"big", 0.9}, {"small", 0.1}}, false);
    CPPUNIT_ASSERT_EQUAL(std::string("small"), Layout.at("d0"));
    CPPUNIT_ASSERT_EQUAL(std::string("small"), Layout.at("d1"));
    CPPUNIT_ASSERT_EQUAL(std::string("big"), Layout.at("d2"));
    CPPUNIT_ASSERT_EQUAL(std::string("small"), Layout.at("d3"));
  }

  /// Guards against equal parts for unequal needs.
  void sharesDecideHowManyDomainsAModelGets() {
    std::map<std::string, DomainStock> Domains;
    for (int I = 0; I < 8; ++I)
      Domains["d" + std::to_string(I)] = stock("zone" + std::to_string(I));
    std::size_t Big = 0;
    for (const auto &[Domain, Model] :
         layOutDomains(Domains, {{"big", 0.75}, {"small", 0.25}}, false))
      Big += Model == "big";
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, Big);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DomainLayoutTest);

} // namespace fulmarwinch
