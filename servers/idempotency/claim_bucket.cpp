#include "servers/idempotency/claim_bucket.h"
#include "core/error.h"
#include "core/json.h"

#include "absl/strings/escaping.h"

#include <utility>
#include <vector>

namespace fulmarwinch {

namespace {

constexpr std::size_t FieldsPerRecord = 9;
constexpr std::size_t MaxBytesOutsideRecords = 200;

/// Table of names in the order of their first use. Records refer to a name by
/// its index.
class NameTable {
public:
  std::size_t indexOf(const std::string &Name) {
    const auto [Entry, IsNew] = m_Indexes.emplace(Name, m_Names.size());
    if (IsNew)
      m_Names.push_back(Name);
    return Entry->second;
  }
  const std::vector<std::string> &names() const { return m_Names; }

private:
  std::map<std::string, std::size_t> m_Indexes;
  std::vector<std::string> m_Names;
};

absl::Status damagedBucketError(std::string_view Problem) {
  return makeError(
      ErrorKind::Internal, Problem,
      "inspect the object and delete it once its time slice has expired");
}

ClaimRecord decodeRecord(const Json &Row,
                         const std::vector<std::string> &Organisations,
                         const std::vector<std::string> &Writers) {
  ClaimRecord Record;
  const std::optional<ClaimHash> Body =
      decodeHash(Row.at(1).get<std::string>());
  const std::optional<ClaimState> State =
      valueOf(ClaimStateNames, Row.at(5).get<std::string>());
  if (!Body || !State)
    throw std::out_of_range("claim record");
  Record.m_BodyHash = *Body;
  Record.m_Organisation = Organisations.at(Row.at(2).get<std::size_t>());
  Record.m_Writer = Writers.at(Row.at(3).get<std::size_t>());
  Record.m_Sequence = Row.at(4).get<std::uint64_t>();
  Record.m_State = *State;
  Record.m_Outcome.m_StatusCode = Row.at(6).get<int>();
  if (!absl::Base64Unescape(Row.at(7).get<std::string>(),
                            &Record.m_Outcome.m_Body))
    throw std::out_of_range("claim record body");
  Record.m_Outcome.m_IsBodyComplete = Row.at(8).get<int>() != 0;
  return Record;
}

} // namespace

absl::StatusOr<ClaimBucket> ClaimBucket::decode(std::string_view Text) {
  try {
    const Json Encoded = Json::parse(Text);
    ClaimBucket Bucket;
    Bucket.setLastWrite(Encoded.at("writer").get<std::string>(),
                        Encoded.at("sequence").get<std::uint64_t>());
    const auto Organisations =
        Encoded.at("organisations").get<std::vector<std::string>>();
    const auto Writers = Encoded.at("writers").get<std::vector<std::string>>();
    for (const Json &Row : Encoded.at("records")) {
      if (!Row.is_array() || Row.size() != FieldsPerRecord)
        return damagedBucketError(
            "claim bucket has a record with a wrong number of fields");
      const std::optional<ClaimHash> Key =
          decodeHash(Row.at(0).get<std::string>());
      if (!Key)
        return damagedBucketError(
            "claim bucket has a record without a key hash");
      Bucket.set(*Key, decodeRecord(Row, Organisations, Writers));
    }
    return Bucket;
  } catch (const Json::exception &) {
    return damagedBucketError(
        "claim bucket is not valid JSON or lacks a field");
  } catch (const std::out_of_range &) {
    return damagedBucketError(
        "claim bucket has a record with an invalid field");
  }
}

std::string ClaimBucket::encode() const {
  NameTable Organisations;
  NameTable Writers;
  Json Rows = Json::array();
  for (const auto &[Key, Record] : m_Records)
    Rows.push_back(
        Json::array({encodeHash(Key), encodeHash(Record.m_BodyHash),
                     Organisations.indexOf(Record.m_Organisation),
                     Writers.indexOf(Record.m_Writer), Record.m_Sequence,
                     std::string(nameOf(ClaimStateNames, Record.m_State)),
                     Record.m_Outcome.m_StatusCode,
                     // A response body may contain bytes that are not allowed
                     // in JSON text.
                     absl::Base64Escape(Record.m_Outcome.m_Body),
                     Record.m_Outcome.m_IsBodyComplete ? 1 : 0}));
  const Json Encoded = {{"writer", m_Writer},
                        {"sequence", m_WriteSequence},
                        {"organisations", Organisations.names()},
                        {"writers", Writers.names()},
                        {"records", std::move(Rows)}};
  return Encoded.dump(-1, ' ', false, Json::error_handler_t::replace);
}

const ClaimRecord *ClaimBucket::find(const ClaimHash &Key) const {
  const auto Entry = m_Records.find(Key);
  return Entry == m_Records.end() ? nullptr : &Entry->second;
}

void ClaimBucket::set(const ClaimHash &Key, ClaimRecord Record) {
  const auto Entry = m_Records.find(Key);
  if (Entry != m_Records.end()) {
    m_MaxRecordBytes -=
        RecordBytes + encodedBodyBytes(Entry->second.m_Outcome.m_Body.size());
    m_ClaimsWithoutOutcome -=
        Entry->second.m_State == ClaimState::Claimed ? 1 : 0;
  }
  m_MaxRecordBytes +=
      RecordBytes + encodedBodyBytes(Record.m_Outcome.m_Body.size());
  m_ClaimsWithoutOutcome += Record.m_State == ClaimState::Claimed ? 1 : 0;
  m_Records.insert_or_assign(Key, std::move(Record));
}

void ClaimBucket::setLastWrite(std::string Writer, std::uint64_t Sequence) {
  m_Writer = std::move(Writer);
  m_WriteSequence = Sequence;
}

std::size_t ClaimBucket::maxEncodedBytes(std::size_t OutcomeBytes) const {
  return MaxBytesOutsideRecords + m_MaxRecordBytes +
         m_ClaimsWithoutOutcome * encodedBodyBytes(OutcomeBytes);
}

std::size_t ClaimBucket::encodedBodyBytes(std::size_t BodyBytes) {
  return (BodyBytes + 2) / 3 * 4;
}

} // namespace fulmarwinch
