#include "servers/planning/plan.h"

#include "core/error.h"

#include "fmt/format.h"

namespace fulmarwinch {

std::string planKey(const std::string &PlanId) {
  return fmt::format("plan/{}", PlanId);
}

Json toJson(const Plan &Plan) {
  Json Entries = Json::array();
  for (const PlannedEntry &Entry : Plan.m_Entries)
    Entries.push_back({{"id", toText(Entry.m_Id)},
                       {"baseRevision", Entry.m_BaseRevision},
                       {"before", Entry.m_TextBefore},
                       {"after", Entry.m_TextAfter}});
  return {{"id", Plan.m_Id},
          {"operator", Plan.m_Operator},
          {"time", Plan.m_Time},
          {"baseRevision", Plan.m_BaseRevision},
          {"entries", Entries},
          {"groups", Plan.m_Effects.m_Groups},
          {"vms", Plan.m_Effects.m_Vms},
          {"runningRequests", Plan.m_Effects.m_RunningRequests},
          {"downtimeSeconds", Plan.m_Effects.m_DowntimeSeconds},
          {"strandedAccelerators", Plan.m_Effects.m_StrandedAccelerators},
          {"warnings", Plan.m_Effects.m_Warnings}};
}

std::string encodePlan(const Plan &Plan) { return toJson(Plan).dump(); }

absl::StatusOr<Plan> decodePlan(const std::string &Text) {
  const absl::StatusOr<Json> Object = parseJson(Text, "plan");
  if (!Object.ok())
    return Object.status();
  try {
    Plan Decoded;
    Decoded.m_Id = Object->at("id").get<std::string>();
    Decoded.m_Operator = Object->at("operator").get<std::string>();
    Decoded.m_Time = Object->at("time").get<UnixSeconds>();
    Decoded.m_BaseRevision =
        Object->at("baseRevision").get<ConfigurationRevision>();
    for (const Json &Element : Object->at("entries")) {
      const auto Id = parseEntryIdText(Element.at("id").get<std::string>());
      if (!Id.ok())
        return Id.status();
      Decoded.m_Entries.push_back(
          {*Id, Element.at("baseRevision").get<ConfigurationRevision>(),
           Element.at("before").get<std::string>(),
           Element.at("after").get<std::string>()});
    }
    PlanEffects &Effects = Decoded.m_Effects;
    Effects.m_Groups = Object->at("groups").get<std::vector<std::string>>();
    Effects.m_Vms = Object->at("vms").get<std::vector<std::string>>();
    Effects.m_RunningRequests =
        Object->at("runningRequests").get<std::int64_t>();
    Effects.m_DowntimeSeconds = Object->at("downtimeSeconds").get<double>();
    Effects.m_StrandedAccelerators =
        Object->at("strandedAccelerators").get<std::int64_t>();
    Effects.m_Warnings = Object->at("warnings").get<std::vector<std::string>>();
    return Decoded;
  } catch (const Json::exception &) {
    return makeError(ErrorKind::Internal, "stored plan is malformed",
                     "make a new plan");
  }
}

ProposedChange makeProposedChange(const Plan &Plan, const std::string &Operator,
                                  UnixSeconds Now) {
  ProposedChange Request{Plan.m_Id, Operator, Now, Plan.m_BaseRevision, {}};
  for (const PlannedEntry &Entry : Plan.m_Entries)
    Request.m_Entries.push_back(
        {Entry.m_Id, Entry.m_BaseRevision, Entry.m_TextAfter});
  return Request;
}

} // namespace fulmarwinch
