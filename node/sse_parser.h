#ifndef FULMARWINCH_NODE_SSE_PARSER_H
#define FULMARWINCH_NODE_SSE_PARSER_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarwinch {

/// Splits a byte stream into the data of server-sent events. Only "data"
/// fields are used; model engines send no others.
class SseParser {
public:
  /// \p MaxEventBytes bounds the memory of one unfinished event.
  static constexpr std::size_t DefaultMaxEventBytes = 1U << 20U;

  SseParser() = default;
  explicit SseParser(std::size_t MaxEventBytes)
      : m_MaxEventBytes(MaxEventBytes) {}

  /// Takes the next bytes and returns the data of the events that ended.
  std::vector<std::string> accept(std::string_view Bytes);

  /// Returns true once an event was larger than the bound; the stream is then
  /// of no use.
  bool hasOverflowed() const { return m_Overflowed; }

private:
  void acceptLine(std::string_view Line, std::vector<std::string> &Events);

  std::size_t m_MaxEventBytes = DefaultMaxEventBytes;
  std::string m_Line;
  std::string m_Data;
  bool m_HasData = false;
  bool m_Overflowed = false;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_SSE_PARSER_H
