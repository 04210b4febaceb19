#include "node/status_report.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

namespace {

constexpr const char *DeploymentText =
    R"({"contextLength":1,"engineChecksFencing":true,"kind":"deployment",)"
    R"("model":"m","name":"bills","replicas":2,"version":"1","vmsPerGroup":2})";

ViewReceiver::ReceivedView groupView(bool Serving, std::size_t Members) {
  ViewReceiver::ReceivedView Group;
  Group.m_View.m_Deployment = "bills";
  Group.m_View.m_Serving = Serving;
  Group.m_View.m_Members = Members;
  Group.m_View.m_Reason = Serving ? "" : "group is disbanded";
  return Group;
}

} // namespace

/// Checks that the status report contains all current problems and no others.
class StatusReportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StatusReportTest);
  CPPUNIT_TEST(disbandedGroupIsNotReported);
  CPPUNIT_TEST(missingGroupsAreReported);
  CPPUNIT_TEST(groupWithExpiredViewIsNotServing);
  CPPUNIT_TEST_SUITE_END();

  const std::map<std::string, MemberRecord> m_Nodes{};
  const ConfigurationView::Pointer m_EmptyConfiguration =
      ConfigurationView::makeEmpty();
  const MonotonicTime m_Start{};

  /// Guards against false alarms, for five minutes, about a group that was
  /// disbanded because the groups of its availability zone were moved.
  void disbandedGroupIsNotReported() {
    const std::map<std::string, ViewReceiver::ReceivedView> Groups = {
        {"old", groupView(false, 0)}};
    const StatusSources Sources{Groups, m_Nodes, *m_EmptyConfiguration,
                                Freshness::Fresh, m_Start};
    CPPUNIT_ASSERT(statusProblems(Sources).empty());
    CPPUNIT_ASSERT(statusGroups(Sources).empty());
  }

  /// Guards against a deployment that is reported as healthy although it has no
  /// group.
  void missingGroupsAreReported() {
    ConfigurationChange Change;
    Change.m_Revision = 1;
    Change.m_Entries.push_back(
        {{EntryKind::Deployment, "bills"}, DeploymentText});
    const auto View = m_EmptyConfiguration->withChange(Change);
    CPPUNIT_ASSERT(View.ok());
    std::map<std::string, ViewReceiver::ReceivedView> Groups = {
        {"g1", groupView(true, 2)}};
    const StatusSources Sources{Groups, m_Nodes, **View, Freshness::Fresh,
                                m_Start};
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"(["deployment bills: 1 of 2 groups serve"])"),
        statusProblems(Sources).dump());
    Groups["g2"] = groupView(true, 2);
    CPPUNIT_ASSERT(statusProblems(Sources).empty());
  }

  /// Guards against a group that is reported as serving minutes after its
  /// monitor failed.
  void groupWithExpiredViewIsNotServing() {
    const std::map<std::string, ViewReceiver::ReceivedView> Groups = {
        {"g1", groupView(true, 2)}};
    const StatusSources Sources{Groups, m_Nodes, *m_EmptyConfiguration,
                                Freshness::Fresh,
                                m_Start + std::chrono::seconds(4)};
    CPPUNIT_ASSERT_EQUAL(std::string("group g1 of bills does not serve: no "
                                     "view from its monitor for 4 s"),
                         statusProblems(Sources)[0].get<std::string>());
    CPPUNIT_ASSERT(!statusGroups(Sources)[0]["serving"].get<bool>());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatusReportTest);

} // namespace fulmarwinch
