#include "drivers/standin/object_table.h"

namespace fulmarwinch {

namespace {

bool startsWith(const std::string &Text, const std::string &Prefix) {
  return Text.compare(0, Prefix.size(), Prefix) == 0;
}

} // namespace

ObjectTable::ObjectTable(std::size_t HistoryLimit)
    : m_HistoryLimit(HistoryLimit) {}

const ObjectTable::Object *ObjectTable::find(const std::string &Key) const {
  const auto Found = m_Objects.find(Key);
  return Found == m_Objects.end() ? nullptr : &Found->second;
}

std::uint64_t ObjectTable::versionOf(const std::string &Key) const {
  const Object *Current = find(Key);
  return Current ? Current->m_Version : 0;
}

ObjectTable::WriteResult ObjectTable::put(const std::string &Key,
                                          std::uint64_t Expected, Json Value) {
  const std::uint64_t Current = versionOf(Key);
  if (Current != Expected)
    return {StoreOutcome::Conflict, Current};
  ++m_Revision;
  m_Objects[Key] = {m_Revision, std::move(Value)};
  recordChange(Key, m_Revision);
  return {StoreOutcome::Succeeded, m_Revision};
}

ObjectTable::WriteResult ObjectTable::remove(const std::string &Key,
                                             std::uint64_t Expected) {
  const std::uint64_t Current = versionOf(Key);
  if (Current == 0)
    return {StoreOutcome::NotFound, 0};
  if (Current != Expected)
    return {StoreOutcome::Conflict, Current};
  ++m_Revision;
  m_Objects.erase(Key);
  recordChange(Key, 0);
  return {StoreOutcome::Succeeded, m_Revision};
}

void ObjectTable::returnFrom(const ObjectTable &Copy) {
  const StoreEra Next = m_Era + 1;
  *this = ObjectTable(Copy);
  m_Era = Next;
}

void ObjectTable::recordChange(const std::string &Key, std::uint64_t Version) {
  m_History.push_back({m_Revision, Key, Version});
  if (m_History.size() > m_HistoryLimit)
    m_History.pop_front();
}

Json ObjectTable::list(const std::string &Prefix, const std::string &After,
                       std::size_t Limit) const {
  Json Objects = Json::array();
  auto Next = After < Prefix ? m_Objects.lower_bound(Prefix)
                             : m_Objects.upper_bound(After);
  while (Next != m_Objects.end() && startsWith(Next->first, Prefix) &&
         Objects.size() < Limit) {
    Objects.push_back(
        {{"key", Next->first}, {"version", Next->second.m_Version}});
    ++Next;
  }
  const bool HasMore =
      Next != m_Objects.end() && startsWith(Next->first, Prefix);
  return {{"revision", m_Revision},
          {"era", m_Era},
          {"objects", Objects},
          {"more", HasMore}};
}

std::optional<Json> ObjectTable::changesSince(const std::string &Prefix,
                                              std::uint64_t Since) const {
  const std::uint64_t OldestRetainedRevision =
      m_Revision - m_History.size() + 1;
  // A revision later than the current one was issued by an earlier instance of
  // the store, so changes since then are unknown.
  if (Since + 1 < OldestRetainedRevision || Since > m_Revision)
    return std::nullopt;
  Json Events = Json::array();
  for (std::size_t Index = Since + 1 - OldestRetainedRevision;
       Index < m_History.size(); ++Index)
    if (startsWith(m_History[Index].m_Key, Prefix))
      Events.push_back({{"key", m_History[Index].m_Key},
                        {"version", m_History[Index].m_Version}});
  return Events;
}

} // namespace fulmarwinch
