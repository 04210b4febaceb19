#include "servers/dispatch/server_speed.h"

#include <algorithm>
#include <cmath>

namespace fulmarwinch {

namespace {

using std::chrono::milliseconds;

/// Time that is added to the observed and the expected time: the processing on
/// a small node delays each event by tens of milliseconds.
constexpr Duration CommonDelay = milliseconds(30);
/// Bounds of the slowness of one sample.
constexpr double MinSlowness = 0.5;
constexpr double MaxSlowness = 16.0;
/// Slowness from which a wait counts before its first event has come.
constexpr double OverdueSlowness = 4.0;
/// Number of ratios that are kept for the median, and from which it is known.
constexpr std::size_t MaxRatios = 32;
constexpr std::size_t MinRatios = 8;
/// Older ratios are left out of the median if enough others are known, so that
/// it follows a change of the load.
constexpr Duration MaxRatioAge = std::chrono::seconds(3);
/// Weight below which the samples of a server are forgotten.
constexpr double ForgottenWeight = 0.05;
constexpr Duration RefreshPeriod = milliseconds(50);
/// Maximum number of servers in one message; each takes about 20 bytes.
constexpr std::size_t MaxReportedServers = 16;
/// Maximum weight of the report of one peer.
constexpr double MaxPeerWeight = 20.0;
/// Maximum number of changes that are kept for the log.
constexpr std::size_t MaxChanges = 64;
constexpr double Percent = 100.0;
constexpr double Tenths = 10.0;

double toSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

/// Ratio of the observed to the expected time to the first event.
double ratioOf(const FirstEventWait &Wait, MonotonicTime Now) {
  return toSeconds(Now - Wait.m_SentAt + CommonDelay) /
         toSeconds(Wait.m_Expected + CommonDelay);
}

} // namespace

double ServerSpeed::Samples::slowness() const {
  return m_Weight > 0.0 ? std::exp(m_LogSum / m_Weight) : 1.0;
}

FirstEventWait ServerSpeed::beginWait(std::string Scope, Duration Expected,
                                      MonotonicTime SentAt) const {
  FirstEventWait Wait;
  Wait.m_Expected = std::max(Duration::zero(), Expected);
  Wait.m_SentAt = SentAt;
  Wait.m_IsOver = false;
  if (const auto Median = medianRatio(Scope, SentAt))
    Wait.m_OverdueAt =
        SentAt - CommonDelay +
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
            toSeconds(Wait.m_Expected + CommonDelay) * *Median *
            OverdueSlowness));
  Wait.m_Scope = std::move(Scope);
  return Wait;
}

void ServerSpeed::onStillWaiting(FirstEventWait &Wait,
                                 const ChosenServer &Server,
                                 MonotonicTime Now) {
  if (Wait.m_IsOver || Wait.m_Recorded > 0.0 || Now < Wait.m_OverdueAt)
    return;
  Wait.m_Recorded = OverdueSlowness;
  Samples &Own = ownSamples(Server, Now).m_Samples;
  Own.m_LogSum += std::log(OverdueSlowness);
  Own.m_Weight += 1.0;
}

void ServerSpeed::onFirstEvent(FirstEventWait &Wait, const ChosenServer &Server,
                               MonotonicTime Now) {
  if (Wait.m_IsOver)
    return;
  Wait.m_IsOver = true;
  const double Ratio = ratioOf(Wait, Now);
  const auto Median = medianRatio(Wait.m_Scope, Now);
  addRatio(Wait.m_Scope, Ratio, Now);
  if (!Median)
    return;
  const double Slowness = std::clamp(Ratio / *Median, MinSlowness, MaxSlowness);
  Samples &Own = ownSamples(Server, Now).m_Samples;
  if (Wait.m_Recorded > 0.0) {
    // The wait has counted already, with the slowness that was known then.
    Own.m_LogSum += std::max(0.0, std::log(Slowness / Wait.m_Recorded));
    return;
  }
  Own.m_LogSum += std::log(Slowness);
  Own.m_Weight += 1.0;
}

void ServerSpeed::refresh(MonotonicTime Now) {
  if (Now - m_RefreshedAt < RefreshPeriod)
    return;
  m_RefreshedAt = Now;
  removeExpired(Now);
  absl::flat_hash_map<std::string, SlowServer> Slow;
  const auto Add = [&](const std::string &Server, Samples Total,
                       std::optional<Process> SlowProcess) {
    const auto Reported = m_PeerSums.find(Server);
    if (Reported != m_PeerSums.end()) {
      Total.m_LogSum += Reported->second.m_Samples.m_LogSum;
      Total.m_Weight += Reported->second.m_Samples.m_Weight;
    }
    const double Slowness = std::min(MaxSlowness, Total.slowness());
    if (Total.m_Weight >= m_Settings.m_MinWeight &&
        Slowness >= m_Settings.m_SlowFrom)
      Slow[Server] = {std::move(SlowProcess), Slowness};
  };
  for (const auto &[Server, Own] : m_Own)
    Add(Server, decayed(Own, Now), Own.m_Process);
  for (const auto &[Server, Reported] : m_PeerSums)
    if (m_Own.count(Server) == 0)
      Add(Server, {}, std::nullopt);
  for (const auto &[Server, Entry] : Slow)
    if (m_Slow.count(Server) == 0)
      recordChange(Server, Entry.m_Slowness, Now);
  for (const auto &[Server, Entry] : m_Slow)
    if (Slow.count(Server) == 0)
      recordChange(Server, 1.0, Now);
  m_Slow = std::move(Slow);
}

double ServerSpeed::slowness(const BackendServer &Server) const {
  const auto Known = m_Slow.find(Server.m_Id);
  if (Known == m_Slow.end())
    return 1.0;
  const std::optional<Process> &SlowProcess = Known->second.m_Process;
  if (!SlowProcess)
    return Known->second.m_Slowness;
  const bool IsSameGroup =
      !SlowProcess->m_Group ||
      (Server.m_Membership &&
       Server.m_Membership->m_Group == *SlowProcess->m_Group);
  return SlowProcess->m_StartedAtMs == Server.m_StartedAtMs && IsSameGroup
             ? Known->second.m_Slowness
             : 1.0;
}

std::vector<SpeedChange> ServerSpeed::takeChanges() {
  return std::exchange(m_Changes, {});
}

ServerSpeed::Report ServerSpeed::ownReport(MonotonicTime Now) {
  removeExpired(Now);
  std::vector<std::pair<const std::string *, Samples>> Reported;
  for (const auto &[Server, Own] : m_Own) {
    const Samples Current = decayed(Own, Now);
    const auto Sum = m_PeerSums.find(Server);
    if (Current.slowness() >= m_Settings.m_SlowFrom ||
        (Sum != m_PeerSums.end() && Sum->second.m_SlowForPeers > 0))
      Reported.emplace_back(&Server, Current);
  }
  if (Reported.size() > MaxReportedServers) {
    std::sort(Reported.begin(), Reported.end(),
              [](const auto &Left, const auto &Right) {
                return Left.second.m_Weight > Right.second.m_Weight;
              });
    Reported.resize(MaxReportedServers);
  }
  Report Result;
  for (const auto &[Server, Current] : Reported)
    Result[*Server] = {
        static_cast<unsigned>(std::lround(Current.slowness() * Percent)),
        static_cast<unsigned>(std::lround(Current.m_Weight * Tenths))};
  return Result;
}

void ServerSpeed::setPeerReport(const std::string &Peer, const Report &Slow,
                                MonotonicTime Now) {
  removePeer(Peer);
  if (Slow.empty())
    return;
  PeerReport &Known = m_Peers[Peer];
  Known.m_ReceivedAt = Now;
  for (const auto &[Server, Values] : Slow) {
    if (Known.m_Samples.size() == MaxReportedServers)
      break;
    const double Weight = std::min(MaxPeerWeight, Values[1] / Tenths);
    const double Slowness =
        std::clamp(Values[0] / Percent, MinSlowness, MaxSlowness);
    Known.m_Samples[Server] = {std::log(Slowness) * Weight, Weight};
  }
  addToSums(Known);
}

void ServerSpeed::removePeer(const std::string &Peer) {
  const auto Known = m_Peers.find(Peer);
  if (Known == m_Peers.end())
    return;
  subtractFromSums(Known->second);
  m_Peers.erase(Known);
}

std::optional<double> ServerSpeed::medianRatio(const std::string &Scope,
                                               MonotonicTime Now) const {
  const auto Known = m_RatiosByScope.find(Scope);
  if (Known == m_RatiosByScope.end() ||
      Known->second.m_Ratios.size() < MinRatios)
    return std::nullopt;
  // From the latest ratio backwards.
  const RecentRatios &Recent = Known->second;
  const std::size_t Count = Recent.m_Ratios.size();
  std::array<double, MaxRatios> Values{};
  std::size_t Used = 0;
  for (; Used < Count; ++Used) {
    const auto &[At, Ratio] =
        Recent.m_Ratios[(Recent.m_Next + Count - 1 - Used) % Count];
    if (Used >= MinRatios && Now - At > MaxRatioAge)
      break;
    Values[Used] = Ratio;
  }
  const auto Middle = Values.begin() + static_cast<std::ptrdiff_t>(Used / 2);
  std::nth_element(Values.begin(), Middle,
                   Values.begin() + static_cast<std::ptrdiff_t>(Used));
  return *Middle;
}

void ServerSpeed::addRatio(const std::string &Scope, double Ratio,
                           MonotonicTime Now) {
  RecentRatios &Recent = m_RatiosByScope[Scope];
  if (Recent.m_Ratios.size() < MaxRatios) {
    Recent.m_Ratios.emplace_back(Now, Ratio);
    return;
  }
  Recent.m_Ratios[Recent.m_Next] = {Now, Ratio};
  Recent.m_Next = (Recent.m_Next + 1) % MaxRatios;
}

ServerSpeed::Samples ServerSpeed::decayed(const OwnSamples &Own,
                                          MonotonicTime Now) const {
  const double Factor = std::exp(-toSeconds(Now - Own.m_UpdatedAt) /
                                 toSeconds(m_Settings.m_AveragingTime));
  return {Own.m_Samples.m_LogSum * Factor, Own.m_Samples.m_Weight * Factor};
}

ServerSpeed::OwnSamples &ServerSpeed::ownSamples(const ChosenServer &Server,
                                                 MonotonicTime Now) {
  OwnSamples &Own = m_Own[Server.m_Id];
  const Process Current{Server.m_StartedAtMs, Server.m_Group};
  if (!(Own.m_Process == Current))
    Own = {Current, {}, Now};
  Own.m_Samples = decayed(Own, Now);
  Own.m_UpdatedAt = Now;
  return Own;
}

void ServerSpeed::removeExpired(MonotonicTime Now) {
  absl::erase_if(m_Own, [&](const auto &Entry) {
    return decayed(Entry.second, Now).m_Weight < ForgottenWeight;
  });
  for (auto Entry = m_Peers.begin(); Entry != m_Peers.end();) {
    if (Now - Entry->second.m_ReceivedAt <= m_Settings.m_MaxReportAge) {
      ++Entry;
      continue;
    }
    subtractFromSums(Entry->second);
    Entry = m_Peers.erase(Entry);
  }
}

void ServerSpeed::addToSums(const PeerReport &Reported) {
  for (const auto &[Server, Peer] : Reported.m_Samples) {
    PeerSum &Sum = m_PeerSums[Server];
    Sum.m_Samples.m_LogSum += Peer.m_LogSum;
    Sum.m_Samples.m_Weight += Peer.m_Weight;
    ++Sum.m_Peers;
    Sum.m_SlowForPeers += Peer.slowness() >= m_Settings.m_SlowFrom ? 1 : 0;
  }
}

void ServerSpeed::subtractFromSums(const PeerReport &Reported) {
  for (const auto &[Server, Peer] : Reported.m_Samples) {
    const auto Known = m_PeerSums.find(Server);
    PeerSum &Sum = Known->second;
    if (--Sum.m_Peers == 0) {
      m_PeerSums.erase(Known);
      continue;
    }
    Sum.m_Samples.m_LogSum -= Peer.m_LogSum;
    Sum.m_Samples.m_Weight -= Peer.m_Weight;
    Sum.m_SlowForPeers -= Peer.slowness() >= m_Settings.m_SlowFrom ? 1 : 0;
  }
}

void ServerSpeed::recordChange(const std::string &Server, double Slowness,
                               MonotonicTime Now) {
  if (m_Changes.size() >= MaxChanges)
    return;
  SpeedChange Change{Server, Slowness, 0.0, 0.0};
  const auto Own = m_Own.find(Server);
  if (Own != m_Own.end())
    Change.m_OwnWeight = decayed(Own->second, Now).m_Weight;
  const auto Reported = m_PeerSums.find(Server);
  if (Reported != m_PeerSums.end())
    Change.m_PeerWeight = Reported->second.m_Samples.m_Weight;
  m_Changes.push_back(std::move(Change));
}

} // namespace fulmarwinch
