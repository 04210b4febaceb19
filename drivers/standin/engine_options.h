#ifndef FULMARWINCH_DRIVERS_STANDIN_ENGINE_OPTIONS_H
#define FULMARWINCH_DRIVERS_STANDIN_ENGINE_OPTIONS_H

#include "core/json.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace fulmarwinch {

/// Behaviour of one engine stand-in. Every member can be changed later by
/// `POST /control` under the name that update() reads.
struct EngineOptions {
  std::string m_Vm;
  std::uint16_t m_Port = 0;
  /// Address of the platform stand-in as "host:port"; without it, loading
  /// takes m_LoadMs.
  std::string m_Platform;
  std::size_t m_Capacity = 16;
  std::size_t m_MaxWaiting = 256;
  std::size_t m_ColdCapacity = 2;
  /// Requests that a cold engine has to complete to become warm.
  std::uint64_t m_WarmAfter = 4;
  std::int64_t m_TokenMs = 5;
  /// Time to read one kilobyte of the prompt that is not in the cache.
  std::int64_t m_PrefillUsPerKb = 2000;
  std::size_t m_CacheBlocks = 4096;
  std::int64_t m_LoadReportLagMs = 0;
  std::int64_t m_MemberCheckMs = 100;
  std::int64_t m_LoadMs = 200;
  double m_WeightBytes = 1e8;
  bool m_ChecksFence = true;
  std::string m_CrashMark;
  /// Time after which an engine that a request crashed starts again; negative
  /// for never.
  std::int64_t m_RestartMs = 1000;

  /// Takes the members that \p Settings names.
  void update(const Json &Settings);
};

} // namespace fulmarwinch

#endif // FULMARWINCH_DRIVERS_STANDIN_ENGINE_OPTIONS_H
