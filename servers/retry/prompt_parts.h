#ifndef FULMARWINCH_SERVERS_RETRY_PROMPT_PARTS_H
#define FULMARWINCH_SERVERS_RETRY_PROMPT_PARTS_H

#include "servers/retry/poison_detector.h"

#include <string_view>
#include <vector>

namespace fulmarwinch {

/// Returns the hashes of the parts of a prompt that other prompts may share:
/// all but the last one. \p Parts lists the parts in order, as comma-separated
/// entries ID:TOKENS. Entries without an ID and repeated ones are skipped. The
/// limit on the size of a request's header fields bounds the number of parts.
std::vector<ContentHash> sharedPartHashes(std::string_view Parts);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_RETRY_PROMPT_PARTS_H
