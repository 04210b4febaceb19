#ifndef FULMARWINCH_CLI_HTTP_OPERATOR_API_CLIENT_H
#define FULMARWINCH_CLI_HTTP_OPERATOR_API_CLIENT_H

#include "cli/operator_api_client.h"
#include "drivers/http/http_client.h"

#include <string>

namespace fulmarwinch {

/// Calls the operator API of one node over HTTP.
class HttpOperatorApiClient : public OperatorApiClient {
public:
  /// \p ServerUrl has no path. With an empty \p OperatorKey the requests have
  /// no Authorization header.
  HttpOperatorApiClient(std::string ServerUrl, std::string OperatorKey);

  OperatorResponse get(const std::string &Path) override;
  OperatorResponse post(const std::string &Path,
                        const std::string &Body) override;

private:
  OperatorResponse call(HttpCall Call);

  std::string m_ServerUrl;
  std::string m_OperatorKey;
  HttpClient m_HttpClient{1};
};

} // namespace fulmarwinch

#endif // FULMARWINCH_CLI_HTTP_OPERATOR_API_CLIENT_H
