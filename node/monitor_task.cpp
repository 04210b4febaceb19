#include "node/monitor_task.h"

namespace fulmarwinch {

Json toJson(const MonitorTask &Task) {
  Json Members = Json::array();
  for (const MonitoredMember &Member : Task.m_Members)
    Members.push_back({Member.m_Vm, Member.m_Address});
  return {{"g", Task.m_Group},
          {"d", Task.m_Domain},
          {"z", Task.m_Zone},
          {"p", Task.m_Deployment},
          {"v", Task.m_Version},
          {"n", Task.m_Generation},
          {"s", nameOf(GroupStateNames, Task.m_State)},
          {"m", Members},
          {"h", Task.m_Holder},
          {"e", Task.m_Epoch},
          {"w", Task.m_WarmStartId}};
}

std::optional<MonitorTask> parseMonitorTask(const Json &Object) {
  MonitorTask Task;
  Task.m_Group = fieldOr<std::string>(Object, "g", "");
  Task.m_Domain = fieldOr<std::string>(Object, "d", "");
  Task.m_Zone = fieldOr<std::string>(Object, "z", "");
  Task.m_Deployment = fieldOr<std::string>(Object, "p", "");
  Task.m_Version = fieldOr<std::string>(Object, "v", "");
  Task.m_Generation = fieldOr<std::uint64_t>(Object, "n", 0);
  Task.m_Holder = fieldOr<std::string>(Object, "h", "");
  Task.m_Epoch = fieldOr<std::uint64_t>(Object, "e", 0);
  Task.m_WarmStartId = fieldOr<std::string>(Object, "w", "");
  const auto State =
      valueOf(GroupStateNames, fieldOr<std::string>(Object, "s", ""));
  const auto Members =
      fieldOr(Object, "m", std::vector<std::vector<std::string>>());
  if (Task.m_Group.empty() || !State)
    return std::nullopt;
  Task.m_State = *State;
  for (const std::vector<std::string> &Member : Members) {
    if (Member.size() != 2)
      return std::nullopt;
    Task.m_Members.push_back({Member[0], Member[1]});
  }
  return Task;
}

Json toJson(const PublishedView &View) {
  return {{"g", View.m_Group},       {"p", View.m_Deployment},
          {"v", View.m_Version},     {"z", View.m_Zone},
          {"n", View.m_Generation},  {"s", View.m_Serving},
          {"l", View.m_Draining},    {"y", View.m_Reason},
          {"a", View.m_HeadAddress}, {"i", View.m_StartId},
          {"c", View.m_Cold},        {"w", View.m_WarmStartId},
          {"h", View.m_Holder},      {"r", View.m_Running},
          {"q", View.m_Waiting},     {"k", View.m_Capacity},
          {"m", View.m_Members}};
}

std::optional<PublishedView> parsePublishedView(const Json &Object) {
  PublishedView View;
  View.m_Group = fieldOr<std::string>(Object, "g", "");
  View.m_Deployment = fieldOr<std::string>(Object, "p", "");
  View.m_Version = fieldOr<std::string>(Object, "v", "");
  View.m_Zone = fieldOr<std::string>(Object, "z", "");
  View.m_Generation = fieldOr<std::uint64_t>(Object, "n", 0);
  View.m_Serving = fieldOr<bool>(Object, "s", false);
  View.m_Draining = fieldOr<bool>(Object, "l", false);
  View.m_Reason = fieldOr<std::string>(Object, "y", "");
  View.m_HeadAddress = fieldOr<std::string>(Object, "a", "");
  View.m_StartId = fieldOr<std::string>(Object, "i", "");
  View.m_Cold = fieldOr<bool>(Object, "c", true);
  View.m_WarmStartId = fieldOr<std::string>(Object, "w", "");
  View.m_Holder = fieldOr<std::string>(Object, "h", "");
  View.m_Running = fieldOr<std::uint64_t>(Object, "r", 0);
  View.m_Waiting = fieldOr<std::uint64_t>(Object, "q", 0);
  View.m_Capacity = fieldOr<std::uint64_t>(Object, "k", 1);
  View.m_Members = fieldOr<std::size_t>(Object, "m", 0);
  if (View.m_Group.empty() || View.m_Deployment.empty())
    return std::nullopt;
  return View;
}

} // namespace fulmarwinch
