#include "cli/operator_client.h"

#include "fmt/format.h"

#include <utility>

namespace fulmarwinch {

namespace {

constexpr Duration ConnectTimeout = std::chrono::seconds(5);
/// A confirm repeats its update of the object store while that is slow, so
/// the limit is far above the usual few milliseconds.
constexpr Duration CallTimeout = std::chrono::seconds(60);

CliError notReachable(const std::string &Server, const HttpCall &Call,
                      const HttpCallResult &Result) {
  const bool MayHaveRun = Call.m_Method == "POST" && !Result.m_NothingSent;
  return makeCliError(
      ExitCode::NotReachable,
      fmt::format("no complete response from {}: {}", Server, Result.m_Error),
      MayHaveRun
          ? "the request may have been carried out; send it again, a plan is "
            "never applied twice"
          : "check --server and the network, or use another node");
}

} // namespace

OperatorClient::OperatorClient(std::string Server, std::string Key)
    : m_Server(std::move(Server)), m_Key(std::move(Key)) {}

OperatorReply OperatorClient::get(const std::string &Path) {
  HttpCall Call;
  Call.m_Url = m_Server + Path;
  return call(std::move(Call));
}

OperatorReply OperatorClient::post(const std::string &Path,
                                   const std::string &Body) {
  HttpCall Call;
  Call.m_Method = "POST";
  Call.m_Url = m_Server + Path;
  Call.m_Headers.push_back({"Content-Type", "application/json"});
  Call.m_Body = Body;
  Call.m_FreshConnection = true;
  return call(std::move(Call));
}

OperatorReply OperatorClient::call(HttpCall Call) {
  if (!m_Key.empty())
    Call.m_Headers.push_back(
        {"Authorization", fmt::format("Bearer {}", m_Key)});
  Call.m_ConnectTimeout = ConnectTimeout;
  Call.m_TotalTimeout = CallTimeout;
  const HttpClient::Response Answer = m_Client.fetch(Call);
  if (!Answer.m_Result.m_Complete)
    return {{}, notReachable(m_Server, Call, Answer.m_Result)};
  if (Answer.m_Result.m_Status != 200)
    return {{}, parseErrorBody(Answer.m_Result.m_Status, Answer.m_Body)};
  absl::StatusOr<Json> Body = parseJson(Answer.m_Body, "the response");
  if (!Body.ok() || !Body->is_object())
    return {{},
            makeCliError(
                ExitCode::Failed, "the response is not a JSON object",
                "check that --server names the operator endpoint of a node")};
  return {*std::move(Body), std::nullopt};
}

} // namespace fulmarwinch
