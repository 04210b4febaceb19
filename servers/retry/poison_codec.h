#ifndef FULMARWINCH_SERVERS_RETRY_POISON_CODEC_H
#define FULMARWINCH_SERVERS_RETRY_POISON_CODEC_H

#include "core/json.h"
#include "servers/retry/poison_detector.h"

#include <vector>

namespace fulmarwinch {

/// Returns the message in which nodes exchange \p Records.
Json toJson(const std::vector<PoisonRecord> &Records);
/// Rows that are not well formed are left out.
std::vector<PoisonRecord> parsePoisonRecords(const Json &Message);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_RETRY_POISON_CODEC_H
