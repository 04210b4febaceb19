#include "servers/configuration/service.h"

#include "servers/configuration/entry_fields.h"

#include "fmt/format.h"

namespace fulmarwinch {

namespace {

std::vector<NonIdempotentRoute> parseRoutes(EntryFields &Fields) {
  std::vector<NonIdempotentRoute> Routes;
  const Json *List = Fields.listOr("nonIdempotentRoutes");
  if (!List)
    return Routes;
  for (std::size_t Index = 0; Index < List->size(); ++Index) {
    const std::string Key = fmt::format("nonIdempotentRoutes[{}]", Index);
    EntryFields Route((*List)[Index], Fields.pathOf(Key));
    NonIdempotentRoute Value;
    Value.m_Method = Route.text("method", 16);
    Value.m_PathPrefix = Route.text("pathPrefix", 1024);
    if (!Value.m_PathPrefix.empty() && Value.m_PathPrefix[0] != '/')
      Route.fail("pathPrefix", shownInError(Value.m_PathPrefix),
                 "a path that starts with '/'", "add the leading '/'");
    for (const char Byte : Value.m_Method)
      if (Byte < 'A' || Byte > 'Z')
        Route.fail("method", shownInError(Value.m_Method),
                   "an HTTP method in capital letters", "correct the method");
    Fields.keep(Route.finish());
    Routes.push_back(Value);
  }
  return Routes;
}

} // namespace

absl::StatusOr<Service> parseService(const Json &Object,
                                     const std::string &Path) {
  EntryFields Fields(Object, Path);
  Service Value;
  Fields.text("kind");
  Value.m_Name = Fields.name("name");
  Value.m_Backends = Fields.textsOr("backends");
  Value.m_NonIdempotentRoutes = parseRoutes(Fields);
  Value.m_TimeoutMs = Fields.integerOr("timeoutMs", 1, 3600000, 30000);
  if (absl::Status Fault = Fields.finish(); !Fault.ok())
    return Fault;
  return Value;
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
