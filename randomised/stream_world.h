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

/// Streams of clients through the request path of the nodes to the engines.
class StreamWorld {
public:
  explicit StreamWorld(RunState &State);
  void step();
  void turnCold(const std::string &Vm);
  void stall(const std::string &Vm, std::int64_t Milliseconds);
  void sendPoison();
  /// An order ends the work of \p Vm.
  void onEngineStop(const std::string &Vm);
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
    /// Group of the running attempt; empty between attempts.
    std::string m_Group;
    bool m_UsesSlot = false;
    bool m_MayHaveRun = false;
    std::set<std::string> m_Tried;
  };

  void restartNodes();
  void startStream(bool IsPoison, ContentHash Hash);
  void driveStreams();
  bool drive(Stream &Each);
  bool dispatch(Stream &Each);
  void send(Stream &Each, const RouteDecision &Decision);
  void arrive(const std::string &Vm, const EngineRequest &Request, int Starts);
  void onRefused(std::uint64_t Id, std::uint32_t Attempt);
  void produce();
  void produceToken(const std::string &Vm, EngineRequest &Request, bool Final);
  void onChunk(std::uint64_t Id, int Starts, const StreamChunk &Chunk,
               const std::string &StartId);
  void closeConnection(const Stream &Each);
  void endAttempt(Stream &Each, bool IsBroken);
  void finish(Stream &Each, bool IsComplete);
  void crashPoisoned();
  void onServerCrash(const std::string &Group);
  void publishViews();
  void deliverView(std::size_t Node, const GroupView &View, bool Serves,
                   std::int64_t PublishedAt, std::size_t Load);
  void runGranters();
  void askSlots();
  void askSlots(std::size_t Node, const std::string &Group);
  std::size_t holderOf(const std::string &Group) const;
  std::string shardOf(const std::string &Group) const;
  bool areConnected(std::size_t Left, std::size_t Right) const {
    return m_State.m_Island[Left] == m_State.m_Island[Right];
  }

  RunState &m_State;
  std::vector<std::unique_ptr<RequestNode>> m_Nodes;
  std::map<std::string, FakeHead> m_Heads;
  std::map<std::uint64_t, Stream> m_Streams;
  /// Streams that an engine accepted.
  std::set<std::uint64_t> m_Accepted;
  std::set<std::uint64_t> m_ToldNotRun;
  std::map<std::uint64_t, int> m_PoisonCrashes;
  std::uint64_t m_LastId = 0;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_RANDOMISED_STREAM_WORLD_H
