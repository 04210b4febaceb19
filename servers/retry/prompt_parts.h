#ifndef FULMARWINCH_SERVERS_RETRY_PROMPT_PARTS_H
#define FULMARWINCH_SERVERS_RETRY_PROMPT_PARTS_H

#include "servers/retry/poison_detector.h"

#include <string_view>
#include <vector>

namespace fulmarwinch {

/// Returns the hashes of the parts of a prompt that other prompts may share:
/// all but the last one. \p Parts lists the parts in order, as comma-separated
/// entries ID:TOKENS. Entries without an ID are skipped, and only the first 16
/// entries count.
std::vector<ContentHash> sharedPartHashes(std::string_view Parts);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_RETRY_PROMPT_PARTS_H
