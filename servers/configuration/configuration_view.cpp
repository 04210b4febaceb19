#include "servers/configuration/configuration_view.h"

#include "core/error.h"

#include "fmt/format.h"

#include <utility>

namespace fulmarwinch {

namespace {

std::shared_ptr<const EntryContent> makeContent(const EntryId &Id,
                                                const std::string &Text) {
  if (Text.empty())
    return nullptr;
  auto Content = std::make_shared<EntryContent>();
  Content->m_JsonText = Text;
  const absl::StatusOr<Json> Encoded = parseJson(Text, toText(Id));
  if (!Encoded.ok())
    return Content;
  absl::StatusOr<ConfigurationValue> Value = parseEntry(*Encoded, toText(Id));
  if (Value.ok())
    Content->m_Value = *std::move(Value);
  return Content;
}

absl::Status damagedSnapshotError() {
  return makeError(ErrorKind::Internal, "configuration snapshot is damaged",
                   "read the configuration from another node");
}

} // namespace

ConfigurationView::Pointer ConfigurationView::makeEmpty() {
  static const Pointer Empty = std::make_shared<const ConfigurationView>();
  return Empty;
}

const ViewEntry *ConfigurationView::find(const EntryId &Id) const {
  const auto Position = m_Entries.find(Id);
  return Position == m_Entries.end() ? nullptr : &Position->second;
}

ConfigurationRevision ConfigurationView::revisionOf(const EntryId &Id) const {
  const ViewEntry *Entry = find(Id);
  return Entry ? Entry->m_Revision : 0;
}

std::string ConfigurationView::textOf(const EntryId &Id) const {
  const ViewEntry *Entry = find(Id);
  return Entry && Entry->m_Content ? Entry->m_Content->m_JsonText
                                   : std::string();
}

std::optional<ConfigurationRevision>
ConfigurationView::revisionOfPlan(const std::string &Plan) const {
  for (const auto &[Revision, Name] : m_AcceptedPlans)
    if (Name == Plan)
      return Revision;
  return std::nullopt;
}

absl::StatusOr<ConfigurationView::Pointer>
ConfigurationView::withChange(const ConfigurationChange &Change) const {
  if (Change.m_Revision != m_Revision + 1)
    return makeError(
        ErrorKind::Conflict,
        fmt::format(
            "change of revision {} does not directly follow revision {}",
            Change.m_Revision, m_Revision),
        "fetch the missing changes");
  auto Next = std::make_shared<ConfigurationView>(*this);
  Next->m_Revision = Change.m_Revision;
  Next->m_AcceptedPlans[Change.m_Revision] = Change.m_PlanId;
  for (const EntryChange &Entry : Change.m_Entries)
    Next->m_Entries[Entry.m_Id] = {Change.m_Revision, Change.m_PlanId,
                                   Change.m_Operator,
                                   makeContent(Entry.m_Id, Entry.m_JsonText)};
  Next->eraseExpired();
  return Pointer(Next);
}

void ConfigurationView::eraseExpired() {
  if (m_Revision <= RetainedRevisions)
    return;
  const ConfigurationRevision LastExpired = m_Revision - RetainedRevisions;
  m_AcceptedPlans.erase(m_AcceptedPlans.begin(),
                        m_AcceptedPlans.upper_bound(LastExpired));
  for (auto Entry = m_Entries.begin(); Entry != m_Entries.end();)
    if (!Entry->second.m_Content && Entry->second.m_Revision <= LastExpired)
      Entry = m_Entries.erase(Entry);
    else
      ++Entry;
}

std::string ConfigurationView::encode() const {
  Json Entries = Json::array();
  for (const auto &[Id, Entry] : m_Entries)
    Entries.push_back({{"id", toText(Id)},
                       {"revision", Entry.m_Revision},
                       {"plan", Entry.m_PlanId},
                       {"operator", Entry.m_Operator},
                       {"text", Entry.m_Content ? Entry.m_Content->m_JsonText
                                                : std::string()}});
  Json Plans = Json::array();
  for (const auto &[Revision, Plan] : m_AcceptedPlans)
    Plans.push_back(Json::array({Revision, Plan}));
  const Json Encoded = {
      {"revision", m_Revision}, {"plans", Plans}, {"entries", Entries}};
  return Encoded.dump();
}

absl::StatusOr<ConfigurationView::Pointer>
ConfigurationView::decode(const std::string &Text) {
  const absl::StatusOr<Json> Encoded = parseJson(Text, "snapshot");
  if (!Encoded.ok())
    return Encoded.status();
  auto View = std::make_shared<ConfigurationView>();
  try {
    View->m_Revision = Encoded->at("revision").get<ConfigurationRevision>();
    for (const Json &Plan : Encoded->at("plans"))
      View->m_AcceptedPlans[Plan.at(0).get<ConfigurationRevision>()] =
          Plan.at(1).get<std::string>();
    for (const Json &Element : Encoded->at("entries")) {
      const auto Id = parseEntryIdText(Element.at("id").get<std::string>());
      if (!Id.ok())
        return damagedSnapshotError();
      View->m_Entries[*Id] = {
          Element.at("revision").get<ConfigurationRevision>(),
          Element.at("plan").get<std::string>(),
          Element.at("operator").get<std::string>(),
          makeContent(*Id, Element.at("text").get<std::string>())};
    }
  } catch (const Json::exception &) {
    return damagedSnapshotError();
  }
  return Pointer(View);
}

template <typename ValueType>
const ValueType *ConfigurationView::value(EntryKind Kind,
                                          const std::string &Name) const {
  const ViewEntry *Entry = find({Kind, Name});
  if (!Entry || !Entry->m_Content || !Entry->m_Content->m_Value)
    return nullptr;
  return std::get_if<ValueType>(&*Entry->m_Content->m_Value);
}

const Deployment *ConfigurationView::deployment(const std::string &Name) const {
  return value<Deployment>(EntryKind::Deployment, Name);
}

const Service *ConfigurationView::service(const std::string &Name) const {
  return value<Service>(EntryKind::Service, Name);
}

const Organisation *
ConfigurationView::organisation(const std::string &Name) const {
  return value<Organisation>(EntryKind::Organisation, Name);
}

const Operator *
ConfigurationView::operatorAccount(const std::string &Name) const {
  return value<Operator>(EntryKind::Operator, Name);
}

bool ConfigurationView::isZoneInService(const std::string &Name) const {
  const Zone *Value = value<Zone>(EntryKind::Zone, Name);
  return !Value || Value->m_InService;
}

bool ConfigurationView::isVmDrained(const std::string &Vm) const {
  const ViewEntry *Entry = find({EntryKind::VmDrain, Vm});
  return Entry && Entry->m_Content;
}

} // namespace fulmarwinch
