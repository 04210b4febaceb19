#include "servers/configuration/configuration_entry.h"

#include "core/error.h"
#include "servers/configuration/json_field_reader.h"

#include "fmt/format.h"

namespace fulmarwinch {

namespace {

using ParseFunction =
    absl::StatusOr<ConfigurationValue> (*)(const Json &, const std::string &);

template <auto Parse>
absl::StatusOr<ConfigurationValue> parseToVariant(const Json &Object,
                                                  const std::string &Path) {
  auto Value = Parse(Object, Path);
  if (!Value.ok())
    return Value.status();
  return ConfigurationValue(*std::move(Value));
}

constexpr std::array<ParseFunction, 6> ParseFunctionsByKind{
    parseToVariant<parseDeployment>,   parseToVariant<parseService>,
    parseToVariant<parseOrganisation>, parseToVariant<parseZone>,
    parseToVariant<parseVmDrain>,      parseToVariant<parseOperator>};

} // namespace

absl::StatusOr<EntryId> parseEntryId(const Json &Object,
                                     const std::string &Path) {
  JsonFieldReader Fields(Object, Path);
  const std::string KindName = Fields.text("kind");
  const auto Kind = valueOf(EntryKindNames, KindName);
  if (!Kind)
    Fields.fail("kind", jsonForError(KindName),
                "deployment, service, organisation, zone, vm_drain or operator",
                "choose one of these kinds");
  EntryId Id;
  Id.m_Name = Fields.name("name");
  Id.m_Kind = Kind.value_or(EntryKind::Deployment);
  // Unknown keys are not checked here: the parse function of the entry's kind
  // reports them.
  if (!Fields.firstFault().ok())
    return Fields.firstFault();
  return Id;
}

absl::StatusOr<ConfigurationValue> parseEntry(const Json &Object,
                                              const std::string &Path) {
  const absl::StatusOr<EntryId> Id = parseEntryId(Object, Path);
  if (!Id.ok())
    return Id.status();
  return ParseFunctionsByKind.at(static_cast<std::size_t>(Id->m_Kind))(Object,
                                                                       Path);
}

Json toJson(const ConfigurationValue &Value) {
  return std::visit([](const auto &Entry) { return toJson(Entry); }, Value);
}

std::string toText(const EntryId &Id) {
  return fmt::format("{}/{}", nameOf(EntryKindNames, Id.m_Kind), Id.m_Name);
}

absl::StatusOr<EntryId> parseEntryIdText(const std::string &Text) {
  const std::size_t SlashPosition = Text.find('/');
  const auto Kind = valueOf(EntryKindNames, Text.substr(0, SlashPosition));
  if (SlashPosition == std::string::npos || !Kind ||
      SlashPosition + 1 == Text.size())
    return makeError(
        ErrorKind::InvalidArgument,
        fmt::format("entry name: found \"{}\", allowed KIND/NAME", Text),
        "write for example zone/uy-south-a");
  return EntryId{*Kind, Text.substr(SlashPosition + 1)};
}

} // namespace fulmarwinch
