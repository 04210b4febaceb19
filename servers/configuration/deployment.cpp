#include "servers/configuration/deployment.h"

#include "servers/configuration/entry_fields.h"

namespace fulmarwinch {

absl::StatusOr<Deployment> parseDeployment(const Json &Object,
                                           const std::string &Path) {
  EntryFields Fields(Object, Path);
  Deployment Value;
  Fields.text("kind");
  Value.m_Name = Fields.name("name");
  Value.m_Model = Fields.text("model");
  Value.m_Version = Fields.text("version");
  Value.m_Adapters = Fields.textsOr("adapters");
  Value.m_ContextLength = Fields.integer("contextLength", 1, 100000000);
  Value.m_VmsPerGroup = Fields.integer("vmsPerGroup", 1, 1024);
  Value.m_Replicas = Fields.integer("replicas", 0, 10000);
  Value.m_Priority = Fields.integerOr("priority", 0, 1000, 0);
  Value.m_EngineChecksFencing = Fields.flag("engineChecksFencing");
  Value.m_DowntimeWeight = Fields.numberOr("downtimeWeight", 0, 1e6, 1.0);
  Value.m_StrandedWeight = Fields.numberOr("strandedWeight", 0, 1e6, 1.0);
  Value.m_Zones = Fields.textsOr("zones");
  if (absl::Status Fault = Fields.finish(); !Fault.ok())
    return Fault;
  return Value;
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
