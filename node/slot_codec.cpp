#include "node/slot_codec.h"

namespace fulmarwinch {

Json toJson(const SlotRequest &Request) {
  return {{"k", "request"},
          {"node", Request.m_Node},
          {"server", Request.m_Server},
          {"id", Request.m_RequestId},
          {"start", Request.m_StartId},
          {"in_flight", Request.m_InFlight},
          {"held", Request.m_HeldSlots},
          {"answered", Request.m_LastAnsweredId},
          {"wanted", Request.m_Wanted},
          {"failures", Request.m_Failures},
          {"lost", Request.m_LostConnections}};
}

std::optional<SlotRequest> parseSlotRequest(const Json &Object) {
  if (memberOr<std::string>(Object, "k", "") != "request")
    return std::nullopt;
  SlotRequest Request;
  Request.m_Node = memberOr<std::string>(Object, "node", "");
  Request.m_Server = memberOr<std::string>(Object, "server", "");
  Request.m_RequestId = memberOr<std::uint64_t>(Object, "id", 0);
  Request.m_StartId = memberOr<std::string>(Object, "start", "");
  Request.m_InFlight = memberOr<std::size_t>(Object, "in_flight", 0);
  Request.m_HeldSlots = memberOr<std::size_t>(Object, "held", 0);
  Request.m_LastAnsweredId = memberOr<std::uint64_t>(Object, "answered", 0);
  Request.m_Wanted = memberOr<std::size_t>(Object, "wanted", 0);
  Request.m_Failures = memberOr<std::size_t>(Object, "failures", 0);
  Request.m_LostConnections = memberOr<std::uint64_t>(Object, "lost", 0);
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
  if (memberOr<std::string>(Object, "k", "") != "grant")
    return std::nullopt;
  SlotGrant Grant;
  Grant.m_Node = memberOr<std::string>(Object, "node", "");
  Grant.m_Server = memberOr<std::string>(Object, "server", "");
  Grant.m_RequestId = memberOr<std::uint64_t>(Object, "id", 0);
  Grant.m_Epoch = memberOr<std::uint64_t>(Object, "epoch", 0);
  Grant.m_StartId = memberOr<std::string>(Object, "start", "");
  Grant.m_Slots = memberOr<std::size_t>(Object, "slots", 0);
  Grant.m_Lifetime = Duration(memberOr<std::int64_t>(Object, "lifetime_us", 0));
  return Grant;
}

} // namespace fulmarwinch
