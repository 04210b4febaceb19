#include "cli/status_text.h"

#include "cli/terminal_text.h"
#include "cli/text_table.h"

#include "fmt/format.h"

#include <vector>

namespace fulmarwinch {

namespace {

std::string integerMember(const Json &Object, const char *Key) {
  return fmt::format("{}", fieldOr<std::int64_t>(Object, Key, 0));
}

std::string stringMember(const Json &Object, const char *Key) {
  return fieldOr<std::string>(Object, Key, "");
}

std::string groupState(const Json &Group) {
  if (fieldOr(Group, "leaving", false))
    return "leaving";
  if (!fieldOr(Group, "serving", false))
    return "not-serving";
  return fieldOr(Group, "warm", false) ? "serving" : "serving-cold";
}

} // namespace

std::string groupTable(const Json &Status) {
  TextTable Table({"GROUP", "DEPLOYMENT", "ZONE", "STATE", "GENERATION",
                   "MEMBERS", "RUNNING", "WAITING", "HEAD", "REASON"});
  for (const Json &Group : fieldOr(Status, "groups", Json::array()))
    Table.addRow(
        {stringMember(Group, "group"), stringMember(Group, "deployment"),
         stringMember(Group, "zone"), groupState(Group),
         integerMember(Group, "generation"), integerMember(Group, "members"),
         integerMember(Group, "running"), integerMember(Group, "waiting"),
         stringMember(Group, "head"), stringMember(Group, "reason")});
  return Table.empty() ? "no groups\n" : Table.render();
}

std::string nodeTable(const Json &Status) {
  TextTable Table({"NODE", "ZONE", "STATE", "REVISION"});
  for (const Json &Node : fieldOr(Status, "nodes", Json::array()))
    Table.addRow({stringMember(Node, "node"), stringMember(Node, "zone"),
                  stringMember(Node, "state"),
                  integerMember(Node, "revision")});
  return Table.empty() ? "no nodes\n" : Table.render();
}

std::string statusText(const Json &Status) {
  const std::string Node = replaceControlBytes(stringMember(Status, "node"));
  auto Problems = fieldOr(Status, "problems", std::vector<std::string>());
  if (!fieldOr(Status, "ready", false))
    Problems.insert(Problems.begin(),
                    fmt::format("node {} does not accept new work", Node));
  std::string Text = Problems.empty() ? "Nothing is wrong.\n" : "Wrong now:\n";
  for (const std::string &Problem : Problems)
    Text += fmt::format("  {}\n", replaceControlBytes(Problem));
  Text += fmt::format("\n{}\n{}\n", groupTable(Status), nodeTable(Status));
  Text +=
      fmt::format("seen by node {}: configuration {} at revision {}\n", Node,
                  replaceControlBytes(stringMember(Status, "configuration")),
                  integerMember(Status, "revision"));
  return Text;
}

} // namespace fulmarwinch
