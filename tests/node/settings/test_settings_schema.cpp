#include "node/node_settings.h"

#include "absl/strings/str_split.h"
#include "cppunit/extensions/HelperMacros.h"

#include <fstream>
#include <set>
#include <sstream>
#include <string>

namespace fulmarwinch {

namespace {

Json readSchema() {
  std::ifstream File(FULMARWINCH_SOURCE_DIR
                     "/docs/operators/settings.schema.json");
  std::ostringstream Text;
  Text << File.rdbuf();
  return Json::parse(Text.str());
}

/// Returns settings that contain every key of the schema with its example
/// value.
Json exampleSettings(const Json &Schema) {
  Json Settings = Json::object();
  for (const auto &[Key, Property] : Schema["properties"].items())
    Settings[Key] = Property["examples"][0];
  return Settings;
}

bool isAccepted(const Json &Settings) {
  return parseNodeSettings(Settings).ok();
}

/// Returns the allowed keys that the parser's error for an unknown key lists.
std::set<std::string> parserKeys(Json Settings) {
  Settings["unknownKey"] = 1;
  const std::string Message(parseNodeSettings(Settings).status().message());
  const std::string Marker = "allowed the keys ";
  const std::size_t MarkerStart = Message.find(Marker);
  CPPUNIT_ASSERT_MESSAGE(Message, MarkerStart != std::string::npos);
  const std::size_t KeysStart = MarkerStart + Marker.size();
  return absl::StrSplit(
      Message.substr(KeysStart, Message.find(';') - KeysStart), ", ");
}

} // namespace

/// Checks that the published schema describes what the parser accepts.
class SettingsSchemaTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsSchemaTest);
  CPPUNIT_TEST(parserAcceptsEveryKey);
  CPPUNIT_TEST(schemaAndParserHaveSameKeys);
  CPPUNIT_TEST(schemaAndParserRequireSameKeys);
  CPPUNIT_TEST(schemaAndParserHaveSameBoundsAndDefaults);
  CPPUNIT_TEST(errorDoesNotContainPlainTextKey);
  CPPUNIT_TEST_SUITE_END();

  const Json m_Schema = readSchema();

  /// Guards against a key in the schema that the daemon refuses.
  void parserAcceptsEveryKey() {
    const auto Parsed = parseNodeSettings(exampleSettings(m_Schema));
    CPPUNIT_ASSERT_MESSAGE(std::string(Parsed.status().message()), Parsed.ok());
  }

  /// Guards against a key of the parser that the schema lacks, and against an
  /// optional key that is missing in the error for an unknown key.
  void schemaAndParserHaveSameKeys() {
    std::set<std::string> SchemaKeys;
    Json Required = Json::object();
    for (const auto &[Key, Property] : m_Schema["properties"].items())
      SchemaKeys.insert(Key);
    for (const auto &Key : m_Schema["required"])
      Required[Key.get<std::string>()] =
          m_Schema["properties"][Key.get<std::string>()]["examples"][0];
    CPPUNIT_ASSERT(SchemaKeys == parserKeys(exampleSettings(m_Schema)));
    CPPUNIT_ASSERT(SchemaKeys == parserKeys(Required));
  }

  /// Guards against a schema that accepts a file that the daemon refuses.
  void schemaAndParserRequireSameKeys() {
    const auto Required = m_Schema["required"].get<std::set<std::string>>();
    for (const auto &[Key, Property] : m_Schema["properties"].items()) {
      Json Settings = exampleSettings(m_Schema);
      Settings.erase(Key);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Key, Required.count(Key) == 0,
                                   isAccepted(Settings));
    }
  }

  /// Guards against bounds or defaults that were changed only in the schema or
  /// only in the parser.
  void schemaAndParserHaveSameBoundsAndDefaults() {
    for (const auto &[Key, Property] : m_Schema["properties"].items()) {
      if (fieldOr<std::string>(Property, "type", "") != "integer")
        continue;
      Json Settings = exampleSettings(m_Schema);
      for (const char *Bound : {"minimum", "maximum"}) {
        const auto Value = Property[Bound].get<std::int64_t>();
        Settings[Key] = Value;
        CPPUNIT_ASSERT_MESSAGE(Key, isAccepted(Settings));
        Settings[Key] = Value + (std::string(Bound) == "minimum" ? -1 : 1);
        CPPUNIT_ASSERT_MESSAGE(Key, !isAccepted(Settings));
      }
    }
    Json Settings = exampleSettings(m_Schema);
    for (const auto &Level : m_Schema["properties"]["logLevel"]["enum"]) {
      Settings["logLevel"] = Level;
      CPPUNIT_ASSERT(isAccepted(Settings));
    }
    checkDefaults();
  }

  void checkDefaults() {
    const Json &Properties = m_Schema["properties"];
    const NodeSettings ParserDefaults;
    const auto CheckDefault = [&](const char *Key, std::int64_t Value) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          Key, Properties[Key]["default"].get<std::int64_t>(), Value);
    };
    CheckDefault("expectedZones", ParserDefaults.m_ExpectedZones);
    CheckDefault("httpThreads", ParserDefaults.m_HttpThreads);
    CheckDefault("maxBodyBytes", ParserDefaults.m_MaxBodyBytes);
    CheckDefault("headerTimeoutMs", ParserDefaults.m_HeaderTimeoutMs);
    CheckDefault("queueCapacity", ParserDefaults.m_QueueCapacity);
    CheckDefault("drainGraceMs", ParserDefaults.m_DrainGraceMs);
    CheckDefault("drainTimeoutMs", ParserDefaults.m_DrainTimeoutMs);
  }

  /// Guards against a bootstrap key that was set in plain text by mistake and
  /// then appears in the daemon's log at start-up.
  void errorDoesNotContainPlainTextKey() {
    Json Settings = exampleSettings(m_Schema);
    Settings["bootstrapKeySha256"] = "plain-secret";
    const auto Parsed = parseNodeSettings(Settings);
    CPPUNIT_ASSERT(!Parsed.ok());
    CPPUNIT_ASSERT(
        std::string(Parsed.status().message()).find("plain-secret") ==
        std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsSchemaTest);

} // namespace fulmarwinch
