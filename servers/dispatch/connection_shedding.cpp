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

/// Time for which a client is seen before its speed counts.
constexpr Duration MinObservedTime = std::chrono::seconds(3);
/// Memory that is needed is not left to clients that would keep it for longer.
/// Requests last for seconds.
constexpr Duration MaxTimeToRead = std::chrono::minutes(2);

bool hasStalled(const ConnectionState &State, MonotonicTime Now) {
  return State.m_Activity == ConnectionState::Activity::Sending &&
         Now - State.m_Since >= MinStalledTime;
}

} // namespace

void ReadProgress::restart(std::uint64_t Taken, MonotonicTime Now) {
  m_FirstTaken = m_LastTaken = m_CountedBytes = Taken;
  m_FirstSeenAt = m_StalledSince = Now;
}

void ReadProgress::update(std::uint64_t Taken, MonotonicTime Now) {
  m_LastTaken = Taken;
  if (Taken < m_CountedBytes + MinReadBytes)
    return;
  m_CountedBytes = Taken;
  m_StalledSince = Now;
}

Duration ReadProgress::timeToRead(std::size_t Waiting,
                                  MonotonicTime Now) const {
  const Duration Observed = Now - m_FirstSeenAt;
  if (Observed < MinObservedTime)
    return Duration::zero();
  const auto Taken = static_cast<double>(m_LastTaken - m_FirstTaken);
  const double Factor = static_cast<double>(Waiting) / std::max(1.0, Taken);
  // A longer time makes no difference and may not be representable.
  constexpr double MaxFactor = 1e6;
  return std::chrono::duration_cast<Duration>(Observed *
                                              std::min(Factor, MaxFactor));
}

std::vector<std::size_t>
chooseByMemory(const std::vector<ConnectionState> &Connections,
               std::size_t Excess, MonotonicTime Now) {
  // Class, negative weight and index.
  std::vector<std::tuple<int, double, std::size_t>> Candidates;
  const auto Add = [&](int Class, std::size_t Index, Duration Time) {
    Candidates.emplace_back(
        Class,
        -static_cast<double>(Connections[Index].m_HeldBytes) *
            static_cast<double>(Time.count()),
        Index);
  };
  for (std::size_t I = 0; I < Connections.size(); ++I) {
    const ConnectionState &State = Connections[I];
    if (hasStalled(State, Now))
      Add(0, I, Now - State.m_Since);
    else if (State.m_Activity == ConnectionState::Activity::Sending &&
             State.m_TimeToRead > MaxTimeToRead)
      Add(1, I, State.m_TimeToRead);
  }
  std::sort(Candidates.begin(), Candidates.end());
  std::vector<std::size_t> Result;
  std::size_t Released = 0;
  for (const auto &[Class, Weight, Index] : Candidates) {
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
