#include "cli/text_table.h"

#include "cli/terminal_text.h"

#include <algorithm>
#include <utility>

namespace fulmarwinch {

namespace {

constexpr std::size_t ColumnGap = 2;

} // namespace

TextTable::TextTable(std::vector<std::string> Header)
    : m_Rows({std::move(Header)}) {}

void TextTable::addRow(std::vector<std::string> Row) {
  Row.resize(m_Rows.front().size());
  for (std::string &Cell : Row)
    Cell = Cell.empty() ? "-" : replaceControlBytes(Cell);
  m_Rows.push_back(std::move(Row));
}

std::string TextTable::render() const {
  std::vector<std::size_t> Widths(m_Rows.front().size(), 0);
  for (const auto &Row : m_Rows)
    for (std::size_t Index = 0; Index < Row.size(); ++Index)
      Widths[Index] = std::max(Widths[Index], displayWidth(Row[Index]));
  std::string Text;
  for (const auto &Row : m_Rows) {
    for (std::size_t Index = 0; Index < Row.size(); ++Index) {
      Text += Row[Index];
      if (Index + 1 < Row.size())
        Text.append(Widths[Index] - displayWidth(Row[Index]) + ColumnGap, ' ');
    }
    Text += '\n';
  }
  return Text;
}

} // namespace fulmarwinch
