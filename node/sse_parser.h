#ifndef FULMARWINCH_NODE_SSE_PARSER_H
#define FULMARWINCH_NODE_SSE_PARSER_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarwinch {

/// Parses a byte stream into server-sent events and returns their data. Lines
/// end with LF, CR LF or CR. Fields other than "data" are ignored; model
/// engines send no others.
class SseParser {
public:
  /// Limit of the memory for one incomplete event.
  static constexpr std::size_t DefaultMaxEventBytes = 1U << 20U;

  SseParser() = default;
  explicit SseParser(std::size_t MaxEventBytes)
      : m_MaxEventBytes(MaxEventBytes) {}

  /// Parses the next bytes of the stream and returns the data of the events
  /// that they complete.
  std::vector<std::string> accept(std::string_view Bytes);

  /// Returns true after an event exceeded the size limit. The rest of the
  /// stream is then ignored.
  bool hasOverflowed() const { return m_HasOverflowed; }

private:
  void parseLine(std::string_view Line, std::vector<std::string> &Events);

  std::size_t m_MaxEventBytes = DefaultMaxEventBytes;
  std::string m_Line;
  std::string m_Data;
  bool m_HasData = false;
  /// The last line ended with CR, to which a LF that follows belongs.
  bool m_IsAfterCarriageReturn = false;
  bool m_HasOverflowed = false;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_SSE_PARSER_H
