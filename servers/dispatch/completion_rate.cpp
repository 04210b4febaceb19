#include "servers/dispatch/completion_rate.h"
#include "core/text.h"

#include <algorithm>
#include <cmath>

namespace fulmarwinch {

namespace {

/// Averages below this rate are not reported and are removed.
constexpr double NegligibleRate = 1e-4;

/// Peers may be of another version, so their numbers are checked.
double validRate(double Rate) {
  return std::isfinite(Rate) ? std::max(0.0, Rate) : 0.0;
}

/// Rounds to single precision, which takes half the space in a load message.
double rounded(double Rate) {
  return static_cast<double>(static_cast<float>(Rate));
}

OfferedWork toOffered(const std::array<double, 2> &Rates) {
  return {validRate(Rates[0]), validRate(Rates[1])};
}

void addReport(WorkRates &Total, const WorkReport &Report,
               const std::string &Pool) {
  const auto Completed = Report.m_Completed.find(Pool);
  if (Completed != Report.m_Completed.end())
    Total.m_Completed += validRate(Completed->second);
  const auto Offered = Report.m_Offered.find(Pool);
  if (Offered != Report.m_Offered.end())
    for (const auto &[Priority, Rates] : Offered->second)
      Total.m_OfferedByPriority[Priority] += toOffered(Rates);
  const auto Organisations = Report.m_Organisations.find(Pool);
  if (Organisations != Report.m_Organisations.end())
    for (const auto &[Name, Priority, First, Returning] : Organisations->second)
      Total.m_OfferedByOrganisation[{Priority, Name}] +=
          toOffered({First, Returning});
}

} // namespace

OfferedWork WorkRates::offered() const {
  OfferedWork Sum;
  for (const auto &[Priority, Offered] : m_OfferedByPriority)
    Sum += Offered;
  return Sum;
}

std::array<double, 2> CompletionRate::Average::at(MonotonicTime Now) const {
  const double Factor =
      std::exp(-std::chrono::duration<double>(Now - m_UpdatedAt).count() /
               std::chrono::duration<double>(AveragingTime).count());
  return {m_PerSecond[0] * Factor, m_PerSecond[1] * Factor};
}

void CompletionRate::Average::add(std::size_t Index, double Work,
                                  MonotonicTime Now) {
  m_PerSecond = at(Now);
  m_PerSecond[Index] +=
      Work / std::chrono::duration<double>(AveragingTime).count();
  m_UpdatedAt = Now;
}

void CompletionRate::recordOffered(const std::string &Pool, const Source &From,
                                   double Work, MonotonicTime Now) {
  m_Own[Pool].m_Offered[{From.m_Priority, From.m_Organisation}].add(
      From.m_IsReturning ? 1 : 0, Work, Now);
}

void CompletionRate::recordCompleted(const std::string &Pool, double Work,
                                     MonotonicTime Now) {
  m_Own[Pool].m_Completed.add(0, Work, Now);
}

WorkReport CompletionRate::ownReport(MonotonicTime Now) const {
  WorkReport Report;
  for (const auto &[Pool, Work] : m_Own) {
    const double Completed = Work.m_Completed.at(Now)[0];
    if (Completed >= NegligibleRate)
      Report.m_Completed[Pool] = rounded(Completed);
    std::vector<std::tuple<std::string, unsigned, double, double>>
        Organisations;
    for (const auto &[Source, Offered] : Work.m_Offered) {
      const std::array<double, 2> Rates = Offered.at(Now);
      if (Rates[0] + Rates[1] < NegligibleRate)
        continue;
      const auto &[Priority, Name] = Source;
      std::array<double, 2> &Sum = Report.m_Offered[Pool][Priority];
      Sum = {rounded(Sum[0] + Rates[0]), rounded(Sum[1] + Rates[1])};
      if (!Name.empty())
        Organisations.emplace_back(Name, Priority, rounded(Rates[0]),
                                   rounded(Rates[1]));
    }
    if (Organisations.empty())
      continue;
    const auto Kept = Organisations.begin() +
                      static_cast<std::ptrdiff_t>(
                          std::min(MaxOrganisations, Organisations.size()));
    std::partial_sort(Organisations.begin(), Kept, Organisations.end(),
                      [](const auto &Left, const auto &Right) {
                        return std::get<2>(Left) + std::get<3>(Left) >
                               std::get<2>(Right) + std::get<3>(Right);
                      });
    Organisations.erase(Kept, Organisations.end());
    Report.m_Organisations[Pool] = std::move(Organisations);
  }
  return Report;
}

void CompletionRate::setPeerReport(const std::string &Peer, WorkReport Report,
                                   MonotonicTime Now) {
  // Peers that were replaced never report again, and organisations may never
  // return, so their entries are removed here.
  for (auto Entry = m_Peers.begin(); Entry != m_Peers.end();)
    Entry = Now - Entry->second.m_ReceivedAt > MaxReportAge
                ? m_Peers.erase(Entry)
                : std::next(Entry);
  for (auto &[Pool, Work] : m_Own)
    for (auto Entry = Work.m_Offered.begin(); Entry != Work.m_Offered.end();) {
      const std::array<double, 2> Rates = Entry->second.at(Now);
      Entry = Rates[0] + Rates[1] < NegligibleRate ? Work.m_Offered.erase(Entry)
                                                   : std::next(Entry);
    }
  m_Peers[Peer] = {std::move(Report), Now};
}

WorkRates CompletionRate::total(const std::string &Pool,
                                MonotonicTime Now) const {
  WorkRates Total;
  const auto Own = m_Own.find(Pool);
  if (Own != m_Own.end()) {
    Total.m_Completed = Own->second.m_Completed.at(Now)[0];
    for (const auto &[Source, Offered] : Own->second.m_Offered) {
      const OfferedWork Rates = toOffered(Offered.at(Now));
      Total.m_OfferedByPriority[Source.first] += Rates;
      if (!Source.second.empty())
        Total.m_OfferedByOrganisation[Source] += Rates;
    }
  }
  for (const auto &[Peer, Reported] : m_Peers) {
    const Duration Age = Now - Reported.m_ReceivedAt;
    if (Age > MaxReportAge)
      continue;
    ++Total.m_Nodes;
    Total.m_OldestReportAge = std::max(Total.m_OldestReportAge, Age);
    addReport(Total, Reported.m_Report, Pool);
  }
  return Total;
}

std::string loadPoolName(const std::string &Service, const std::string &Model) {
  return Model.empty() ? concat(Service, "/") : Model;
}

} // namespace fulmarwinch
