#include "servers/feed/change_batch.h"

#include "zlib.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

/// Size of the compressed bytes in one message; the rest of the datagram holds
/// names and revisions.
constexpr std::size_t PartBytes = 6000;
/// Maximum size of a batch after decompression. Larger ones are rejected, so
/// that a malformed size field cannot exhaust the memory of the process.
constexpr std::size_t MaxDecodedBytes = std::size_t{8} * 1024 * 1024;
/// Maximum number of incomplete batches; beyond it the oldest one is dropped.
constexpr std::size_t MaxPartialBatches = 16;
/// The lowest level is several times as fast as the default and compresses
/// entries that repeat each other's field names nearly as well.
constexpr int CompressionLevel = 1;

std::vector<std::uint8_t> compressBytes(const std::vector<std::uint8_t> &Raw) {
  uLongf Size = compressBound(Raw.size());
  std::vector<std::uint8_t> Result(Size);
  if (compress2(Result.data(), &Size, Raw.data(), Raw.size(),
                CompressionLevel) != Z_OK)
    Size = 0;
  Result.resize(Size);
  return Result;
}

std::optional<std::vector<std::uint8_t>>
decompressBytes(const std::vector<std::uint8_t> &Compressed,
                std::size_t DecodedBytes) {
  if (DecodedBytes == 0 || DecodedBytes > MaxDecodedBytes)
    return std::nullopt;
  std::vector<std::uint8_t> Result(DecodedBytes);
  uLongf Size = DecodedBytes;
  if (uncompress(Result.data(), &Size, Compressed.data(), Compressed.size()) !=
          Z_OK ||
      Size != DecodedBytes)
    return std::nullopt;
  return Result;
}

std::vector<ObjectChange> decodeChanges(const Json &Changes, StoreEra Era) {
  std::vector<ObjectChange> Result;
  for (const Json &Change : Changes)
    Result.push_back({{fieldOr(Change, "name", std::string()),
                       {Era, fieldOr(Change, "revision", std::uint64_t{0})},
                       fieldOr(Change, "content", Json())},
                      fieldOr(Change, "deleted", false)});
  return Result;
}

} // namespace

std::vector<Json> encodeChangeBatch(const ObjectChangeBatch &Batch,
                                    std::size_t MaxBytes) {
  Json Changes = Json::array();
  for (const ObjectChange &Change : Batch.m_Changes)
    Changes.push_back({{"name", Change.m_Object.m_Name},
                       {"revision", Change.m_Object.m_Position.m_Revision},
                       {"content", Change.m_Object.m_Content},
                       {"deleted", Change.m_Deleted}});
  const std::vector<std::uint8_t> Raw = Json::to_cbor(Changes);
  const std::vector<std::uint8_t> Bytes = compressBytes(Raw);
  std::vector<Json> Parts;
  if (Bytes.empty() || Bytes.size() > MaxBytes || Raw.size() > MaxDecodedBytes)
    return Parts;
  const std::size_t PartCount = (Bytes.size() + PartBytes - 1) / PartBytes;
  for (std::size_t Index = 0; Index < PartCount; ++Index) {
    const auto First =
        Bytes.begin() + static_cast<std::ptrdiff_t>(Index * PartBytes);
    const auto Last =
        Bytes.begin() + static_cast<std::ptrdiff_t>(
                            std::min(Bytes.size(), (Index + 1) * PartBytes));
    Parts.push_back({{"kind", Batch.m_Kind},
                     {"era", Batch.m_To.m_Era},
                     {"from", Batch.m_From.m_Revision},
                     {"to", Batch.m_To.m_Revision},
                     {"part", Index},
                     {"parts", PartCount},
                     {"size", Raw.size()},
                     {"bytes", Json::binary({First, Last})}});
  }
  return Parts;
}

std::optional<ObjectChangeBatch>
ChangeBatchAssembler::addPart(const Json &Part) {
  ObjectChangeBatch Batch;
  Batch.m_Kind = fieldOr(Part, "kind", std::string());
  const auto Era = fieldOr(Part, "era", StoreEra{0});
  Batch.m_From = {Era, fieldOr(Part, "from", std::uint64_t{0})};
  Batch.m_To = {Era, fieldOr(Part, "to", std::uint64_t{0})};
  const auto PartCount = fieldOr(Part, "parts", std::size_t{0});
  const auto Index = fieldOr(Part, "part", PartCount);
  const auto Bytes = Part.is_object() ? Part.find("bytes") : Part.end();
  if (Batch.m_Kind.empty() || Index >= PartCount ||
      PartCount > MaxDecodedBytes / PartBytes || Bytes == Part.end() ||
      !Bytes->is_binary())
    return std::nullopt;
  const BatchKey Key{Batch.m_Kind, Batch.m_From, Batch.m_To};
  const auto [Known, IsNew] = m_PartialBatches.try_emplace(Key);
  if (IsNew)
    Known->second.m_StartedAs = ++m_StartedBatches;
  Known->second.m_Parts[Index] = Bytes->get_binary();
  if (Known->second.m_Parts.size() < PartCount) {
    removeOldest();
    return std::nullopt;
  }
  std::vector<std::uint8_t> Compressed;
  for (const auto &[PartIndex, Content] : Known->second.m_Parts)
    Compressed.insert(Compressed.end(), Content.begin(), Content.end());
  m_PartialBatches.erase(Known);
  const auto Raw =
      decompressBytes(Compressed, fieldOr(Part, "size", std::size_t{0}));
  const Json Changes = Raw ? parseCbor(Raw->begin(), Raw->end())
                           : Json(Json::value_t::discarded);
  if (!Changes.is_array())
    return std::nullopt;
  Batch.m_Changes = decodeChanges(Changes, Era);
  return Batch;
}

void ChangeBatchAssembler::removeOldest() {
  if (m_PartialBatches.size() <= MaxPartialBatches)
    return;
  m_PartialBatches.erase(std::min_element(
      m_PartialBatches.begin(), m_PartialBatches.end(),
      [](const auto &Left, const auto &Right) {
        return Left.second.m_StartedAs < Right.second.m_StartedAs;
      }));
}

} // namespace fulmarwinch
