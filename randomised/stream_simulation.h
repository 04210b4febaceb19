#ifndef FULMARWINCH_RANDOMISED_STREAM_SIMULATION_H
#define FULMARWINCH_RANDOMISED_STREAM_SIMULATION_H

#include "randomised/fake_engine_server.h"
#include "randomised/request_path.h"
#include "servers/retry/outcome.h"
#include "servers/retry/stream_splicer.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Simulates clients whose streams pass through the request path of a node to
/// the engines. Checks that a client receives each token once and in order (I5)
/// and that a stream reported as not run was never accepted by an engine (I6).
class StreamSimulation {
public:
  explicit StreamSimulation(SimulationState &State);
  void step();
  /// Starts a cold phase of the engine of \p Vm without restarting it.
  void startColdPhase(const std::string &Vm);
  /// Stops the engine of \p Vm from producing tokens for the given time.
  void stallEngine(const std::string &Vm, std::int64_t Milliseconds);
  /// Starts a stream whose request crashes each engine that accepts it.
  void startPoisonStream();
  /// Must be called before an order ends the requests in flight on \p Vm.
  /// Checks that a planned stop ends no request (I9).
  void onEngineStop(const std::string &Vm);
  /// Whether no stream of the node is in progress.
  bool isIdle(std::size_t Node) const;

private:
  struct Stream {
    std::uint64_t m_Id = 0;
    std::size_t m_Node = 0;
    ContentHash m_ContentHash = 0;
    bool m_IsPoison = false;
    std::string m_Deployment;
    std::uint64_t m_TokenCount = 0;
    std::unique_ptr<StreamSplicer> m_Splicer;
    std::uint64_t m_ReceivedTokens = 0;
    std::int64_t m_StartedAt = 0;
    std::int64_t m_LastProgressAt = 0;
    /// Group that serves the current attempt; empty between attempts.
    std::string m_Group;
    bool m_UsesSlot = false;
    bool m_MayHaveRun = false;
    std::set<std::string> m_TriedGroups;
  };

  void restartNodes();
  void startStream(bool IsPoison, ContentHash Hash);
  void advanceStreams();
  bool advanceStream(Stream &ClientStream);
  bool dispatchAttempt(Stream &ClientStream);
  void sendRequest(Stream &ClientStream, const RouteDecision &Decision);
  void deliverRequest(const std::string &Vm, const EngineRequest &Request,
                      int StartCount);
  void onRefused(std::uint64_t Id, std::uint32_t Attempt);
  void produceTokens();
  void produceToken(const std::string &Vm, EngineRequest &Request,
                    bool IsFinal);
  void onChunk(std::uint64_t Id, int StartCount, const StreamChunk &Chunk,
               const std::string &StartId);
  void closeConnection(const Stream &ClientStream);
  void endAttempt(Stream &ClientStream, bool IsBroken);
  void finishStream(Stream &ClientStream, bool IsComplete);
  void crashEnginesOfPoisonRequests();
  void onServerCrash(const std::string &Group);
  void publishViews();
  void deliverView(std::size_t Node, const GroupView &View, bool IsServing,
                   std::int64_t PublishedAt, std::size_t Load);
  void updateSlotGranters();
  void requestSlots();
  void requestSlots(std::size_t Node, const std::string &Group);
  std::size_t leaseHolderOf(const std::string &Group) const;
  std::string shardOf(const std::string &Group) const;
  bool areConnected(std::size_t First, std::size_t Second) const {
    return m_State.m_NodePartitions[First] == m_State.m_NodePartitions[Second];
  }

  SimulationState &m_State;
  std::vector<std::unique_ptr<RequestPath>> m_RequestPaths;
  std::map<std::string, FakeEngineServer> m_EngineServers;
  std::map<std::uint64_t, Stream> m_Streams;
  /// Streams of which an engine accepted an attempt.
  std::set<std::uint64_t> m_AcceptedStreams;
  std::set<std::uint64_t> m_StreamsReportedNotRun;
  std::map<std::uint64_t, int> m_PoisonCrashes;
  std::uint64_t m_LastStreamId = 0;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_RANDOMISED_STREAM_SIMULATION_H
