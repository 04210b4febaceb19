#ifndef FULMARWINCH_SERVERS_RETRY_POISON_CODEC_H
#define FULMARWINCH_SERVERS_RETRY_POISON_CODEC_H

#include "core/json.h"
#include "servers/retry/poison_detector.h"

#include <cstddef>
#include <vector>

namespace fulmarwinch {

/// Encodes \p Records as the JSON message that nodes exchange.
Json toJson(const std::vector<PoisonRecord> &Records);
/// Decodes the message of toJson(). Malformed rows are skipped; a malformed
/// message gives an empty list.
std::vector<PoisonRecord> parsePoisonRecords(const Json &Message);
/// Keeps the records that matter most to a peer and take at most \p MaxBytes in
/// CBOR: those of quarantined contents, then those with the most crashes, then
/// the youngest.
void keepMostRelevant(std::vector<PoisonRecord> &Records, std::size_t MaxBytes);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_RETRY_POISON_CODEC_H
