#include "cli/audit_text.h"
#include "cli/command_line.h"
#include "cli/completion.h"
#include "cli/plan_text.h"
#include "cli/plan_wait.h"
#include "cli/status_changes.h"
#include "cli/status_text.h"
#include "cli/text_table.h"

#include "cppunit/extensions/HelperMacros.h"

#include <string>

namespace fulmarwinch {

namespace {

Json entry(const char *Id, const char *Before, const char *After) {
  return {{"id", Id}, {"before", Before}, {"after", After}};
}

Json group(const char *Name, const char *Deployment, int Generation,
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

/// Texts that operators decide by.
class TextsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TextsTest);
  CPPUNIT_TEST(tableAlignsColumns);
  CPPUNIT_TEST(tableHidesControlBytes);
  CPPUNIT_TEST(differenceHasMarks);
  CPPUNIT_TEST(planShowsEffects);
  CPPUNIT_TEST(unknownDowntimeIsNotNone);
  CPPUNIT_TEST(statusStartsWithProblems);
  CPPUNIT_TEST(groupTableShowsMembers);
  CPPUNIT_TEST(auditShowsWhatChanged);
  CPPUNIT_TEST(waitIgnoresOldGeneration);
  CPPUNIT_TEST(repeatedWaitSeesGroupsThatAreLeft);
  CPPUNIT_TEST(waitCountsDeploymentsAndNodes);
  CPPUNIT_TEST(watchShowsOnlyChanges);
  CPPUNIT_TEST(completionHasEveryCommandAndOption);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against columns that shift with long or non-ASCII cells, and
  /// against an empty cell that makes a line one field shorter.
  void tableAlignsColumns() {
    TextTable Table({"NAME", "ZONE"});
    Table.add({"n\xc3\xa4me-1", "a"});
    Table.add({"b", ""});
    CPPUNIT_ASSERT_EQUAL(std::string("NAME    ZONE\n"
                                     "n\xc3\xa4me-1  a\n"
                                     "b       -\n"),
                         Table.text());
  }

  /// Guards against terminal escape sequences in names or reasons.
  void tableHidesControlBytes() {
    TextTable Table({"NAME"});
    Table.add({"a\x1b[2Jb\n"});
    CPPUNIT_ASSERT_EQUAL(std::string("NAME\na?[2Jb?\n"), Table.text());
  }

  /// Guards against a removal that looks like a change.
  void differenceHasMarks() {
    const Json Plan = {
        {"entries",
         {entry("zone/a", "", R"({"kind":"zone","name":"a","inService":true})"),
          entry("zone/b", R"({"kind":"zone","name":"b","inService":true})",
                R"({"kind":"zone","name":"b","inService":false})"),
          entry("vm_drain/v", R"({"kind":"vm_drain","name":"v"})", "")}}};
    CPPUNIT_ASSERT_EQUAL(std::string("+ zone/a\n"
                                     "    + inService: true\n"
                                     "~ zone/b\n"
                                     "    ~ inService: true -> false\n"
                                     "- vm_drain/v\n"),
                         differenceText(Plan));
  }

  void planShowsEffects() {
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

  /// Guards against a plan that promises no downtime because the node did not
  /// know the reload time.
  void unknownDowntimeIsNotNone() {
    CPPUNIT_ASSERT(
        contains(planText({{"groups", {"g1"}}}), "downtime:     not known\n"));
    CPPUNIT_ASSERT(contains(planText({{"groups", Json::array()}}),
                            "downtime:     none\n"));
  }

  /// Guards against a screen on which the problem is below a long table.
  void statusStartsWithProblems() {
    const Json Good = {{"node", "n1"}, {"ready", true}};
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         statusText(Good).find("Nothing is wrong."));
    const Json Bad = {
        {"node", "n1"}, {"ready", false}, {"problems", {"group g1 is broken"}}};
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{0},
        statusText(Bad).find("Wrong now:\n"
                             "  node n1 does not accept new work\n"
                             "  group g1 is broken\n"));
  }

  /// Guards against a member count that is read as a list, which showed 1 for
  /// every group.
  void groupTableShowsMembers() {
    Json Group = group("g1", "chat", 4, true);
    Group["members"] = 32;
    CPPUNIT_ASSERT(contains(groupTable({{"groups", Json::array({Group})}}),
                            "4           32       0"));
  }

  /// Guards against lines of several hundred characters for one change.
  void auditShowsWhatChanged() {
    const auto Text = [](const char *Before, const char *After) {
      return auditTable(Json::array({{{"before", Before}, {"after", After}}}));
    };
    CPPUNIT_ASSERT(contains(Text(R"({"a":1,"b":2})", R"({"a":1,"b":3})"),
                            "  b: 2 -> 3\n"));
    CPPUNIT_ASSERT(contains(Text("", R"({"a":1})"), "  added\n"));
    CPPUNIT_ASSERT(contains(Text(R"({"a":1})", ""), "  removed\n"));
    CPPUNIT_ASSERT(contains(Text("", "refused"), "  refused\n"));
  }

  /// Guards against a wait that ends at once because the affected group still
  /// serves in its old form.
  void waitIgnoresOldGeneration() {
    const Json Plan = {
        {"accepted", false},
        {"groups", {"g1"}},
        {"progress",
         {{"revision", 4}, {"applied", {"n1"}}, {"notYet", Json::array()}}}};
    const auto Status = [](int Generation, bool Serving) -> Json {
      return {
          {"groups", Json::array({group("g1", "chat", Generation, Serving)})}};
    };
    const PlanWait Wait(Plan, Status(7, true));
    CPPUNIT_ASSERT(!Wait.state(Plan, Status(7, true)).isDone());
    CPPUNIT_ASSERT(!Wait.state(Plan, Status(8, false)).isDone());
    CPPUNIT_ASSERT(Wait.state(Plan, Status(8, true)).isDone());
    CPPUNIT_ASSERT(Wait.state(Plan, Json::object()).isDone());
    // A disbanded group is still listed after its availability zone left.
    Json Disbanded = Status(8, false);
    Disbanded["groups"][0]["members"] = 0;
    CPPUNIT_ASSERT(Wait.state(Plan, Disbanded).isDone());
  }

  /// Guards against a wait that ends at once for a plan that was confirmed by
  /// `zone out` a moment ago.
  void repeatedWaitSeesGroupsThatAreLeft() {
    const Json Plan = {
        {"accepted", true},
        {"groups", {"g1"}},
        {"entries", Json::array({entry(
                        "zone/a", "",
                        R"({"kind":"zone","name":"a","inService":false})")})},
        {"progress", {{"revision", 4}, {"applied", {"n1"}}}}};
    Json Status = {{"groups", Json::array({group("g1", "chat", 7, true)})}};
    Status["groups"][0]["zone"] = "a";
    const PlanWait Wait(Plan, Status);
    CPPUNIT_ASSERT(!Wait.state(Plan, Status).isDone());
    Status["groups"][0]["zone"] = "b";
    CPPUNIT_ASSERT(Wait.state(Plan, Status).isDone());
  }

  /// Guards against a wait for a dead node, and against surplus groups of one
  /// deployment that stand for the missing ones of another.
  void waitCountsDeploymentsAndNodes() {
    Json Plan = {
        {"entries",
         {entry("deployment/a", "",
                R"({"kind":"deployment","name":"a","replicas":1})"),
          entry("deployment/b", "",
                R"({"kind":"deployment","name":"b","replicas":1})")}},
        {"progress",
         {{"revision", 2}, {"applied", {"n1"}}, {"notYet", {"n2", "n3"}}}}};
    Json Status = {
        {"nodes",
         {{{"node", "n2"}, {"state", "dead"}},
          {{"node", "n3"}, {"state", "alive"}}}},
        {"groups", {group("g1", "a", 1, true), group("g2", "a", 1, true)}}};
    const PlanWait Wait(Plan, Status);
    const PlanWaitState State = Wait.state(Plan, Status);
    CPPUNIT_ASSERT(!State.isDone());
    CPPUNIT_ASSERT_EQUAL(
        std::string("revision 2: applied by 1 of 3 nodes, not yet by n3, "
                    "dead: n2; 1 of 2 groups serve"),
        toText(State));
    Plan["progress"]["notYet"] = {"n2"};
    Status["groups"].push_back(group("g3", "b", 1, true));
    CPPUNIT_ASSERT(Wait.state(Plan, Status).isDone());
  }

  void watchShowsOnlyChanges() {
    StatusChanges Changes;
    Json Status = {
        {"ready", true},
        {"groups",
         {group("g1", "chat", 1, true), group("g2", "chat", 1, true)}}};
    CPPUNIT_ASSERT(!Changes.next(Status).empty());
    CPPUNIT_ASSERT(Changes.next(Status).empty());
    Status["groups"] = Json::array({group("g2", "chat", 2, true)});
    const auto Found = Changes.next(Status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Found.size());
    CPPUNIT_ASSERT_EQUAL(std::string("- group/g1"), toText(Found[0]));
    CPPUNIT_ASSERT_EQUAL(std::string("~ group/g2: serving, generation 1 -> "
                                     "serving, generation 2"),
                         toText(Found[1]));
  }

  /// Guards against a command or an option that is added without completion.
  void completionHasEveryCommandAndOption() {
    const std::string Script = bashCompletion();
    for (const EnumName<Command> &Row : CommandNames) {
      const std::string Name(Row.m_Name);
      CPPUNIT_ASSERT_MESSAGE(Name, contains(Script, "    " + Name + ") words"));
      CPPUNIT_ASSERT_MESSAGE(Name, contains(generalHelp(), "\n  " + Name));
    }
    CPPUNIT_ASSERT(contains(
        Script, "confirm) words=\" --help --key-file --output --server "
                "--timeout --wait\""));
    CPPUNIT_ASSERT(contains(Script, "zone) words=\"out in --help"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TextsTest);

} // namespace fulmarwinch
