#include "node/authenticator.h"

#include "core/error.h"
#include "core/hash.h"

#include "absl/strings/match.h"

#include <optional>

namespace fulmarwinch {

namespace {

constexpr const char *BearerPrefix = "Bearer ";

absl::StatusOr<std::string> bearerKeyHash(const HttpHeaders &Headers) {
  const std::optional<std::string> Authorization =
      findHeader(Headers, "Authorization");
  if (!Authorization || !absl::StartsWith(*Authorization, BearerPrefix))
    return makeError(ErrorKind::Unauthenticated,
                     "the request carries no API key",
                     "send the header 'Authorization: Bearer <key>'");
  return sha256Hex(std::string_view(*Authorization)
                       .substr(std::string_view(BearerPrefix).size()));
}

absl::Status unknownKeyError() {
  return makeError(ErrorKind::Unauthenticated, "the API key is not known",
                   "check the key or ask an operator to add it");
}

} // namespace

absl::StatusOr<Organisation>
authenticateOrganisation(const HttpHeaders &Headers,
                         const ConfigurationView &View) {
  const absl::StatusOr<std::string> SentKeyHash = bearerKeyHash(Headers);
  if (!SentKeyHash.ok())
    return SentKeyHash.status();
  const Organisation *Match = nullptr;
  for (const auto &[Id, Entry] : View.entries()) {
    if (Id.m_Kind != EntryKind::Organisation)
      continue;
    const Organisation *Candidate = View.organisation(Id.m_Name);
    if (!Candidate)
      continue;
    for (const std::string &KeyHash : Candidate->m_ApiKeySha256)
      if (equalsInConstantTime(KeyHash, *SentKeyHash))
        Match = Candidate;
  }
  if (!Match)
    return unknownKeyError();
  return *Match;
}

absl::StatusOr<Operator>
authenticateOperator(const HttpHeaders &Headers, const ConfigurationView &View,
                     const std::string &BootstrapKeySha256) {
  const absl::StatusOr<std::string> SentKeyHash = bearerKeyHash(Headers);
  if (!SentKeyHash.ok())
    return SentKeyHash.status();
  const Operator *Match = nullptr;
  bool HasOperators = false;
  for (const auto &[Id, Entry] : View.entries()) {
    if (Id.m_Kind != EntryKind::Operator)
      continue;
    // An account that this version cannot parse still counts as an operator;
    // otherwise the bootstrap key would become valid again.
    HasOperators = HasOperators || Entry.m_Content != nullptr;
    const Operator *Candidate = View.operatorAccount(Id.m_Name);
    if (!Candidate)
      continue;
    if (equalsInConstantTime(Candidate->m_KeySha256, *SentKeyHash))
      Match = Candidate;
  }
  if (Match)
    return *Match;
  if (!HasOperators && equalsInConstantTime(BootstrapKeySha256, *SentKeyHash)) {
    Operator Bootstrap;
    Bootstrap.m_Name = "bootstrap";
    Bootstrap.m_KeySha256 = BootstrapKeySha256;
    Bootstrap.m_Role = OperatorRole::Admin;
    return Bootstrap;
  }
  return unknownKeyError();
}

} // namespace fulmarwinch
