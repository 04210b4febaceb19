#include "servers/dispatch/rate_limit_codec.h"

namespace fulmarwinch {

namespace {

/// Elements of a row: the start of the process, the age of the statement in
/// microseconds and, if the server names a limit, the requests per second.
constexpr std::size_t UnlimitedRowSize = 2;
constexpr std::size_t LimitedRowSize = 3;

} // namespace

Json toJson(const RateLimitStatements &Statements) {
  Json Result = Json::object();
  for (const auto &[Server, Stated] : Statements) {
    Json Row{Stated.m_StartedAtMs, Stated.m_Age.count()};
    if (Stated.m_RequestsPerSecond)
      Row.push_back(*Stated.m_RequestsPerSecond);
    Result[Server] = std::move(Row);
  }
  return Result;
}

RateLimitStatements parseRateLimitStatements(const Json &Value) {
  RateLimitStatements Result;
  if (!Value.is_object())
    return Result;
  for (const auto &[Server, Row] : Value.items()) {
    if (!Row.is_array() ||
        (Row.size() != UnlimitedRowSize && Row.size() != LimitedRowSize) ||
        !Row[0].is_number_integer() || !Row[1].is_number_integer())
      continue;
    RateLimitStatement Stated;
    Stated.m_StartedAtMs = Row[0].get<std::int64_t>();
    Stated.m_Age = Duration(Row[1].get<std::int64_t>());
    if (Row.size() == LimitedRowSize) {
      if (!Row[2].is_number() || !(Row[2].get<double>() >= 0.0))
        continue;
      Stated.m_RequestsPerSecond = Row[2].get<double>();
    }
    Result[Server] = Stated;
  }
  return Result;
}

} // namespace fulmarwinch
