#include "node/authenticator.h"

#include "core/error.h"
#include "core/hash.h"

#include "absl/strings/match.h"

#include <optional>

namespace fulmarwinch {

namespace {

constexpr const char *BearerPrefix = "Bearer ";

absl::StatusOr<std::string> keyHash(const HttpHeaders &Headers) {
  const std::optional<std::string> Header =
      findHeader(Headers, "Authorization");
  if (!Header || !absl::StartsWith(*Header, BearerPrefix))
    return makeError(ErrorKind::Unauthenticated,
                     "the request carries no API key",
                     "send the header 'Authorization: Bearer <key>'");
  return sha256Hex(
      std::string_view(*Header).substr(std::string_view(BearerPrefix).size()));
}

absl::Status unknownKey() {
  return makeError(ErrorKind::Unauthenticated, "the API key is not known",
                   "check the key or ask an operator to add it");
}

} // namespace

absl::StatusOr<Organisation>
authenticateOrganisation(const HttpHeaders &Headers,
                         const ConfigurationView &View) {
  const absl::StatusOr<std::string> Hash = keyHash(Headers);
  if (!Hash.ok())
    return Hash.status();
  const Organisation *Found = nullptr;
  for (const auto &[Id, Entry] : View.entries()) {
    if (Id.m_Kind != EntryKind::Organisation)
      continue;
    const Organisation *Candidate = View.organisation(Id.m_Name);
    if (!Candidate)
      continue;
    for (const std::string &Known : Candidate->m_ApiKeySha256)
      if (equalConstantTime(Known, *Hash))
        Found = Candidate;
  }
  if (!Found)
    return unknownKey();
  return *Found;
}

absl::StatusOr<Operator>
authenticateOperator(const HttpHeaders &Headers, const ConfigurationView &View,
                     const std::string &BootstrapKeySha256) {
  const absl::StatusOr<std::string> Hash = keyHash(Headers);
  if (!Hash.ok())
    return Hash.status();
  const Operator *Found = nullptr;
  bool AnyOperator = false;
  for (const auto &[Id, Entry] : View.entries()) {
    if (Id.m_Kind != EntryKind::Operator)
      continue;
    // An account that this version cannot parse is an account all the same,
    // so it must not bring the bootstrap key back.
    AnyOperator = AnyOperator || Entry.m_Content != nullptr;
    const Operator *Candidate = View.operatorAccount(Id.m_Name);
    if (!Candidate)
      continue;
    if (equalConstantTime(Candidate->m_KeySha256, *Hash))
      Found = Candidate;
  }
  if (Found)
    return *Found;
  if (!AnyOperator && equalConstantTime(BootstrapKeySha256, *Hash)) {
    Operator Bootstrap;
    Bootstrap.m_Name = "bootstrap";
    Bootstrap.m_KeySha256 = BootstrapKeySha256;
    Bootstrap.m_Role = OperatorRole::Admin;
    return Bootstrap;
  }
  return unknownKey();
}

} // namespace fulmarwinch
