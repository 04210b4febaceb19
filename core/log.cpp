#include "core/log.h"

#include "log4cxx/consoleappender.h"
#include "log4cxx/logger.h"
#include "log4cxx/patternlayout.h"

#include <memory>
#include <string>

namespace fulmarwinch {

namespace {

log4cxx::LevelPtr toLog4cxx(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return log4cxx::Level::getDebug();
  case LogLevel::Info:
    return log4cxx::Level::getInfo();
  case LogLevel::Warning:
    return log4cxx::Level::getWarn();
  case LogLevel::Error:
    return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

} // namespace

void configureLogging(LogLevel Level) {
  const log4cxx::LoggerPtr Root = log4cxx::Logger::getRootLogger();
  Root->removeAllAppenders();
  const auto Layout = std::make_shared<log4cxx::PatternLayout>(
      "%d{yyyy-MM-dd'T'HH:mm:ss.SSS} %p %c: %m%n");
  Root->addAppender(std::make_shared<log4cxx::ConsoleAppender>(
      Layout, log4cxx::ConsoleAppender::getSystemErr()));
  Root->setLevel(toLog4cxx(Level));
}

void logLine(LogLevel Level, std::string_view Component,
             std::string_view Text) {
  const log4cxx::LoggerPtr Logger =
      log4cxx::Logger::getLogger(std::string(Component));
  const log4cxx::LevelPtr Log4cxxLevel = toLog4cxx(Level);
  if (Logger->isEnabledFor(Log4cxxLevel))
    Logger->forcedLog(Log4cxxLevel, std::string(Text));
}

} // namespace fulmarwinch
