#include "node/node_settings.h"

#include "core/error.h"
#include "servers/configuration/json_field_reader.h"
#include "servers/configuration/organisation.h"

#include "absl/strings/numbers.h"
#include "asio/ip/address.hpp"
#include "fmt/format.h"

#include <algorithm>
#include <fstream>
#include <optional>
#include <sstream>

#include <sys/resource.h>
#include <unistd.h>

namespace fulmarwinch {

namespace {

/// Descriptors for files, peers, the platform and operators: at least so many,
/// and a share of a larger limit, as larger deployments have more peers.
constexpr std::size_t MinOwnDescriptors = 128;
constexpr std::size_t OwnDescriptorsDivisor = 8;
constexpr std::size_t PooledConnectionsDivisor = 64;
constexpr std::size_t MaxPooledConnections = 256;
constexpr std::int64_t MinDescriptors = 256;
constexpr std::int64_t MaxDescriptorsSetting = 10000000;
constexpr std::int64_t MaxMemoryMbSetting = 16 << 20;

std::size_t maxDescriptors(const NodeSettings &Settings) {
  if (Settings.m_MaxDescriptors > 0)
    return static_cast<std::size_t>(Settings.m_MaxDescriptors);
  ::rlimit Limit{};
  ::getrlimit(RLIMIT_NOFILE, &Limit);
  return std::clamp<std::size_t>(Limit.rlim_cur, MinDescriptors,
                                 MaxDescriptorsSetting);
}

std::optional<Endpoint> parseEndpointText(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  std::uint32_t Port = 0;
  if (!absl::SimpleAtoi(Text.substr(Colon + 1), &Port) || Port == 0 ||
      Port > UINT16_MAX)
    return std::nullopt;
  Endpoint Value;
  Value.m_Address = Text.substr(0, Colon);
  Value.m_Port = static_cast<std::uint16_t>(Port);
  asio::error_code Error;
  asio::ip::make_address(Value.m_Address, Error);
  if (Error)
    return std::nullopt;
  return Value;
}

Endpoint readEndpoint(JsonFieldReader &Fields, const char *Key) {
  const std::string Text = Fields.text(Key);
  if (!Fields.firstFault().ok())
    return {};
  const std::optional<Endpoint> Value = parseEndpointText(Text);
  if (!Value) {
    Fields.fail(Key, Text, "an IP address and a port such as 10.0.0.1:8080",
                "write the address as a number and add the port");
    return {};
  }
  return *Value;
}

std::vector<Endpoint> readSeeds(JsonFieldReader &Fields) {
  std::vector<Endpoint> Seeds;
  for (const std::string &Text : Fields.optionalTexts("seeds")) {
    const std::optional<Endpoint> Value = parseEndpointText(Text);
    if (Value)
      Seeds.push_back(*Value);
    else
      Fields.fail("seeds", Text, "IP addresses with ports",
                  "correct the address");
  }
  return Seeds;
}

LogLevel readLogLevel(JsonFieldReader &Fields) {
  const std::string Text = Fields.textOr("logLevel", "info");
  const std::optional<LogLevel> Level = valueOf(LogLevelNames, Text);
  if (!Level)
    Fields.fail("logLevel", Text, "debug, info, warning or error",
                "correct the value");
  return Level.value_or(LogLevel::Info);
}

std::string readBootstrapKey(JsonFieldReader &Fields) {
  std::string Text = Fields.textOr("bootstrapKeySha256", "");
  // The error must not contain the value, because it may be a key in plain
  // text.
  if (Fields.firstFault().ok() && !Text.empty() && !isSha256Text(Text))
    Fields.fail("bootstrapKeySha256", "another text",
                "64 lower-case hexadecimal digits",
                "store the SHA-256 of the key, not the key");
  return Text;
}

} // namespace

std::string toText(const Endpoint &Value) {
  return fmt::format("{}:{}", Value.m_Address, Value.m_Port);
}

double memoryMb(const NodeSettings &Settings) {
  constexpr double BytesPerMb = 1048576.0;
  if (Settings.m_MemoryMb > 0)
    return static_cast<double>(Settings.m_MemoryMb);
  return static_cast<double>(::sysconf(_SC_PHYS_PAGES)) *
         static_cast<double>(::sysconf(_SC_PAGESIZE)) / BytesPerMb;
}

std::size_t clientDescriptors(const NodeSettings &Settings) {
  const std::size_t All = maxDescriptors(Settings);
  return All - std::max(MinOwnDescriptors, All / OwnDescriptorsDivisor);
}

std::size_t maxPooledConnections(const NodeSettings &Settings) {
  return std::min(MaxPooledConnections,
                  maxDescriptors(Settings) / PooledConnectionsDivisor);
}

absl::StatusOr<NodeSettings> parseNodeSettings(const Json &Object) {
  JsonFieldReader Fields(Object, "settings");
  NodeSettings Settings;
  Settings.m_Node = Fields.name("node");
  Settings.m_Region = Fields.name("region");
  Settings.m_Zone = Fields.name("zone");
  Settings.m_ClientEndpoint = readEndpoint(Fields, "clientEndpoint");
  Settings.m_OperatorEndpoint = readEndpoint(Fields, "operatorEndpoint");
  Settings.m_PeerEndpoint = readEndpoint(Fields, "peerEndpoint");
  Settings.m_PlatformEndpoint = readEndpoint(Fields, "platformEndpoint");
  Settings.m_Seeds = readSeeds(Fields);
  Settings.m_BootstrapKeySha256 = readBootstrapKey(Fields);
  Settings.m_ExpectedZones = Fields.integerOr("expectedZones", 0, 64, 0);
  Settings.m_LogLevel = readLogLevel(Fields);
  Settings.m_HttpThreads = Fields.integerOr("httpThreads", 1, 64, 4);
  Settings.m_MaxBodyBytes =
      Fields.integerOr("maxBodyBytes", 1024, 64 << 20, Settings.m_MaxBodyBytes);
  Settings.m_HeaderTimeoutMs = Fields.integerOr("headerTimeoutMs", 100, 60000,
                                                Settings.m_HeaderTimeoutMs);
  Settings.m_QueueCapacity =
      Fields.integerOr("queueCapacity", 1, 1000000, Settings.m_QueueCapacity);
  Settings.m_MemoryMb = Fields.integerOr("memoryMb", 0, MaxMemoryMbSetting, 0);
  Settings.m_MaxDescriptors =
      Fields.integerOr("maxDescriptors", 0, MaxDescriptorsSetting, 0);
  if (Settings.m_MaxDescriptors > 0 &&
      Settings.m_MaxDescriptors < MinDescriptors)
    Fields.fail("maxDescriptors", fmt::format("{}", Settings.m_MaxDescriptors),
                fmt::format("0 or at least {}", MinDescriptors),
                "correct the value");
  Settings.m_DrainGraceMs =
      Fields.integerOr("drainGraceMs", 0, 600000, Settings.m_DrainGraceMs);
  Settings.m_DrainTimeoutMs = Fields.integerOr("drainTimeoutMs", 0, 86400000,
                                               Settings.m_DrainTimeoutMs);
  if (absl::Status Error = Fields.finish(); !Error.ok())
    return Error;
  return Settings;
}

absl::StatusOr<NodeSettings> readNodeSettings(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return makeError(ErrorKind::NotFound,
                     fmt::format("cannot read the settings file {}", Path),
                     "check the path and its permissions");
  std::ostringstream Text;
  Text << File.rdbuf();
  absl::StatusOr<Json> Object = parseJson(Text.str(), Path);
  if (!Object.ok())
    return Object.status();
  return parseNodeSettings(*Object);
}

} // namespace fulmarwinch
