#include "cli/http_operator_api_client.h"

#include "fmt/format.h"

#include <utility>

namespace fulmarwinch {

namespace {

constexpr Duration ConnectTimeout = std::chrono::seconds(5);
/// Timeout of one API call. While the object store is slow, the server retries
/// the update of a confirmed plan, so the timeout is far above the usual few
/// milliseconds.
constexpr Duration CallTimeout = std::chrono::seconds(60);

CliError notReachable(const std::string &ServerUrl, const HttpCall &Call,
                      const HttpCallResult &Result) {
  const bool MayHaveRun = Call.m_Method == "POST" && !Result.m_NothingSent;
  return makeCliError(
      ExitCode::NotReachable,
      fmt::format("no complete response from {}: {}", ServerUrl,
                  Result.m_Error),
      MayHaveRun
          ? "the request may have been carried out; repeat it: a plan is "
            "never applied twice"
          : "check --server and the network, or use another node");
}

} // namespace

HttpOperatorApiClient::HttpOperatorApiClient(std::string ServerUrl,
                                             std::string OperatorKey)
    : m_ServerUrl(std::move(ServerUrl)), m_OperatorKey(std::move(OperatorKey)) {
}

OperatorResponse HttpOperatorApiClient::get(const std::string &Path) {
  HttpCall Call;
  Call.m_Url = m_ServerUrl + Path;
  return call(std::move(Call));
}

OperatorResponse HttpOperatorApiClient::post(const std::string &Path,
                                             const std::string &Body) {
  HttpCall Call;
  Call.m_Method = "POST";
  Call.m_Url = m_ServerUrl + Path;
  Call.m_Headers.push_back({"Content-Type", "application/json"});
  Call.m_Body = Body;
  Call.m_UseNewConnection = true;
  return call(std::move(Call));
}

OperatorResponse HttpOperatorApiClient::call(HttpCall Call) {
  if (!m_OperatorKey.empty())
    Call.m_Headers.push_back(
        {"Authorization", fmt::format("Bearer {}", m_OperatorKey)});
  Call.m_ConnectTimeout = ConnectTimeout;
  Call.m_TotalTimeout = CallTimeout;
  const HttpClient::Response Response = m_HttpClient.fetch(Call);
  if (!Response.m_Result.m_Complete)
    return {{}, notReachable(m_ServerUrl, Call, Response.m_Result)};
  if (Response.m_Result.m_Status != 200)
    return {{}, parseErrorBody(Response.m_Result.m_Status, Response.m_Body)};
  absl::StatusOr<Json> Body = parseJson(Response.m_Body, "the response");
  if (!Body.ok() || !Body->is_object())
    return {{},
            makeCliError(
                ExitCode::Failed, "the response is not a JSON object",
                "check that --server names the operator endpoint of a node")};
  return {*std::move(Body), std::nullopt};
}

} // namespace fulmarwinch
