#include "servers/membership/member_record.h"

namespace fulmarwinch {

bool supersedes(const MemberRecord &New, const MemberRecord &Old) {
  if (New.m_Incarnation != Old.m_Incarnation)
    return New.m_Incarnation > Old.m_Incarnation;
  return New.m_State > Old.m_State;
}

Json encodeMember(const MemberRecord &Record) {
  return Json::array({Record.m_NodeId, Record.m_Incarnation,
                      static_cast<unsigned>(Record.m_State), Record.m_Zone,
                      Record.m_Region, Record.m_Address});
}

std::optional<MemberRecord> decodeMember(const Json &Array) {
  if (!Array.is_array() || Array.size() != 6 || !Array[0].is_string() ||
      !Array[1].is_number_unsigned() || !Array[2].is_number_unsigned() ||
      !Array[3].is_string() || !Array[4].is_string() || !Array[5].is_string())
    return std::nullopt;
  const auto State = Array[2].get<std::uint64_t>();
  if (State >= MemberStateNames.size() || Array[0].get<std::string>().empty())
    return std::nullopt;
  return MemberRecord{
      Array[0].get<std::string>(),     Array[1].get<std::uint64_t>(),
      static_cast<MemberState>(State), Array[3].get<std::string>(),
      Array[4].get<std::string>(),     Array[5].get<std::string>()};
}

} // namespace fulmarwinch
