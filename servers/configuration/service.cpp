#include "servers/configuration/service.h"

#include "servers/configuration/json_field_reader.h"

#include "fmt/format.h"

namespace fulmarwinch {

namespace {

std::vector<NonIdempotentRoute> parseRoutes(JsonFieldReader &Fields) {
  std::vector<NonIdempotentRoute> Routes;
  const Json *RouteList = Fields.optionalList("nonIdempotentRoutes");
  if (!RouteList)
    return Routes;
  for (std::size_t Index = 0; Index < RouteList->size(); ++Index) {
    const std::string Key = fmt::format("nonIdempotentRoutes[{}]", Index);
    JsonFieldReader RouteFields((*RouteList)[Index], Fields.pathOf(Key));
    NonIdempotentRoute ParsedRoute;
    ParsedRoute.m_Method = RouteFields.text("method", 16);
    ParsedRoute.m_PathPrefix = RouteFields.text("pathPrefix", 1024);
    if (!ParsedRoute.m_PathPrefix.empty() && ParsedRoute.m_PathPrefix[0] != '/')
      RouteFields.fail("pathPrefix", jsonForError(ParsedRoute.m_PathPrefix),
                       "a path that starts with '/'", "add the leading '/'");
    for (const char Character : ParsedRoute.m_Method)
      if (Character < 'A' || Character > 'Z')
        RouteFields.fail("method", jsonForError(ParsedRoute.m_Method),
                         "an HTTP method in capital letters",
                         "correct the method");
    Fields.recordFault(RouteFields.finish());
    Routes.push_back(ParsedRoute);
  }
  return Routes;
}

} // namespace

absl::StatusOr<Service> parseService(const Json &Object,
                                     const std::string &Path) {
  JsonFieldReader Fields(Object, Path);
  Service Parsed;
  Fields.text("kind");
  Parsed.m_Name = Fields.name("name");
  Parsed.m_Backends = Fields.optionalTexts("backends");
  Parsed.m_NonIdempotentRoutes = parseRoutes(Fields);
  Parsed.m_TimeoutMs = Fields.integerOr("timeoutMs", 1, 3600000, 30000);
  if (absl::Status Fault = Fields.finish(); !Fault.ok())
    return Fault;
  return Parsed;
}

Json toJson(const Service &Value) {
  Json Routes = Json::array();
  for (const NonIdempotentRoute &Route : Value.m_NonIdempotentRoutes)
    Routes.push_back(
        {{"method", Route.m_Method}, {"pathPrefix", Route.m_PathPrefix}});
  return {{"kind", "service"},
          {"name", Value.m_Name},
          {"backends", Value.m_Backends},
          {"nonIdempotentRoutes", Routes},
          {"timeoutMs", Value.m_TimeoutMs}};
}

} // namespace fulmarwinch
