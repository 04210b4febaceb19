#include "proxy/admission_control.h"
#include "core/text.h"
#include "proxy/request_relay.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

/// Time between two log lines about one model that is overloaded.
constexpr Duration ReportPeriod = std::chrono::seconds(1);

std::int64_t inMs(Duration Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
}

double meanLatency(const RelativeLatency &Latency) {
  return Latency.m_Count > 0.0 ? Latency.m_Sum / Latency.m_Count : 0.0;
}

} // namespace

bool AdmissionControl::tick(MonotonicTime Now) {
  if (!m_Context.m_RouteTable || Now < m_NextUpdateAt)
    return false;
  m_NextUpdateAt = Now + OverloadAdmission::Period;
  for (auto &[Name, State] : m_Pools)
    State.m_IsUpdated = false;
  for (const ServiceSpec &Service :
       m_Context.m_RouteTable->configuration().m_Services) {
    if (!Service.hasReplicaGroups())
      update(Service, "", Now);
    for (const ModelSpec &Model : Service.m_Engine.m_Models)
      update(Service, Model.m_Name, Now);
  }
  for (auto Entry = m_Pools.begin(); Entry != m_Pools.end();) {
    if (Entry->second.m_IsUpdated) {
      ++Entry;
      continue;
    }
    m_Context.m_AdmissionShares.erase(Entry->first);
    Entry = m_Pools.erase(Entry);
  }
  return true;
}

void AdmissionControl::update(const ServiceSpec &Service,
                              const std::string &Model, MonotonicTime Now) {
  const std::string Name = loadPoolName(Service.m_Name, Model);
  Pool &State = m_Pools[Name];
  State.m_IsUpdated = true;
  ServerQuery Query;
  Query.m_Service = &Service;
  Query.m_Model = Model;
  Query.m_Now = Now;
  const WorkRates Work = m_Context.m_CompletionRate.total(Name, Now);
  PoolLoad Load;
  Load.m_Supply = m_Context.m_Selector.groupSupply(m_Context.m_Fleet, Query);
  if (Service.hasReplicaGroups())
    m_Context.m_BusyGroups[Model] =
        static_cast<double>(Load.m_Supply.m_Groups) *
        Load.m_Supply.m_MeanSlotUsage;
  Load.m_Latency = m_Context.m_FirstEventLatency.total(Name, Now);
  Load.m_Completed = Work.m_Completed;
  Load.m_Offered = Work.offered();
  Load.m_Nodes = Work.m_Nodes;
  const AdmittedShares Mean = State.m_Admission.update(Load);
  if (Mean.admitsAll()) {
    m_Context.m_AdmissionShares.erase(Name);
    return;
  }
  AdmissionShares &Shares = m_Context.m_AdmissionShares[Name];
  const bool IsNew = Shares.m_Mean.admitsAll();
  Shares = divideByPriority(Mean, Work);
  if (IsNew)
    m_Context.m_Log.write(
        "overload",
        {{"model", Name},
         {"completed", Load.m_Completed},
         {"capacity", State.m_Admission.capacity()},
         {"offered", Load.m_Offered.m_FirstAttempts},
         {"returning", Load.m_Offered.m_Returning},
         {"groups", static_cast<std::int64_t>(Load.m_Supply.m_Groups)},
         {"slot_usage", Load.m_Supply.m_MeanSlotUsage},
         {"mean_latency", meanLatency(Load.m_Latency)},
         {"nodes", std::int64_t{Work.m_Nodes}},
         {"report_age_ms", inMs(Work.m_OldestReportAge)},
         {"admitted", Mean.m_FirstAttempts},
         {"returning_admitted", Mean.m_Returning}});
  if (Now < State.m_NextReportAt)
    return;
  State.m_NextReportAt = Now + ReportPeriod;
  logShares(Name, Load, Work, Shares);
}

void AdmissionControl::logShares(const std::string &Name, const PoolLoad &Load,
                                 const WorkRates &Work,
                                 const AdmissionShares &Shares) {
  for (const auto &[Priority, Class] : Shares.m_ByPriority) {
    const auto Lowest = std::min_element(
        Class.m_ByOrganisation.begin(), Class.m_ByOrganisation.end(),
        [](const auto &Left, const auto &Right) {
          return Left.second.m_FirstAttempts < Right.second.m_FirstAttempts;
        });
    const bool HasNamed = Lowest != Class.m_ByOrganisation.end();
    m_Context.m_Log.write(
        "admission",
        {{"model", Name},
         {"priority", std::int64_t{Priority}},
         {"completed", Load.m_Completed},
         {"offered", Work.m_OfferedByPriority.at(Priority).m_FirstAttempts},
         {"slot_usage", Load.m_Supply.m_MeanSlotUsage},
         {"mean_latency", meanLatency(Load.m_Latency)},
         {"nodes", std::int64_t{Work.m_Nodes}},
         {"report_age_ms", inMs(Work.m_OldestReportAge)},
         {"admitted", Class.m_Others.m_FirstAttempts},
         {"returning_admitted", Class.m_Others.m_Returning},
         {"organisation",
          HasNamed ? std::string_view(Lowest->first) : std::string_view()},
         {"organisation_admitted",
          HasNamed ? Lowest->second.m_FirstAttempts : 1.0}});
  }
}

void AdmissionControl::setGauges(MonotonicTime Now) {
  for (const auto &[Name, State] : m_Pools) {
    const auto Set = [&, &Pool = Name](const char *Metric, double Value) {
      m_Context.m_Metrics.setGauge(concat(Metric, "{model=\"", Pool, "\"}"),
                                   Value);
    };
    const WorkRates Work = m_Context.m_CompletionRate.total(Name, Now);
    const OfferedWork Offered = Work.offered();
    Set("work_completed", Work.m_Completed);
    Set("work_offered", Offered.m_FirstAttempts);
    Set("work_returning", Offered.m_Returning);
    Set("work_capacity", State.m_Admission.capacity());
    const auto Shares = m_Context.m_AdmissionShares.find(Name);
    const AdmittedShares Mean = Shares == m_Context.m_AdmissionShares.end()
                                    ? AdmittedShares()
                                    : Shares->second.m_Mean;
    Set("admitted_share", Mean.m_FirstAttempts);
    Set("returning_admitted_share", Mean.m_Returning);
  }
}

} // namespace fulmarwinch
