#include "servers/membership/member_record.h"

namespace fulmarwinch {

bool supersedes(const MemberRecord &New, const MemberRecord &Old) {
  if (New.m_Incarnation != Old.m_Incarnation)
    return New.m_Incarnation > Old.m_Incarnation;
  return New.m_State > Old.m_State;
}

Json encodeMember(const MemberRecord &Record) {
  return Json::array({Record.m_Id, Record.m_Incarnation,
                      static_cast<unsigned>(Record.m_State), Record.m_Zone,
                      Record.m_Region, Record.m_Address});
}

std::optional<MemberRecord> decodeMember(const Json &Row) {
  if (!Row.is_array() || Row.size() != 6 || !Row[0].is_string() ||
      !Row[1].is_number_unsigned() || !Row[2].is_number_unsigned() ||
      !Row[3].is_string() || !Row[4].is_string() || !Row[5].is_string())
    return std::nullopt;
  const auto State = Row[2].get<std::uint64_t>();
  if (State >= MemberStateNames.size() || Row[0].get<std::string>().empty())
    return std::nullopt;
  return MemberRecord{
      Row[0].get<std::string>(),       Row[1].get<std::uint64_t>(),
      static_cast<MemberState>(State), Row[3].get<std::string>(),
      Row[4].get<std::string>(),       Row[5].get<std::string>()};
}

} // namespace fulmarwinch
