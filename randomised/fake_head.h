#ifndef FULMARWINCH_RANDOMISED_FAKE_HEAD_H
#define FULMARWINCH_RANDOMISED_FAKE_HEAD_H

#include "randomised/run_state.h"
#include "servers/admission/slot_messages.h"

#include <map>
#include <string>

namespace fulmarwinch {

/// One attempt of a stream as it arrives at an engine.
struct EngineRequest {
  std::uint64_t m_Stream = 0;
  std::uint32_t m_Attempt = 0;
  std::size_t m_Node = 0;
  std::uint64_t m_NextIndex = 0;
  std::uint64_t m_Length = 0;
  bool m_IsPoison = false;
  /// The node had learnt that nobody reaches the object store.
  bool m_InOutage = false;
  std::string m_Group;
  std::uint64_t m_Generation = 0;
  std::int64_t m_SentAt = 0;
  std::int64_t m_AcceptedAt = 0;
};

/// The request side of the engine of one VM. It checks every request that it
/// accepts against I1, I3, I4 and I8, independently of the nodes.
class FakeHead {
public:
  static constexpr std::size_t ColdCapacity = 2;
  static constexpr std::size_t WarmCapacity = 8;

  FakeHead(RunState &State, std::string Vm)
      : m_State(State), m_Vm(std::move(Vm)) {}

  enum class Answer { Accepted, NotRun, Silent };
  Answer accept(EngineRequest Request);
  /// Notices restarts and loads of the engine.
  void follow();
  void turnCold();
  void stallFor(std::int64_t Milliseconds);
  bool isStalled() const;
  bool isCold() const { return m_State.m_World.now() < m_WarmingSince; }
  ServerReport report(const std::string &Group) const;
  std::string startId() const;
  /// Requests in flight by stream and attempt.
  std::map<std::pair<std::uint64_t, std::uint32_t>, EngineRequest> m_InFlight;
  std::uint64_t m_Completed = 0;
  /// Changes whenever the requests in flight were lost.
  std::uint64_t m_Life = 0;

private:
  std::size_t bearable() const;
  void checkMembers(const EngineRequest &Request) const;
  void checkPlace(const EngineRequest &Request) const;
  void checkLoad() const;

  RunState &m_State;
  std::string m_Vm;
  int m_Starts = 0;
  std::int64_t m_LoadedAt = -1;
  std::int64_t m_ColdSince = 0;
  std::int64_t m_WarmingSince = 0;
  bool m_IsSilentTurn = false;
  std::int64_t m_StalledUntil = 0;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_RANDOMISED_FAKE_HEAD_H
