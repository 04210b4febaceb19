#ifndef FULMARWINCH_NODE_SERVICE_RELAY_H
#define FULMARWINCH_NODE_SERVICE_RELAY_H

#include "drivers/http/http_client.h"
#include "drivers/http/http_server.h"
#include "node/claim_service.h"
#include "node/data_path.h"
#include "node/error_response.h"
#include "proxy/response_buffer.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace fulmarwinch {

/// A request to a plain HTTP service that passed the filters of the gateway.
struct ServiceRequest {
  HttpExchangePtr m_Exchange;
  std::string m_RequestId;
  std::string m_Organisation;
  Service m_Service;
  /// Path and query at the service.
  std::string m_Target;
  /// Idempotency key; set only if the route is declared non-idempotent.
  std::optional<IdempotencyKey> m_Key;
};

/// Forwards one request to a plain service and returns the response. A
/// non-idempotent request is sent only after its idempotency key is claimed,
/// and at most once.
class ServiceRelay : public std::enable_shared_from_this<ServiceRelay> {
public:
  ServiceRelay(ServiceRequest Request, DataPath &Path, HttpClient &Client,
               ClaimService &Claims, std::function<void()> OnDone);

  void start();

private:
  void onClaim(ClaimResult Result);
  /// Answers with the recorded response, or with an error if there is none.
  void respondWithoutClaim(const ClaimResult &Result);
  void dispatch();
  HttpCall makeCall();
  /// True if the next part of the response may be read.
  bool mayRead();
  void onDone(const HttpCallResult &Result);
  std::string_view remedyFor(Outcome AttemptOutcome) const;
  void recordClaimOutcome(const HttpCallResult &Result, Outcome AttemptOutcome);
  void forwardResponse(int Status);
  void sendError(const absl::Status &Reason, Outcome AttemptOutcome);

  ServiceRequest m_Request;
  DataPath &m_DataPath;
  HttpClient &m_Client;
  ClaimService &m_Claims;
  const std::function<void()> m_OnDone;
  std::optional<DispatchedClaim> m_Claim;
  std::size_t m_BackendIndex = 0;
  std::size_t m_AttemptCount = 0;
  /// True if any attempt may have run. The request is then never reported to
  /// the client as not run.
  bool m_MayHaveRun = false;
  HttpHeaders m_Headers;
  ResponseBuffer m_Body{m_Request.m_Exchange->memory(), this};
  /// True if any attempt has sent a byte to the service.
  bool m_HasSentBytes = false;
  /// The service reported that it did not run the request.
  bool m_ReportedNotRun = false;
  bool m_IsBodyTooLarge = false;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_SERVICE_RELAY_H
