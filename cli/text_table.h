#ifndef FULMARWINCH_CLI_TEXT_TABLE_H
#define FULMARWINCH_CLI_TEXT_TABLE_H

#include <string>
#include <vector>

namespace fulmarwinch {

/// Formats a table for the terminal: columns are as wide as their widest cell
/// and separated by two spaces; lines have no trailing spaces.
class TextTable {
public:
  explicit TextTable(std::vector<std::string> Header);

  /// Appends a row. Empty and missing cells are printed as "-", so that every
  /// line has the same number of fields for tools such as awk. Control bytes
  /// are replaced.
  void addRow(std::vector<std::string> Row);
  /// Returns true if the table has no row besides the header.
  bool empty() const { return m_Rows.size() == 1; }
  std::string render() const;

private:
  /// The header followed by the rows.
  std::vector<std::vector<std::string>> m_Rows;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_CLI_TEXT_TABLE_H
