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

/// Returns settings with the example value of every key of the schema.
Json exampleSettings(const Json &Schema) {
  Json Settings = Json::object();
  for (const auto &[Key, Property] : Schema["properties"].items())
    Settings[Key] = Property["examples"][0];
  return Settings;
}

bool isAccepted(const Json &Settings) {
  return parseNodeSettings(Settings).ok();
}

/// Returns the keys that the parser names as allowed for an unknown key.
std::set<std::string> parserKeys(Json Settings) {
  Settings["unknownKey"] = 1;
  const std::string Message(parseNodeSettings(Settings).status().message());
  const std::string Marker = "allowed the keys ";
  const std::size_t Start = Message.find(Marker);
  CPPUNIT_ASSERT_MESSAGE(Message, Start != std::string::npos);
  const std::size_t From = Start + Marker.size();
  return absl::StrSplit(Message.substr(From, Message.find(';') - From), ", ");
}

} // namespace

/// The published schema describes what the parser accepts.
class SettingsSchemaTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsSchemaTest);
  CPPUNIT_TEST(parserAcceptsEveryKey);
  CPPUNIT_TEST(keysAreTheSame);
  CPPUNIT_TEST(requiredKeysAreTheSame);
  CPPUNIT_TEST(boundsAndDefaultsAreTheSame);
  CPPUNIT_TEST(keyInPlainTextIsNotShown);
  CPPUNIT_TEST_SUITE_END();

  const Json m_Schema = readSchema();

  /// Guards against a key in the schema that the daemon refuses.
  void parserAcceptsEveryKey() {
    const auto Parsed = parseNodeSettings(exampleSettings(m_Schema));
    CPPUNIT_ASSERT_MESSAGE(std::string(Parsed.status().message()), Parsed.ok());
  }

  /// Guards against a key of the parser that the schema does not have, and
  /// against an optional key missing in the message about an unknown one.
  void keysAreTheSame() {
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

  /// Guards against a schema that accepts a file the daemon refuses.
  void requiredKeysAreTheSame() {
    const auto Required = m_Schema["required"].get<std::set<std::string>>();
    for (const auto &[Key, Property] : m_Schema["properties"].items()) {
      Json Settings = exampleSettings(m_Schema);
      Settings.erase(Key);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Key, Required.count(Key) == 0,
                                   isAccepted(Settings));
    }
  }

  /// Guards against bounds that were changed on one side only.
  void boundsAndDefaultsAreTheSame() {
    for (const auto &[Key, Property] : m_Schema["properties"].items()) {
      if (memberOr<std::string>(Property, "type", "") != "integer")
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
    const NodeSettings Default;
    const auto Check = [&](const char *Key, std::int64_t Value) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          Key, Properties[Key]["default"].get<std::int64_t>(), Value);
    };
    Check("expectedZones", Default.m_ExpectedZones);
    Check("httpThreads", Default.m_HttpThreads);
    Check("maxBodyBytes", Default.m_MaxBodyBytes);
    Check("headerTimeoutMs", Default.m_HeaderTimeoutMs);
    Check("queueCapacity", Default.m_QueueCapacity);
    Check("drainGraceMs", Default.m_DrainGraceMs);
    Check("drainTimeoutMs", Default.m_DrainTimeoutMs);
  }

  /// Guards against a bootstrap key that was written in plain text by mistake
  /// and then ends up in a log of the start.
  void keyInPlainTextIsNotShown() {
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
