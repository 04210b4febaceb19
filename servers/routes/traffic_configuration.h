#ifndef FULMARWINCH_SERVERS_ROUTES_TRAFFIC_CONFIGURATION_H
#define FULMARWINCH_SERVERS_ROUTES_TRAFFIC_CONFIGURATION_H

#include "core/enum_names.h"
#include "core/time.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace fulmarwinch {

/// What may be repeated of the requests on a route.
enum class RequestKind { Idempotent, NonIdempotent, Streaming };

inline constexpr std::array<EnumName<RequestKind>, 3> RequestKindNames{{
    {RequestKind::Idempotent, "idempotent"},
    {RequestKind::NonIdempotent, "non_idempotent"},
    {RequestKind::Streaming, "streaming"},
}};

/// Share of a route's requests that goes to one service.
struct ServiceWeight {
  std::string m_Service;
  unsigned m_Weight = 1;
};

/// Selects requests by host and path prefix and says how to treat them.
struct Route {
  std::string m_Name;
  std::string m_Host;
  /// Begins and ends with a slash.
  std::string m_PathPrefix;
  RequestKind m_Kind = RequestKind::NonIdempotent;
  std::vector<ServiceWeight> m_Services;
  /// Longest time that a client is kept waiting for the end of a response.
  Duration m_Timeout = std::chrono::seconds(60);
  /// Time to the first byte of a response that is still on time.
  Duration m_LatencyObjective = std::chrono::seconds(1);
  /// Longest pause between events of a stream that is still on time.
  Duration m_PauseObjective = std::chrono::seconds(1);
  /// Most backend servers that one client attempt may run on.
  unsigned m_MaxAttempts = 1;
  /// 0 is served first.
  unsigned m_Priority = 0;
  /// Needs no key.
  bool m_Public = false;
  /// A stream may go on at another backend server after its last event.
  bool m_Resumable = false;

  /// True if a request may run more than once.
  bool mayRepeat() const {
    return m_Kind == RequestKind::Idempotent ||
           (m_Kind == RequestKind::Streaming && m_Resumable);
  }
};

/// A model that the backend servers of a service can load.
struct ModelSpec {
  std::string m_Name;
  /// Backend servers of one replica group.
  unsigned m_GroupSize = 1;
  /// Factor on all times of a group that runs the model.
  double m_Pace = 1.0;
  /// Share of the service's work that the operator expects for the model.
  double m_ExpectedShare = 0.0;
  /// Load from the weight store, and from the host's own copy.
  Duration m_LoadTime = std::chrono::seconds(60);
  Duration m_WarmLoadTime = std::chrono::seconds(6);
};

/// Published figures of a service's model engine. All of them hold for one
/// replica group.
struct EngineSpec {
  unsigned m_Slots = 1;
  std::uint64_t m_KvCapacityTokens = 0;
  /// One token step, the extra per running sequence and per 1,000 tokens of
  /// context, in milliseconds.
  double m_StepMs = 0.0;
  double m_StepMsPerSequence = 0.0;
  double m_StepMsPerKiloContext = 0.0;
  /// Prompt tokens that are read per millisecond.
  double m_PrefillTokensPerMs = 1.0;
  /// Prompt tokens that one pass reads at most; 0 if there is no bound.
  std::uint64_t m_ChunkTokens = 0;
  /// Token steps per pass and therefore per stream event.
  unsigned m_StepsPerPass = 1;
  /// Starts of loads from the weight store per second, and loads at a time.
  double m_LoadsPerSecond = 1.0;
  unsigned m_ConcurrentLoads = 1;
  /// Delay of an open order until the group serves.
  Duration m_OpenDelay{0};
  std::vector<ModelSpec> m_Models;

  /// Returns the model that is called \p Name, or null.
  const ModelSpec *findModel(const std::string &Name) const {
    for (const ModelSpec &Model : m_Models)
      if (Model.m_Name == Name)
        return &Model;
    return nullptr;
  }
  /// Factor on all times of a group that runs the model \p Name.
  double paceOf(const std::string &Name) const {
    const ModelSpec *Model = findModel(Name);
    return Model ? Model->m_Pace : 1.0;
  }
};

/// A pool of like backend servers.
struct ServiceSpec {
  std::string m_Name;
  std::string m_HealthPath;
  unsigned m_MaxConnections = 0;
  /// Requests per second that a cold backend server tolerates; 0 if its
  /// servers are never cold.
  double m_ColdRequestsPerSecond = 0.0;
  Duration m_ColdDuration{0};
  /// Empty models mean a plain service.
  EngineSpec m_Engine;

  bool hasGroups() const { return !m_Engine.m_Models.empty(); }
};

/// An organisation and the keys that its callers present.
struct OrganisationSpec {
  std::string m_Name;
  std::vector<std::string> m_Keys;
  /// Priority of the organisation, or -1 to use that of the route.
  int m_Priority = -1;
};

/// Bounds on what a client may send and how long it may take.
struct ClientLimits {
  std::size_t m_MaxHeaderBytes = 16384;
  std::size_t m_MaxBodyBytes = 1U << 20U;
  Duration m_HeaderTimeout = std::chrono::seconds(5);
  Duration m_IdleTimeout = std::chrono::seconds(30);
};

/// One version of everything that the operator sets. It is replaced whole.
struct TrafficConfiguration {
  std::uint64_t m_Version = 0;
  std::vector<Route> m_Routes;
  std::vector<ServiceSpec> m_Services;
  std::vector<OrganisationSpec> m_Organisations;
  ClientLimits m_Limits;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_ROUTES_TRAFFIC_CONFIGURATION_H
