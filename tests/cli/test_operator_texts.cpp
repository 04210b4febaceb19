#include "cli/audit_text.h"
#include "cli/command_line.h"
#include "cli/completion.h"
#include "cli/plan_text.h"
#include "cli/plan_tracker.h"
#include "cli/status_change_detector.h"
#include "cli/status_text.h"
#include "cli/text_table.h"

#include "cppunit/extensions/HelperMacros.h"

#include <string>

namespace fulmarwinch {

namespace {

Json planEntry(const char *Id, const char *Before, const char *After) {
  return {{"id", Id}, {"before", Before}, {"after", After}};
}

Json statusGroup(const char *Name, const char *Deployment, int Generation,
                 bool Serving) {
  return {{"group", Name},
          {"deployment", Deployment},
          {"generation", Generation},
          {"serving", Serving}};
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

/// Texts for operators: tables, plans, status, audit trail, progress of a plan
/// and shell completion.
class OperatorTextsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OperatorTextsTest);
  CPPUNIT_TEST(tableAlignsColumnsOfNonAsciiCells);
  CPPUNIT_TEST(tableReplacesControlBytes);
  CPPUNIT_TEST(differenceMarksAddedChangedAndRemoved);
  CPPUNIT_TEST(planTextListsEffectsAndWarnings);
  CPPUNIT_TEST(unknownDowntimeIsNotShownAsNone);
  CPPUNIT_TEST(statusTextStartsWithProblems);
  CPPUNIT_TEST(groupTableShowsMemberCount);
  CPPUNIT_TEST(auditTableShowsOnlyChangedKeys);
  CPPUNIT_TEST(waitContinuesWhileOldGenerationServes);
  CPPUNIT_TEST(repeatedWaitIncludesGroupsInLeavingZone);
  CPPUNIT_TEST(waitSkipsDeadNodesAndSurplusGroups);
  CPPUNIT_TEST(detectorReturnsOnlyChanges);
  CPPUNIT_TEST(completionCoversEveryCommandAndOption);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against columns misaligned by long or non-ASCII cells, and against
  /// an empty cell that reduces the number of fields of its line.
  void tableAlignsColumnsOfNonAsciiCells() {
    TextTable Table({"NAME", "ZONE"});
    Table.addRow({"n\xc3\xa4me-1", "a"});
    Table.addRow({"b", ""});
    CPPUNIT_ASSERT_EQUAL(std::string("NAME    ZONE\n"
                                     "n\xc3\xa4me-1  a\n"
                                     "b       -\n"),
                         Table.render());
  }

  /// Guards against terminal escape sequences in names or reasons that a server
  /// returns.
  void tableReplacesControlBytes() {
    TextTable Table({"NAME"});
    Table.addRow({"a\x1b[2Jb\n"});
    CPPUNIT_ASSERT_EQUAL(std::string("NAME\na?[2Jb?\n"), Table.render());
  }

  /// Guards against showing the removal of an entry like a change of it.
  void differenceMarksAddedChangedAndRemoved() {
    const Json Plan = {
        {"entries",
         {planEntry("zone/a", "",
                    R"({"kind":"zone","name":"a","inService":true})"),
          planEntry("zone/b", R"({"kind":"zone","name":"b","inService":true})",
                    R"({"kind":"zone","name":"b","inService":false})"),
          planEntry("vm_drain/v", R"({"kind":"vm_drain","name":"v"})", "")}}};
    CPPUNIT_ASSERT_EQUAL(std::string("+ zone/a\n"
                                     "    + inService: true\n"
                                     "~ zone/b\n"
                                     "    ~ inService: true -> false\n"
                                     "- vm_drain/v\n"),
                         differenceText(Plan));
  }

  void planTextListsEffectsAndWarnings() {
    const std::string Text = planText({{"id", "p1"},
                                       {"groups", {"g1", "g2"}},
                                       {"vms", {"v1"}},
                                       {"downtimeSeconds", 90.0},
                                       {"strandedAccelerators", 24},
                                       {"warnings", {"no spare VM"}}});
    CPPUNIT_ASSERT(contains(Text, "affected groups:       2 (g1, g2)\n"));
    CPPUNIT_ASSERT(contains(Text, "affected VMs:          1 (v1)\n"));
    CPPUNIT_ASSERT(contains(Text, "downtime:     90 group-seconds\n"));
    CPPUNIT_ASSERT(contains(Text, "stranded accelerators: 24\n"));
    CPPUNIT_ASSERT(contains(Text, "warning: no spare VM\n"));
  }

  /// Guards against showing "none" as the expected downtime when the node has
  /// no estimate of the load time.
  void unknownDowntimeIsNotShownAsNone() {
    CPPUNIT_ASSERT(
        contains(planText({{"groups", {"g1"}}}), "downtime:     not known\n"));
    CPPUNIT_ASSERT(contains(planText({{"groups", Json::array()}}),
                            "downtime:     none\n"));
  }

  /// Guards against printing the problems below a long table, where an operator
  /// may overlook them.
  void statusTextStartsWithProblems() {
    const Json Healthy = {{"node", "n1"}, {"ready", true}};
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         statusText(Healthy).find("Nothing is wrong."));
    const Json Unhealthy = {
        {"node", "n1"}, {"ready", false}, {"problems", {"group g1 is broken"}}};
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{0},
        statusText(Unhealthy).find("Wrong now:\n"
                                   "  node n1 does not accept new work\n"
                                   "  group g1 is broken\n"));
  }

  /// Guards against parsing the member count as a list, which printed 1 for
  /// every group.
  void groupTableShowsMemberCount() {
    Json Group = statusGroup("g1", "chat", 4, true);
    Group["members"] = 32;
    CPPUNIT_ASSERT(contains(groupTable({{"groups", Json::array({Group})}}),
                            "4           32       0"));
  }

  /// Guards against printing whole entries, which made lines of several hundred
  /// characters for one changed key.
  void auditTableShowsOnlyChangedKeys() {
    const auto Text = [](const char *Before, const char *After) {
      return auditTable(Json::array({{{"before", Before}, {"after", After}}}));
    };
    CPPUNIT_ASSERT(contains(Text(R"({"a":1,"b":2})", R"({"a":1,"b":3})"),
                            "  b: 2 -> 3\n"));
    CPPUNIT_ASSERT(contains(Text("", R"({"a":1})"), "  added\n"));
    CPPUNIT_ASSERT(contains(Text(R"({"a":1})", ""), "  removed\n"));
    CPPUNIT_ASSERT(contains(Text("", "refused"), "  refused\n"));
  }

  /// Guards against ending the wait immediately because the affected group
  /// still serves with its old generation.
  void waitContinuesWhileOldGenerationServes() {
    const Json Plan = {
        {"accepted", false},
        {"groups", {"g1"}},
        {"progress",
         {{"revision", 4}, {"applied", {"n1"}}, {"notYet", Json::array()}}}};
    const auto Status = [](int Generation, bool Serving) -> Json {
      return {{"groups",
               Json::array({statusGroup("g1", "chat", Generation, Serving)})}};
    };
    const PlanTracker Tracker(Plan, Status(7, true));
    CPPUNIT_ASSERT(!Tracker.progress(Plan, Status(7, true)).isDone());
    CPPUNIT_ASSERT(!Tracker.progress(Plan, Status(8, false)).isDone());
    CPPUNIT_ASSERT(Tracker.progress(Plan, Status(8, true)).isDone());
    CPPUNIT_ASSERT(Tracker.progress(Plan, Json::object()).isDone());
    // The status still lists a disbanded group, with 0 members, after its
    // availability zone was taken out of service.
    Json Disbanded = Status(8, false);
    Disbanded["groups"][0]["members"] = 0;
    CPPUNIT_ASSERT(Tracker.progress(Plan, Disbanded).isDone());
  }

  /// Guards against a wait that ends immediately, although groups still serve
  /// in the availability zone, because `zone out` has already confirmed the
  /// plan.
  void repeatedWaitIncludesGroupsInLeavingZone() {
    const Json Plan = {
        {"accepted", true},
        {"groups", {"g1"}},
        {"entries", Json::array({planEntry(
                        "zone/a", "",
                        R"({"kind":"zone","name":"a","inService":false})")})},
        {"progress", {{"revision", 4}, {"applied", {"n1"}}}}};
    Json Status = {
        {"groups", Json::array({statusGroup("g1", "chat", 7, true)})}};
    Status["groups"][0]["zone"] = "a";
    const PlanTracker Tracker(Plan, Status);
    CPPUNIT_ASSERT(!Tracker.progress(Plan, Status).isDone());
    Status["groups"][0]["zone"] = "b";
    CPPUNIT_ASSERT(Tracker.progress(Plan, Status).isDone());
  }

  /// Guards against waiting for a dead node, and against counting surplus
  /// groups of one deployment for missing groups of another.
  void waitSkipsDeadNodesAndSurplusGroups() {
    Json Plan = {
        {"entries",
         {planEntry("deployment/a", "",
                    R"({"kind":"deployment","name":"a","replicas":1})"),
          planEntry("deployment/b", "",
                    R"({"kind":"deployment","name":"b","replicas":1})")}},
        {"progress",
         {{"revision", 2}, {"applied", {"n1"}}, {"notYet", {"n2", "n3"}}}}};
    Json Status = {
        {"nodes",
         {{{"node", "n2"}, {"state", "dead"}},
          {{"node", "n3"}, {"state", "alive"}}}},
        {"groups",
         {statusGroup("g1", "a", 1, true), statusGroup("g2", "a", 1, true)}}};
    const PlanTracker Tracker(Plan, Status);
    const PlanRolloutProgress Progress = Tracker.progress(Plan, Status);
    CPPUNIT_ASSERT(!Progress.isDone());
    CPPUNIT_ASSERT_EQUAL(
        std::string("revision 2: applied by 1 of 3 nodes, not yet by n3, "
                    "dead: n2; 1 of 2 groups serve"),
        toText(Progress));
    Plan["progress"]["notYet"] = {"n2"};
    Status["groups"].push_back(statusGroup("g3", "b", 1, true));
    CPPUNIT_ASSERT(Tracker.progress(Plan, Status).isDone());
  }

  void detectorReturnsOnlyChanges() {
    StatusChangeDetector Detector;
    Json Status = {{"ready", true},
                   {"groups",
                    {statusGroup("g1", "chat", 1, true),
                     statusGroup("g2", "chat", 1, true)}}};
    CPPUNIT_ASSERT(!Detector.update(Status).empty());
    CPPUNIT_ASSERT(Detector.update(Status).empty());
    Status["groups"] = Json::array({statusGroup("g2", "chat", 2, true)});
    const auto Changed = Detector.update(Status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Changed.size());
    CPPUNIT_ASSERT_EQUAL(std::string("- group/g1"), toText(Changed[0]));
    CPPUNIT_ASSERT_EQUAL(std::string("~ group/g2: serving, generation 1 -> "
                                     "serving, generation 2"),
                         toText(Changed[1]));
  }

  /// Guards against adding a command or an option without shell completion.
  void completionCoversEveryCommandAndOption() {
    const std::string Script = bashCompletion();
    for (const EnumName<Command> &Row : CommandNames) {
      const std::string Name(Row.m_Name);
      CPPUNIT_ASSERT_MESSAGE(Name, contains(Script, "    " + Name + ") words"));
      CPPUNIT_ASSERT_MESSAGE(Name, contains(programHelp(), "\n  " + Name));
    }
    CPPUNIT_ASSERT(contains(
        Script, "confirm) words=\" --help --key-file --output --server "
                "--timeout --wait\""));
    CPPUNIT_ASSERT(contains(Script, "zone) words=\"out in --help"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorTextsTest);

} // namespace fulmarwinch
