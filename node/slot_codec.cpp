#include "node/slot_codec.h"

namespace fulmarwinch {

Json toJson(const SlotRequest &Request) {
  return {{"k", "request"},
          {"node", Request.m_Node},
          {"server", Request.m_Server},
          {"id", Request.m_RequestId},
          {"start", Request.m_StartId},
          {"in_flight", Request.m_InFlight},
          {"held", Request.m_UsableSlots},
          {"answered", Request.m_LastAnsweredRequestId},
          {"wanted", Request.m_DesiredInFlight},
          {"failures", Request.m_Failures},
          {"lost", Request.m_LostConnections}};
}

std::optional<SlotRequest> parseSlotRequest(const Json &Object) {
  if (fieldOr<std::string>(Object, "k", "") != "request")
    return std::nullopt;
  SlotRequest Request;
  Request.m_Node = fieldOr<std::string>(Object, "node", "");
  Request.m_Server = fieldOr<std::string>(Object, "server", "");
  Request.m_RequestId = fieldOr<std::uint64_t>(Object, "id", 0);
  Request.m_StartId = fieldOr<std::string>(Object, "start", "");
  Request.m_InFlight = fieldOr<std::size_t>(Object, "in_flight", 0);
  Request.m_UsableSlots = fieldOr<std::size_t>(Object, "held", 0);
  Request.m_LastAnsweredRequestId =
      fieldOr<std::uint64_t>(Object, "answered", 0);
  Request.m_DesiredInFlight = fieldOr<std::size_t>(Object, "wanted", 0);
  Request.m_Failures = fieldOr<std::size_t>(Object, "failures", 0);
  Request.m_LostConnections = fieldOr<std::uint64_t>(Object, "lost", 0);
  return Request;
}

Json toJson(const SlotGrant &Grant) {
  return {{"k", "grant"},
          {"node", Grant.m_Node},
          {"server", Grant.m_Server},
          {"id", Grant.m_RequestId},
          {"epoch", Grant.m_Epoch},
          {"start", Grant.m_StartId},
          {"slots", Grant.m_Slots},
          {"lifetime_us", Grant.m_Lifetime.count()}};
}

std::optional<SlotGrant> parseSlotGrant(const Json &Object) {
  if (fieldOr<std::string>(Object, "k", "") != "grant")
    return std::nullopt;
  SlotGrant Grant;
  Grant.m_Node = fieldOr<std::string>(Object, "node", "");
  Grant.m_Server = fieldOr<std::string>(Object, "server", "");
  Grant.m_RequestId = fieldOr<std::uint64_t>(Object, "id", 0);
  Grant.m_Epoch = fieldOr<std::uint64_t>(Object, "epoch", 0);
  Grant.m_StartId = fieldOr<std::string>(Object, "start", "");
  Grant.m_Slots = fieldOr<std::size_t>(Object, "slots", 0);
  Grant.m_Lifetime = Duration(fieldOr<std::int64_t>(Object, "lifetime_us", 0));
  return Grant;
}

} // namespace fulmarwinch
