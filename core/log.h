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

/// Writes the log lines of all components with at least \p Level to standard
/// error. Every line starts with the time, the level and the component's name.
void configureLogging(LogLevel Level);

/// Writes one log line of the component \p Component, for example "gateway".
void logLine(LogLevel Level, std::string_view Component, std::string_view Text);

} // namespace fulmarwinch

#endif // FULMARWINCH_CORE_LOG_H
