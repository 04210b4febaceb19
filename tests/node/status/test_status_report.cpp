#include "node/status_report.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

namespace {

constexpr const char *DeploymentText =
    R"({"contextLength":1,"engineChecksFencing":true,"kind":"deployment",)"
    R"("model":"m","name":"bills","replicas":2,"version":"1","vmsPerGroup":2})";

ViewReceiver::Known group(bool Serving, std::size_t Members) {
  ViewReceiver::Known Known;
  Known.m_View.m_Deployment = "bills";
  Known.m_View.m_Serving = Serving;
  Known.m_View.m_Members = Members;
  Known.m_View.m_Reason = Serving ? "" : "group is disbanded";
  return Known;
}

} // namespace

/// The status says what is wrong now, and nothing else.
class StatusReportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StatusReportTest);
  CPPUNIT_TEST(disbandedGroupIsNoProblem);
  CPPUNIT_TEST(lostGroupsAreFoundByTheirDeployment);
  CPPUNIT_TEST(expiredViewDoesNotServe);
  CPPUNIT_TEST_SUITE_END();

  const std::map<std::string, MemberRecord> m_Nodes{};
  const ConfigurationView::Pointer m_Empty = ConfigurationView::empty();
  const MonotonicTime m_Start{};

  /// Guards against five minutes of false alarms after each move of an
  /// availability zone.
  void disbandedGroupIsNoProblem() {
    const std::map<std::string, ViewReceiver::Known> Groups = {
        {"old", group(false, 0)}};
    const StatusSources Sources{Groups, m_Nodes, *m_Empty, Freshness::Fresh,
                                m_Start};
    CPPUNIT_ASSERT(statusProblems(Sources).empty());
    CPPUNIT_ASSERT(statusGroups(Sources).empty());
  }

  /// Guards against a deployment without any group that looks healthy.
  void lostGroupsAreFoundByTheirDeployment() {
    ConfigurationChange Change;
    Change.m_Revision = 1;
    Change.m_Entries.push_back(
        {{EntryKind::Deployment, "bills"}, DeploymentText});
    const auto View = m_Empty->applied(Change);
    CPPUNIT_ASSERT(View.ok());
    std::map<std::string, ViewReceiver::Known> Groups = {
        {"g1", group(true, 2)}};
    const StatusSources Sources{Groups, m_Nodes, **View, Freshness::Fresh,
                                m_Start};
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"(["deployment bills: 1 of 2 groups serve"])"),
        statusProblems(Sources).dump());
    Groups["g2"] = group(true, 2);
    CPPUNIT_ASSERT(statusProblems(Sources).empty());
  }

  /// Guards against a group that is shown as serving minutes after its
  /// monitor died.
  void expiredViewDoesNotServe() {
    const std::map<std::string, ViewReceiver::Known> Groups = {
        {"g1", group(true, 2)}};
    const StatusSources Sources{Groups, m_Nodes, *m_Empty, Freshness::Fresh,
                                m_Start + std::chrono::seconds(4)};
    CPPUNIT_ASSERT_EQUAL(std::string("group g1 of bills does not serve: no "
                                     "view from its monitor for 4 s"),
                         statusProblems(Sources)[0].get<std::string>());
    CPPUNIT_ASSERT(!statusGroups(Sources)[0]["serving"].get<bool>());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatusReportTest);

} // namespace fulmarwinch
