#ifndef FULMARWINCH_SERVERS_PLANNING_ASSIGNMENT_SUMMARY_H
#define FULMARWINCH_SERVERS_PLANNING_ASSIGNMENT_SUMMARY_H

#include <cstdint>
#include <string>
#include <vector>

namespace fulmarwinch {

/// A VM as far as a plan needs it.
struct SummaryVm {
  std::string m_Vm;
  std::string m_Zone;
  std::string m_Domain;
  /// Group of the VM; empty for a VM that is free.
  std::string m_Group;
  std::int64_t m_Accelerators = 0;
};

/// A replica group as far as a plan needs it.
struct SummaryGroup {
  std::string m_Group;
  std::string m_Deployment;
  std::string m_Domain;
  bool m_Serving = false;
  std::int64_t m_RunningRequests = 0;
  /// Expected time to load the deployment's model.
  double m_ReloadSeconds = 0;
};

/// The present assignment, as the serving node knows it.
struct AssignmentSummary {
  std::vector<SummaryGroup> m_Groups;
  std::vector<SummaryVm> m_Vms;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_PLANNING_ASSIGNMENT_SUMMARY_H
