#ifndef FULMARWINCH_DRIVERS_STANDIN_ENGINE_OPTIONS_H
#define FULMARWINCH_DRIVERS_STANDIN_ENGINE_OPTIONS_H

#include "core/json.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace fulmarwinch {

/// Settings of one engine stand-in. Each can be changed at run time by
/// `POST /control` with the name that EngineOptions::update() reads.
struct EngineOptions {
  std::string m_Vm;
  std::uint16_t m_Port = 0;
  /// Address of the platform stand-in as "host:port", from whose weight store
  /// the engine loads. If it is empty, loading takes the fixed time
  /// m_FixedLoadMs.
  std::string m_Platform;
  /// Largest number of requests in one batch step.
  std::size_t m_MaxBatchSize = 16;
  /// Largest number of queued requests; further ones are refused.
  std::size_t m_MaxQueuedRequests = 256;
  /// Largest number of requests that a cold engine can have in flight; one more
  /// makes it fail and load again.
  std::size_t m_ColdCapacity = 2;
  /// Number of requests that a cold engine has to complete to become warm.
  std::uint64_t m_RequestsToWarm = 4;
  /// Duration of a batch step, which generates one token for each request.
  std::int64_t m_BatchStepMs = 5;
  /// Prefill time for each KB (1024 bytes) of the prompt that is not in the
  /// prefix cache, in microseconds.
  std::int64_t m_PrefillUsPerKb = 2000;
  /// Size of the prefix cache in blocks.
  std::size_t m_CacheBlocks = 4096;
  /// Shortest time between two updates of the reported load.
  std::int64_t m_LoadReportLagMs = 0;
  /// Interval at which the head queries the state of the group's other members.
  std::int64_t m_MemberCheckIntervalMs = 100;
  std::int64_t m_FixedLoadMs = 200;
  /// Size in bytes of the weights that the engine loads from the weight store.
  double m_WeightBytes = 1e8;
  /// Whether orders with an outdated fencing token are refused.
  bool m_ChecksFence = true;
  /// A request whose body contains this text crashes the engine; empty for
  /// none.
  std::string m_CrashMarker;
  /// Delay before an engine that a request crashed is started again; negative
  /// to leave it stopped.
  std::int64_t m_CrashRestartDelayMs = 1000;

  /// Sets the members that \p Settings names and leaves the others unchanged.
  void update(const Json &Settings);
};

} // namespace fulmarwinch

#endif // FULMARWINCH_DRIVERS_STANDIN_ENGINE_OPTIONS_H
