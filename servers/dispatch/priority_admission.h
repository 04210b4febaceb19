#ifndef FULMARWINCH_SERVERS_DISPATCH_PRIORITY_ADMISSION_H
#define FULMARWINCH_SERVERS_DISPATCH_PRIORITY_ADMISSION_H

#include "servers/dispatch/completion_rate.h"
#include "servers/dispatch/overload_admission.h"

#include <map>
#include <string>

namespace fulmarwinch {

/// Admitted shares of the requests of one priority.
struct PriorityShares {
  /// Shares of the organisations that the load reports do not name.
  AdmittedShares m_Others;
  std::map<std::string, AdmittedShares> m_ByOrganisation;
};

/// Admitted shares of the requests of one model or of one service without
/// groups.
struct AdmissionShares {
  /// Shares of the requests whose priority has no entry.
  AdmittedShares m_Mean;
  std::map<unsigned, PriorityShares> m_ByPriority;

  /// Returns the shares of the requests of an organisation.
  const AdmittedShares &find(unsigned Priority,
                             const std::string &Organisation) const;
};

/// Divides the admitted work of a model by priority and organisation.
/// \p Mean states the shares of all its requests together.
///
/// Load condition: requests of several priorities and organisations exceed what
/// the groups complete. The most urgent priority is admitted first, but each
/// priority keeps at least half of the mean share. Within a priority,
/// organisations are limited to the same amount of work (max-min fairness), so
/// that one that sends many times its usual load takes nothing from the others.
/// If the reports name no organisation, those of a priority share evenly.
AdmissionShares divideByPriority(const AdmittedShares &Mean,
                                 const WorkRates &Work);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_DISPATCH_PRIORITY_ADMISSION_H
