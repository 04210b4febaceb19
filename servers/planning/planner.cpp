#include "servers/planning/planner.h"

#include "core/error.h"
#include "servers/configuration/json_field_reader.h"
#include "servers/planning/plan_effects.h"

#include "fmt/format.h"

#include <set>
#include <utility>

namespace fulmarwinch {

namespace {

absl::StatusOr<PlannedEntry> parsePlannedEntry(const Json &Object,
                                               const std::string &Path,
                                               const ConfigurationView &View) {
  absl::StatusOr<EntryId> Id = parseEntryId(Object, Path);
  if (!Id.ok())
    return Id.status();
  PlannedEntry Entry;
  Entry.m_Id = *std::move(Id);
  Entry.m_BaseRevision = View.revisionOf(Entry.m_Id);
  Entry.m_TextBefore = View.textOf(Entry.m_Id);
  if (Object.contains("remove")) {
    JsonFieldReader Fields(Object, Path);
    Fields.text("kind");
    Fields.text("name");
    if (!Fields.flag("remove"))
      Fields.fail("remove", "false", "true", "leave the key out");
    if (absl::Status Error = Fields.finish(); !Error.ok())
      return Error;
    return Entry;
  }
  const absl::StatusOr<ConfigurationValue> Value = parseEntry(Object, Path);
  if (!Value.ok())
    return Value.status();
  Entry.m_TextAfter = toJson(*Value).dump();
  return Entry;
}

absl::StatusOr<std::vector<PlannedEntry>>
parseIntent(const Json &Intent, const ConfigurationView &View) {
  JsonFieldReader Fields(Intent, "intent");
  const Json *List = Fields.optionalList("entries");
  if (!List || List->empty())
    Fields.fail("entries", "nothing", "a list of 1 to 256 entries",
                "add the entries that are to be changed");
  if (absl::Status Error = Fields.finish(); !Error.ok())
    return Error;
  std::vector<PlannedEntry> Entries;
  std::set<EntryId> Seen;
  for (std::size_t Index = 0; Index < List->size(); ++Index) {
    const std::string Path = fmt::format("entries[{}]", Index);
    absl::StatusOr<PlannedEntry> Entry =
        parsePlannedEntry((*List)[Index], Path, View);
    if (!Entry.ok())
      return Entry.status();
    if (!Seen.insert(Entry->m_Id).second)
      return makeError(ErrorKind::InvalidArgument,
                       fmt::format("{}: found a second entry {}, allowed one",
                                   Path, toText(Entry->m_Id)),
                       "remove one of them");
    if (Entry->m_TextBefore != Entry->m_TextAfter)
      Entries.push_back(*std::move(Entry));
  }
  if (Entries.empty())
    return makeError(ErrorKind::InvalidArgument,
                     "intent.entries: found no difference from the present "
                     "configuration, allowed at least one",
                     "no change is needed");
  return Entries;
}

absl::Status checkAdminRemains(const ConfigurationView &Before,
                               const ConfigurationView &After) {
  const auto HasAdmin = [](const ConfigurationView &View) {
    for (const auto &[Id, Entry] : View.entries())
      if (const Operator *Account = Id.m_Kind == EntryKind::Operator
                                        ? View.operatorAccount(Id.m_Name)
                                        : nullptr)
        if (Account->m_Role == OperatorRole::Admin)
          return true;
    return false;
  };
  if (!HasAdmin(Before) || HasAdmin(After))
    return absl::OkStatus();
  return makeError(ErrorKind::InvalidArgument,
                   "intent: found no operator with the role admin left, "
                   "allowed at least one",
                   "keep or add an admin");
}

absl::Status checkKeysAreUnique(const ConfigurationView &After) {
  std::map<std::string, std::string> OrganisationsByKey;
  for (const auto &[Id, Entry] : After.entries()) {
    const Organisation *KeyOwner = Id.m_Kind == EntryKind::Organisation
                                       ? After.organisation(Id.m_Name)
                                       : nullptr;
    if (!KeyOwner)
      continue;
    for (const std::string &Key : KeyOwner->m_ApiKeySha256) {
      const auto [Existing, Inserted] =
          OrganisationsByKey.emplace(Key, KeyOwner->m_Name);
      if (!Inserted && Existing->second != KeyOwner->m_Name)
        return makeError(
            ErrorKind::InvalidArgument,
            fmt::format("intent: found one API key in organisation {} and {}, "
                        "allowed one organisation per key",
                        Existing->second, KeyOwner->m_Name),
            "issue a key of its own to each organisation");
    }
  }
  return absl::OkStatus();
}

} // namespace

absl::StatusOr<Plan> Planner::plan(const Json &Intent,
                                   const ConfigurationView &View,
                                   const AssignmentSummary &Assignment,
                                   const PlanRequest &Request) {
  absl::StatusOr<std::vector<PlannedEntry>> Entries = parseIntent(Intent, View);
  if (!Entries.ok())
    return Entries.status();
  ConfigurationChange Change{View.revision() + 1,
                             Request.m_PlanId,
                             Request.m_Operator,
                             Request.m_Time,
                             {}};
  for (const PlannedEntry &Entry : *Entries)
    Change.m_Entries.push_back({Entry.m_Id, Entry.m_TextAfter});
  const absl::StatusOr<ConfigurationView::Pointer> After =
      View.withChange(Change);
  if (!After.ok())
    return After.status();
  if (absl::Status Error = checkAdminRemains(View, **After); !Error.ok())
    return Error;
  if (absl::Status Error = checkKeysAreUnique(**After); !Error.ok())
    return Error;
  Plan NewPlan{Request.m_PlanId, Request.m_Operator, Request.m_Time,
               View.revision(),  *Entries,           {}};
  NewPlan.m_Effects = estimateEffects(*Entries, View, **After, Assignment);
  return NewPlan;
}

} // namespace fulmarwinch
