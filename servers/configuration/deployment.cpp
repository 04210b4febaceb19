#include "servers/configuration/deployment.h"

#include "servers/configuration/json_field_reader.h"

namespace fulmarwinch {

absl::StatusOr<Deployment> parseDeployment(const Json &Object,
                                           const std::string &Path) {
  JsonFieldReader Fields(Object, Path);
  Deployment Parsed;
  Fields.text("kind");
  Parsed.m_Name = Fields.name("name");
  Parsed.m_Model = Fields.text("model");
  Parsed.m_Version = Fields.text("version");
  Parsed.m_Adapters = Fields.optionalTexts("adapters");
  Parsed.m_ContextLength = Fields.integer("contextLength", 1, 100000000);
  Parsed.m_VmsPerGroup = Fields.integer("vmsPerGroup", 1, 1024);
  Parsed.m_Replicas = Fields.integer("replicas", 0, 10000);
  Parsed.m_Priority = Fields.integerOr("priority", 0, 1000, 0);
  Parsed.m_EngineChecksFencing = Fields.flag("engineChecksFencing");
  Parsed.m_DowntimeWeight = Fields.numberOr("downtimeWeight", 0, 1e6, 1.0);
  Parsed.m_StrandedWeight = Fields.numberOr("strandedWeight", 0, 1e6, 1.0);
  Parsed.m_Zones = Fields.optionalTexts("zones");
  if (absl::Status Fault = Fields.finish(); !Fault.ok())
    return Fault;
  return Parsed;
}

Json toJson(const Deployment &Value) {
  return {{"kind", "deployment"},
          {"name", Value.m_Name},
          {"model", Value.m_Model},
          {"version", Value.m_Version},
          {"adapters", Value.m_Adapters},
          {"contextLength", Value.m_ContextLength},
          {"vmsPerGroup", Value.m_VmsPerGroup},
          {"replicas", Value.m_Replicas},
          {"priority", Value.m_Priority},
          {"engineChecksFencing", Value.m_EngineChecksFencing},
          {"downtimeWeight", Value.m_DowntimeWeight},
          {"strandedWeight", Value.m_StrandedWeight},
          {"zones", Value.m_Zones}};
}

} // namespace fulmarwinch
