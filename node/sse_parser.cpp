#include "node/sse_parser.h"

namespace fulmarwinch {

std::vector<std::string> SseParser::accept(std::string_view Bytes) {
  std::vector<std::string> Events;
  while (!Bytes.empty() && !m_HasOverflowed) {
    if (m_IsAfterCarriageReturn && Bytes.front() == '\n')
      Bytes.remove_prefix(1);
    m_IsAfterCarriageReturn = false;
    const std::size_t End = Bytes.find_first_of("\r\n");
    m_Line += Bytes.substr(0, End);
    if (m_Line.size() + m_Data.size() > m_MaxEventBytes)
      m_HasOverflowed = true;
    if (End == std::string_view::npos)
      break;
    parseLine(m_Line, Events);
    m_Line.clear();
    m_IsAfterCarriageReturn = Bytes[End] == '\r';
    Bytes.remove_prefix(End + 1);
  }
  return Events;
}

void SseParser::parseLine(std::string_view Line,
                          std::vector<std::string> &Events) {
  constexpr std::string_view DataField = "data:";
  if (Line.empty()) {
    if (m_HasData)
      Events.push_back(std::move(m_Data));
    m_Data.clear();
    m_HasData = false;
    return;
  }
  if (Line.substr(0, DataField.size()) != DataField)
    return;
  Line.remove_prefix(DataField.size());
  if (!Line.empty() && Line.front() == ' ')
    Line.remove_prefix(1);
  if (m_HasData)
    m_Data += '\n';
  m_Data += Line;
  m_HasData = true;
}

} // namespace fulmarwinch
