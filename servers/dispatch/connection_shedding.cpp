#include "servers/dispatch/connection_shedding.h"

#include <algorithm>
#include <tuple>

namespace fulmarwinch {

namespace {

/// A client that takes less within MinStalledTime counts as not reading. A
/// client that reads single bytes would hold its memory for ever otherwise.
constexpr std::uint64_t MinReadBytes = 1024;
/// Time without reading after which a connection may be closed. Short pauses of
/// sound clients and lost packets last less.
constexpr Duration MinStalledTime = std::chrono::seconds(1);

bool hasStalled(const ConnectionState &State, MonotonicTime Now) {
  return State.m_Activity == ConnectionState::Activity::Sending &&
         Now - State.m_Since >= MinStalledTime;
}

} // namespace

void ReadProgress::restart(std::uint64_t Taken, MonotonicTime Now) {
  m_CountedBytes = Taken;
  m_StalledSince = Now;
}

void ReadProgress::update(std::uint64_t Taken, MonotonicTime Now) {
  if (Taken >= m_CountedBytes + MinReadBytes)
    restart(Taken, Now);
}

std::vector<std::size_t>
chooseByMemory(const std::vector<ConnectionState> &Connections,
               std::size_t Excess, MonotonicTime Now) {
  std::vector<std::pair<double, std::size_t>> Candidates;
  for (std::size_t I = 0; I < Connections.size(); ++I)
    if (hasStalled(Connections[I], Now))
      Candidates.emplace_back(
          static_cast<double>(Connections[I].m_HeldBytes) *
              static_cast<double>((Now - Connections[I].m_Since).count()),
          I);
  std::sort(Candidates.begin(), Candidates.end(),
            [](const auto &Left, const auto &Right) {
              return std::make_pair(-Left.first, Left.second) <
                     std::make_pair(-Right.first, Right.second);
            });
  std::vector<std::size_t> Result;
  std::size_t Released = 0;
  for (const auto &[Weight, Index] : Candidates) {
    if (Released >= Excess)
      break;
    Released += Connections[Index].m_HeldBytes;
    Result.push_back(Index);
  }
  return Result;
}

std::vector<std::size_t>
chooseByIdleness(const std::vector<ConnectionState> &Connections,
                 std::size_t Count, MonotonicTime Now) {
  std::vector<std::tuple<int, MonotonicTime, std::size_t>> Candidates;
  for (std::size_t I = 0; I < Connections.size(); ++I) {
    const ConnectionState &State = Connections[I];
    if (State.m_Activity == ConnectionState::Activity::Idle)
      Candidates.emplace_back(0, State.m_Since, I);
    else if (State.m_Activity == ConnectionState::Activity::Receiving &&
             Now - State.m_Since >= MinStalledTime)
      Candidates.emplace_back(1, State.m_Since, I);
    else if (hasStalled(State, Now))
      Candidates.emplace_back(2, State.m_Since, I);
  }
  const std::size_t Chosen = std::min(Count, Candidates.size());
  std::partial_sort(Candidates.begin(),
                    Candidates.begin() + static_cast<std::ptrdiff_t>(Chosen),
                    Candidates.end());
  std::vector<std::size_t> Result;
  for (std::size_t I = 0; I < Chosen; ++I)
    Result.push_back(std::get<2>(Candidates[I]));
  return Result;
}

} // namespace fulmarwinch
