#ifndef FULMARWINCH_NODE_SERVICE_RELAY_H
#define FULMARWINCH_NODE_SERVICE_RELAY_H

#include "drivers/http/http_client.h"
#include "drivers/http/http_server.h"
#include "node/claim_service.h"
#include "node/data_path.h"
#include "node/error_response.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace fulmarwinch {

/// A request to a plain service that passed the checks of the gateway.
struct ServiceRequest {
  HttpExchangePtr m_Exchange;
  std::string m_RequestId;
  std::string m_Organisation;
  Service m_Service;
  /// Path at the service, with the query.
  std::string m_Target;
  /// Set for a route that is declared non-idempotent.
  std::optional<IdempotencyKey> m_Key;
};

/// Carries one request to a plain service and its response back. A
/// non-idempotent request is claimed first and sent at most once.
class ServiceRelay : public std::enable_shared_from_this<ServiceRelay> {
public:
  ServiceRelay(ServiceRequest Request, DataPath &Path, HttpClient &Client,
               ClaimService &Claims, std::function<void()> OnDone);

  void start();

private:
  void onClaim(ClaimResult Result);
  void answerClaimed(const ClaimResult &Result);
  void dispatch();
  HttpCall makeCall();
  void onDone(const HttpCallResult &Result);
  std::string_view remedyFor(Outcome Ended) const;
  void record(const HttpCallResult &Result, Outcome Ended);
  void answerResponse(int Status);
  void answerError(const absl::Status &Reason, Outcome Ended);

  ServiceRequest m_Request;
  DataPath &m_Path;
  HttpClient &m_Client;
  ClaimService &m_Claims;
  const std::function<void()> m_OnDone;
  std::optional<DispatchedClaim> m_Claim;
  std::size_t m_Backend = 0;
  std::size_t m_Attempts = 0;
  /// An attempt may have run, so the request is never reported as not run.
  bool m_MayHaveRun = false;
  HttpHeaders m_Headers;
  std::string m_Body;
  /// A byte of any attempt left this node.
  bool m_IsAnySent = false;
  bool m_MarkedNotRun = false;
  bool m_TooLarge = false;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_SERVICE_RELAY_H
