#ifndef FULMARWINCH_RANDOMISED_STREAM_WORLD_H
#define FULMARWINCH_RANDOMISED_STREAM_WORLD_H

#include "randomised/fake_head.h"
#include "randomised/request_node.h"
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
class StreamWorld {
public:
  explicit StreamWorld(RunState &State);
  void step();
  /// Starts a cold phase of the engine of \p Vm without restarting it.
  void turnCold(const std::string &Vm);
  /// Stops the engine of \p Vm from producing tokens for the given time.
  void stall(const std::string &Vm, std::int64_t Milliseconds);
  /// Starts a stream whose request crashes each engine that accepts it.
  void sendPoison();
  /// Must be called before an order ends the requests in flight on \p Vm.
  /// Checks that a planned stop ends no request (I9).
  void onEngineStop(const std::string &Vm);
  /// Whether no stream of the node is in progress.
  bool isIdle(std::size_t Node) const;

private:
  struct Stream {
    std::uint64_t m_Id = 0;
    std::size_t m_Node = 0;
    ContentHash m_Hash = 0;
    bool m_IsPoison = false;
    std::string m_Deployment;
    std::uint64_t m_Length = 0;
    std::unique_ptr<StreamSplicer> m_Splicer;
    std::uint64_t m_Received = 0;
    std::int64_t m_StartedAt = 0;
    std::int64_t m_ProgressAt = 0;
    /// Group that serves the current attempt; empty between attempts.
    std::string m_Group;
    bool m_UsesSlot = false;
    bool m_MayHaveRun = false;
    std::set<std::string> m_Tried;
  };

  void restartNodes();
  void startStream(bool IsPoison, ContentHash Hash);
  void driveStreams();
  bool drive(Stream &ClientStream);
  bool dispatch(Stream &ClientStream);
  void send(Stream &ClientStream, const RouteDecision &Decision);
  void arrive(const std::string &Vm, const EngineRequest &Request,
              int StartCount);
  void onRefused(std::uint64_t Id, std::uint32_t Attempt);
  void produce();
  void produceToken(const std::string &Vm, EngineRequest &Request,
                    bool IsFinal);
  void onChunk(std::uint64_t Id, int StartCount, const StreamChunk &Chunk,
               const std::string &StartId);
  void closeConnection(const Stream &ClientStream);
  void endAttempt(Stream &ClientStream, bool IsBroken);
  void finish(Stream &ClientStream, bool IsComplete);
  void crashPoisoned();
  void onServerCrash(const std::string &Group);
  void publishViews();
  void deliverView(std::size_t Node, const GroupView &View, bool IsServing,
                   std::int64_t PublishedAt, std::size_t Load);
  void runGranters();
  void askSlots();
  void askSlots(std::size_t Node, const std::string &Group);
  std::size_t holderOf(const std::string &Group) const;
  std::string shardOf(const std::string &Group) const;
  bool areConnected(std::size_t First, std::size_t Second) const {
    return m_State.m_Island[First] == m_State.m_Island[Second];
  }

  RunState &m_State;
  std::vector<std::unique_ptr<RequestNode>> m_Nodes;
  std::map<std::string, FakeHead> m_Heads;
  std::map<std::uint64_t, Stream> m_Streams;
  /// Streams of which an engine accepted an attempt.
  std::set<std::uint64_t> m_Accepted;
  std::set<std::uint64_t> m_ToldNotRun;
  std::map<std::uint64_t, int> m_PoisonCrashes;
  std::uint64_t m_LastId = 0;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_RANDOMISED_STREAM_WORLD_H
