#ifndef FULMARWINCH_SERVERS_PLANNING_ASSIGNMENT_SUMMARY_H
#define FULMARWINCH_SERVERS_PLANNING_ASSIGNMENT_SUMMARY_H

#include <cstdint>
#include <string>
#include <vector>

namespace fulmarwinch {

/// One VM, with only the fields from which the effects of a plan are estimated.
struct VmSummary {
  std::string m_Vm;
  std::string m_Zone;
  std::string m_Domain;
  /// Group of the VM; empty if the VM is free.
  std::string m_Group;
  std::int64_t m_Accelerators = 0;
};

/// One replica group, with only the fields from which the effects of a plan are
/// estimated.
struct GroupSummary {
  std::string m_Group;
  std::string m_Deployment;
  std::string m_Domain;
  bool m_Serving = false;
  std::int64_t m_RunningRequests = 0;
  /// Expected time to load the deployment's model, in seconds.
  double m_ReloadSeconds = 0;
};

/// Summary of the present assignment, as known to the node that handles the
/// plan request.
struct AssignmentSummary {
  std::vector<GroupSummary> m_Groups;
  std::vector<VmSummary> m_Vms;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_PLANNING_ASSIGNMENT_SUMMARY_H
