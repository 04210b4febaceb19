#ifndef FULMARWINCH_SERVERS_ROUTES_TRAFFIC_CONFIGURATION_H
#define FULMARWINCH_SERVERS_ROUTES_TRAFFIC_CONFIGURATION_H

#include "core/enum_names.h"
#include "core/store_position.h"
#include "core/time.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Determines whether a request on a route may run more than once. Streaming
/// requests may if the route is resumable.
enum class RequestKind { Idempotent, NonIdempotent, Streaming };

inline constexpr std::array<EnumName<RequestKind>, 3> RequestKindNames{{
    {RequestKind::Idempotent, "idempotent"},
    {RequestKind::NonIdempotent, "non_idempotent"},
    {RequestKind::Streaming, "streaming"},
}};

/// Service with its weight among the services of a route. Each service receives
/// a part of the requests in proportion to its weight.
struct ServiceWeight {
  std::string m_Service;
  unsigned m_Weight = 1;
};

/// Selects requests by host and path prefix, and defines how they are handled.
struct Route {
  std::string m_Name;
  std::string m_Host;
  /// Begins and ends with a slash.
  std::string m_PathPrefix;
  RequestKind m_Kind = RequestKind::NonIdempotent;
  std::vector<ServiceWeight> m_Services;
  /// Maximum time from the request to the end of the response.
  Duration m_Timeout = std::chrono::seconds(60);
  /// Objective for the time to the first byte of the response. A later response
  /// counts as late.
  Duration m_FirstByteObjective = std::chrono::seconds(1);
  /// Objective for the time between two events of a stream. A later event
  /// counts as late.
  Duration m_EventGapObjective = std::chrono::seconds(1);
  /// Maximum number of backend servers to which one client request is sent,
  /// including retries.
  unsigned m_MaxAttempts = 1;
  /// Priority of the requests; 0 is the highest.
  unsigned m_Priority = 0;
  /// Requests need no API key.
  bool m_NeedsNoApiKey = false;
  /// A stream that breaks may resume on another backend server after its last
  /// event.
  bool m_Resumable = false;

  /// True if a request may run more than once, completely or in part.
  bool mayRunMoreThanOnce() const {
    return m_Kind == RequestKind::Idempotent ||
           (m_Kind == RequestKind::Streaming && m_Resumable);
  }
};

/// Model that the backend servers of a service can load.
struct ModelSpec {
  std::string m_Name;
  /// Number of backend servers in one replica group.
  unsigned m_GroupSize = 1;
  /// Factor on all prefill and decode times of a group that runs the model.
  double m_DurationFactor = 1.0;
  /// Share of the service's load that the operator expects for the model, from
  /// 0 to 1.
  double m_ExpectedLoadShare = 0.0;
  /// Time to load the weights from the weight store.
  Duration m_WeightStoreLoadTime = std::chrono::seconds(60);
  /// Time to load the weights from the copy that is staged on the host.
  Duration m_StagedLoadTime = std::chrono::seconds(6);
};

/// Performance figures that are published for the model engine of a service.
/// All of them apply to one replica group.
struct EngineSpec {
  /// Maximum batch size: number of requests that run at the same time.
  unsigned m_Slots = 1;
  /// Capacity of the KV cache in tokens.
  std::uint64_t m_KvCapacityTokens = 0;
  /// Time of one decode step in milliseconds: a fixed part, a part for each
  /// running sequence and a part for each 1,000 tokens of context.
  double m_DecodeStepMs = 0.0;
  double m_DecodeStepMsPerSequence = 0.0;
  double m_DecodeStepMsPerKiloContext = 0.0;
  /// Prefill rate in prompt tokens per millisecond.
  double m_PrefillTokensPerMs = 1.0;
  /// Maximum number of prompt tokens that one pass prefills (chunked prefill);
  /// 0 if there is no limit.
  std::uint64_t m_PrefillChunkTokens = 0;
  /// Number of decode steps per pass, and therefore of tokens per stream event.
  unsigned m_DecodeStepsPerPass = 1;
  /// Maximum number of loads from the weight store that start per second.
  double m_MaxLoadStartsPerSecond = 1.0;
  /// Maximum number of concurrent loads from the weight store.
  unsigned m_MaxConcurrentLoads = 1;
  /// Time from an open order until the group accepts requests.
  Duration m_OpenDelay{0};
  std::vector<ModelSpec> m_Models;

  /// Returns the model with the name \p Name, or null.
  const ModelSpec *findModel(const std::string &Name) const {
    for (const ModelSpec &Model : m_Models)
      if (Model.m_Name == Name)
        return &Model;
    return nullptr;
  }
  /// Returns the factor on all prefill and decode times of a group that runs
  /// the model \p Name; 1 if there is no such model.
  double durationFactorOf(const std::string &Name) const {
    const ModelSpec *Model = findModel(Name);
    return Model ? Model->m_DurationFactor : 1.0;
  }
};

/// A set of interchangeable backend servers.
struct ServiceSpec {
  std::string m_Name;
  std::string m_HealthPath;
  unsigned m_MaxConnections = 0;
  /// Maximum requests per second for a backend server during its cold start; 0
  /// if the servers have no cold start.
  double m_MaxColdRequestsPerSecond = 0.0;
  Duration m_ColdStartDuration{0};
  /// Model engine of the service. A service without models has no replica
  /// groups: each of its servers handles requests on its own.
  EngineSpec m_Engine;

  /// True if the backend servers form replica groups.
  bool hasReplicaGroups() const { return !m_Engine.m_Models.empty(); }
};

/// An organisation, and the API keys with which its clients authenticate.
struct OrganisationSpec {
  std::string m_Name;
  std::vector<std::string> m_ApiKeys;
  /// Priority of the requests of the organisation, or -1 to use the priority of
  /// the route.
  int m_Priority = -1;
};

/// Limits on the size and the duration of client requests.
struct ClientLimits {
  std::size_t m_MaxHeaderBytes = 16384;
  std::size_t m_MaxBodyBytes = 1U << 20U;
  Duration m_HeaderTimeout = std::chrono::seconds(5);
  Duration m_IdleTimeout = std::chrono::seconds(30);
};

/// One version of the traffic configuration. A new version replaces it as a
/// whole.
struct TrafficConfiguration {
  std::uint64_t m_Version = 0;
  std::vector<Route> m_Routes;
  std::vector<ServiceSpec> m_Services;
  std::vector<OrganisationSpec> m_Organisations;
  /// True if clients have to authenticate. There may be no organisation left
  /// whose key they could use.
  bool m_RequiresApiKeys = false;
  ClientLimits m_Limits;
};

/// Place of a configuration among those that the operator has written. Its
/// version decides: a store that has returned from a copy may name an older
/// configuration at a later position than the one in force.
struct ConfigurationOrder {
  std::uint64_t m_Version = 0;
  StorePosition m_Position;

  bool operator<(const ConfigurationOrder &Other) const {
    return std::tie(m_Version, m_Position) <
           std::tie(Other.m_Version, Other.m_Position);
  }
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_ROUTES_TRAFFIC_CONFIGURATION_H
