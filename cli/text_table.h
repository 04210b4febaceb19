#ifndef FULMARWINCH_CLI_TEXT_TABLE_H
#define FULMARWINCH_CLI_TEXT_TABLE_H

#include <string>
#include <vector>

namespace fulmarwinch {

/// A table for people: columns as wide as their widest cell, two spaces
/// between them, no space at the end of a line.
class TextTable {
public:
  explicit TextTable(std::vector<std::string> Header);

  /// Adds a row; missing cells are empty. An empty cell is shown as "-", so
  /// that every line has the same number of fields for tools such as awk.
  void add(std::vector<std::string> Row);
  bool empty() const { return m_Rows.size() == 1; }
  std::string text() const;

private:
  /// The first row is the header.
  std::vector<std::vector<std::string>> m_Rows;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_CLI_TEXT_TABLE_H
