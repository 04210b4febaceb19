#ifndef FULMARWINCH_RANDOMISED_FAKE_ENGINE_SERVER_H
#define FULMARWINCH_RANDOMISED_FAKE_ENGINE_SERVER_H

#include "randomised/simulation_state.h"
#include "servers/admission/slot_messages.h"

#include <map>
#include <string>

namespace fulmarwinch {

/// Request of one attempt of a stream, as an engine receives it.
struct EngineRequest {
  std::uint64_t m_StreamId = 0;
  std::uint32_t m_Attempt = 0;
  std::size_t m_SenderNode = 0;
  std::uint64_t m_NextTokenIndex = 0;
  std::uint64_t m_TokenCount = 0;
  /// Whether the request crashes the engine that accepts it.
  bool m_IsPoison = false;
  /// Whether the sending node had detected an outage of the object store for
  /// all nodes.
  bool m_SentDuringStoreOutage = false;
  std::string m_Group;
  std::uint64_t m_Generation = 0;
  std::int64_t m_SentAt = 0;
  std::int64_t m_AcceptedAt = 0;
};

/// Simulates the request handling of one VM's engine. Checks each accepted
/// request against the invariants I1 (all members ready), I3 (cold capacity),
/// I4 (zone in service) and I8 (VM not drained), independently of the nodes.
class FakeEngineServer {
public:
  static constexpr std::size_t ColdCapacity = 2;
  static constexpr std::size_t WarmCapacity = 8;

  FakeEngineServer(SimulationState &State, std::string Vm)
      : m_State(State), m_Vm(std::move(Vm)) {}

  /// NoResponse: the engine is down or partitioned.
  enum class AcceptResult { Accepted, NotRun, NoResponse };
  AcceptResult accept(EngineRequest Request);
  /// Updates the state after the simulated engine crashed, restarted or loaded
  /// weights. Must be called in each step.
  void syncWithEngine();
  /// Starts a cold phase without a restart, so that the nodes learn of it only
  /// from reports.
  void startColdPhase();
  void stallFor(std::int64_t Milliseconds);
  bool isStalled() const;
  bool isCold() const { return m_State.m_Groups.nowMs() < m_WarmingSince; }
  ServerReport report(const std::string &Group) const;
  std::string startId() const;
  /// Requests in flight by stream ID and attempt number.
  std::map<std::pair<std::uint64_t, std::uint32_t>, EngineRequest> m_InFlight;
  std::uint64_t m_CompletedRequests = 0;
  /// Number of times that all requests in flight were lost.
  std::uint64_t m_InFlightLosses = 0;

private:
  std::size_t currentCapacity() const;
  void checkMembersReady(const EngineRequest &Request) const;
  void checkZoneAndDrain(const EngineRequest &Request) const;
  void checkColdCapacity() const;

  SimulationState &m_State;
  std::string m_Vm;
  int m_SeenStartCount = 0;
  std::int64_t m_SeenReadySince = -1;
  std::int64_t m_ColdSince = 0;
  std::int64_t m_WarmingSince = 0;
  bool m_IsUnreportedColdPhase = false;
  std::int64_t m_StalledUntil = 0;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_RANDOMISED_FAKE_ENGINE_SERVER_H
