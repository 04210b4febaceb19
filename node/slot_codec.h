#ifndef FULMARWINCH_NODE_SLOT_CODEC_H
#define FULMARWINCH_NODE_SLOT_CODEC_H

#include "core/json.h"
#include "servers/admission/slot_messages.h"

#include <optional>

namespace fulmarwinch {

Json toJson(const SlotRequest &Request);
/// Returns nothing if \p Object is not a slot request.
std::optional<SlotRequest> parseSlotRequest(const Json &Object);

Json toJson(const SlotGrant &Grant);
/// Returns nothing if \p Object is not a slot grant.
std::optional<SlotGrant> parseSlotGrant(const Json &Object);

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_SLOT_CODEC_H
