#ifndef FULMARWINCH_CORE_LOG_H
#define FULMARWINCH_CORE_LOG_H

#include "core/enum_names.h"

#include <array>
#include <string_view>

namespace fulmarwinch {

enum class LogLevel { Debug, Info, Warning, Error };

inline constexpr std::array<EnumName<LogLevel>, 4> LogLevelNames{{
    {LogLevel::Debug, "debug"},
    {LogLevel::Info, "info"},
    {LogLevel::Warning, "warning"},
    {LogLevel::Error, "error"},
}};

/// Sends log lines of all parts to standard error, from \p Level upwards.
/// Every line starts with the time, the level and the part's prefix.
void configureLogging(LogLevel Level);

/// Writes one line for the part that is called \p Part, for example
/// "gateway".
void logLine(LogLevel Level, std::string_view Part, std::string_view Text);

} // namespace fulmarwinch

#endif // FULMARWINCH_CORE_LOG_H
