#include "platform/decoders.h"
#include "platform/settings_reader.h"

#include "cppunit/extensions/HelperMacros.h"

#include <map>

namespace fulmarwinch {

/// Tests how the platform adapter decodes store objects and settings,
/// including malformed ones, and encodes orders.
class PlatformDecodersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformDecodersTest);
  CPPUNIT_TEST(serverEntryIsDecoded);
  CPPUNIT_TEST(invalidServerEntriesAreRejected);
  CPPUNIT_TEST(everyFieldOfAServerEntryCounts);
  CPPUNIT_TEST(configurationIsDecoded);
  CPPUNIT_TEST(invalidConfigurationIsRejected);
  CPPUNIT_TEST(damagedFieldOfAConfigurationIsNoDefault);
  CPPUNIT_TEST(emptyListOfOrganisationsAdmitsNobody);
  CPPUNIT_TEST(ordersAreEncoded);
  CPPUNIT_TEST(orderStateIsDecoded);
  CPPUNIT_TEST(settingsAreParsed);
  CPPUNIT_TEST(incompleteSettingsAreRejected);
  CPPUNIT_TEST(secondAttemptShareIsValidated);
  CPPUNIT_TEST(enabledPartsAreValidated);
  CPPUNIT_TEST_SUITE_END();

  static StoredObject object(const char *Name, const char *Content) {
    return {Name, 7, Json::parse(Content)};
  }

  static StoredObject serverObject() {
    return object("i-1", R"({"service":"llm","address":"10.0.0.1:80",
      "zone":"a","version":"v1","slots":26,"state":"ready","born":1700000000123,
      "cold_remaining_ms":1500,"domain":"d0","staged":["m0"],"seq_no":4,
      "models":[{"name":"m0","version":1,"adapters":[]}],
      "group":{"name":"m0.3.9","epoch":300009,"rank":2,"state":"open"}})");
  }

  void serverEntryIsDecoded() {
    const auto Server = platform::decodeServer(serverObject());
    CPPUNIT_ASSERT(Server.ok());
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"), Server->m_Id);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1700000000123}, Server->m_StartedAtMs);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{80}, Server->m_Endpoint.m_Port);
    CPPUNIT_ASSERT(Server->m_RemainingColdTime ==
                   std::chrono::milliseconds(1500));
    CPPUNIT_ASSERT(!Server->m_Draining);
    CPPUNIT_ASSERT_EQUAL(2U, Server->m_Membership->m_Rank);
    CPPUNIT_ASSERT(Server->m_Membership->m_State == GroupMemberState::Open);
    CPPUNIT_ASSERT_EQUAL(std::string("m0"), Server->m_StagedModels.front());
  }

  /// Guards against sending requests to a server whose entry is incomplete, and
  /// against a crash on fields of an unexpected type, as another program may
  /// write them.
  void invalidServerEntriesAreRejected() {
    for (const char *Field : {"service", "address", "zone", "state"}) {
      StoredObject Incomplete = serverObject();
      Incomplete.m_Content.erase(Field);
      CPPUNIT_ASSERT(!platform::decodeServer(Incomplete).ok());
      for (const Json &Value :
           {Json(nullptr), Json(7), Json::array(), Json("?"), Json(true)}) {
        if (Value.is_string() && std::string(Field) != "state" &&
            std::string(Field) != "address")
          continue;
        StoredObject Invalid = serverObject();
        Invalid.m_Content[Field] = Value;
        CPPUNIT_ASSERT(!platform::decodeServer(Invalid).ok());
      }
    }
    for (const char *Text : {"null", "[]", "7", "\"x\"", "{}"})
      CPPUNIT_ASSERT(!platform::decodeServer(object("i-2", Text)).ok());
    for (const char *Field :
         {"born", "slots", "group", "models", "staged", "domain"}) {
      StoredObject WrongType = serverObject();
      WrongType.m_Content[Field] = Json{{"x", Json::array({1, "y"})}};
      CPPUNIT_ASSERT_MESSAGE(Field, !platform::decodeServer(WrongType).ok());
    }
  }

  static void assertRejectedWithout(const char *Object, const char *Field) {
    StoredObject Entry = serverObject();
    Json &Part = Entry.m_Content[Json::json_pointer(Object)];
    for (const Json &Wrong :
         {Json::object(), Json(-1), Json(0.5), Json(true)}) {
      Part[Field] = Wrong;
      CPPUNIT_ASSERT_MESSAGE(Field, !platform::decodeServer(Entry).ok());
    }
    Part.erase(Field);
    CPPUNIT_ASSERT_MESSAGE(Field, !platform::decodeServer(Entry).ok());
  }

  /// Another program wrote the entry. Guards against a missing rank that is
  /// read as that of a head, and against a missing epoch or start time that is
  /// read as an early one.
  void everyFieldOfAServerEntryCounts() {
    for (const char *Field :
         {"service", "address", "zone", "state", "born", "version", "seq_no",
          "slots", "cold_remaining_ms"})
      assertRejectedWithout("", Field);
    for (const char *Field : {"name", "epoch", "rank", "state"})
      assertRejectedWithout("/group", Field);
    assertRejectedWithout("/models/0", "name");
    // A member of a group has a fabric domain.
    assertRejectedWithout("", "domain");
    for (const auto &[Field, Value] :
         std::multimap<std::string, Json>{{"rank", 1025},
                                          {"rank", "0"},
                                          {"epoch", "300009"},
                                          {"name", ""},
                                          {"state", "opened"}}) {
      StoredObject Entry = serverObject();
      Entry.m_Content["group"][Field] = Value;
      CPPUNIT_ASSERT_MESSAGE(Field, !platform::decodeServer(Entry).ok());
    }
    StoredObject Free = serverObject();
    Free.m_Content["group"] = nullptr;
    CPPUNIT_ASSERT(!platform::decodeServer(Free)->m_Membership);
    Free.m_Content.erase("group");
    Free.m_Content.erase("domain");
    CPPUNIT_ASSERT(!platform::decodeServer(Free)->m_Membership);
  }

  static StoredObject configurationObject() {
    return object("main", R"({"version":7,"routes":[
      {"name":"r1","host":"h.example","path_prefix":"/a/","kind":"streaming",
       "timeout_ms":8000,"slo_ms":300,"priority":1,"max_attempts":2,
       "traffic_split":[{"service":"llm","weight":90},
                        {"service":"two","weight":10}],
       "public":false,"sticky_sessions":true,"resumable":true,
       "gap_aim_ms":300},
      {"name":"r2","host":"h.example","path_prefix":"/b/",
       "kind":"non_idempotent","service":"two","timeout_ms":800}],
      "services":[{"name":"llm","health_path":"/health","max_conns":474,
        "cold_start_s":3.0,"cold_per_s":36.0,"engine":{"slots":26,
        "step_ms":5.95,"read_per_s":50700.0,"stride":7,"loads_per_s":4.5,
        "loads_at_once":6,"models":[{"name":"m0","size":4,"share":0.57,
        "pace":1.0,"load_s":16.0,"warm_s":1.6}]}},{"name":"two"}],
      "limits":{"max_header_bytes":1000,"max_body_bytes":2000,
        "header_timeout_ms":3000,"idle_timeout_ms":15000},
      "tenants":[{"name":"t","api_keys":["k"],"priority":1}]})");
  }

  void configurationIsDecoded() {
    const auto Content = platform::decodeConfiguration(configurationObject());
    CPPUNIT_ASSERT(Content.ok());
    const Route &StreamRoute = Content->m_Routes[0];
    CPPUNIT_ASSERT(StreamRoute.m_Kind == RequestKind::Streaming);
    CPPUNIT_ASSERT(StreamRoute.mayRunMoreThanOnce());
    CPPUNIT_ASSERT(StreamRoute.m_EventGapObjective ==
                   std::chrono::milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, StreamRoute.m_Services.size());
    CPPUNIT_ASSERT(!Content->m_Routes[1].mayRunMoreThanOnce());
    CPPUNIT_ASSERT_EQUAL(std::string("two"),
                         Content->m_Routes[1].m_Services[0].m_Service);
    const ServiceSpec &ModelService = Content->m_Services[0];
    CPPUNIT_ASSERT(ModelService.hasReplicaGroups());
    CPPUNIT_ASSERT_EQUAL(4U, ModelService.m_Engine.m_Models[0].m_GroupSize);
    CPPUNIT_ASSERT(!Content->m_Services[1].hasReplicaGroups());
    CPPUNIT_ASSERT(Content->m_Limits.m_IdleTimeout == std::chrono::seconds(15));
  }

  /// Guards against replacing the routes by an empty list when the new
  /// configuration cannot be decoded.
  void invalidConfigurationIsRejected() {
    StoredObject Invalid = configurationObject();
    Invalid.m_Content["routes"][0]["kind"] = "sideways";
    CPPUNIT_ASSERT(!platform::decodeConfiguration(Invalid).ok());
    for (const char *Text : {"null", "[]", "{}", "{\"version\":\"x\"}"})
      CPPUNIT_ASSERT(!platform::decodeConfiguration(object("main", Text)).ok());
  }

  /// Guards against a configuration that loses routes, keys or limits because a
  /// field of it is damaged.
  void damagedFieldOfAConfigurationIsNoDefault() {
    const std::vector<std::pair<const char *, std::vector<const char *>>>
        RequiredFields{
            {"", {"routes", "services", "version"}},
            {"/routes/0", {"name", "host", "path_prefix", "kind"}},
            {"/routes/1", {"service"}},
            {"/routes/0/traffic_split/1", {"service", "weight"}},
            {"/services/0", {"name"}},
            {"/tenants/0", {"name", "api_keys"}},
        };
    const std::vector<std::pair<const char *, std::vector<const char *>>>
        OptionalFields{
            {"", {"tenants"}},
            {"/routes/0",
             {"traffic_split", "timeout_ms", "slo_ms", "max_attempts",
              "priority", "public", "resumable", "gap_aim_ms"}},
            {"/tenants/0", {"priority"}},
        };
    const Json Damaged{{"x", Json::array({1, "y"})}};
    const auto IsAccepted = [](const StoredObject &Object) {
      return platform::decodeConfiguration(Object).ok();
    };
    for (const auto &[Parent, Fields] : RequiredFields)
      for (const char *Field : Fields) {
        StoredObject Object = configurationObject();
        Json &Part = Object.m_Content[Json::json_pointer(Parent)];
        Part[Field] = Damaged;
        CPPUNIT_ASSERT_MESSAGE(Field, !IsAccepted(Object));
        Part.erase(Field);
        CPPUNIT_ASSERT_MESSAGE(Field, !IsAccepted(Object));
      }
    for (const auto &[Parent, Fields] : OptionalFields)
      for (const char *Field : Fields) {
        StoredObject Object = configurationObject();
        Json &Part = Object.m_Content[Json::json_pointer(Parent)];
        Part[Field] = Damaged;
        CPPUNIT_ASSERT_MESSAGE(Field, !IsAccepted(Object));
        if (std::string(Field) == "traffic_split")
          Part["service"] = "llm";
        Part.erase(Field);
        CPPUNIT_ASSERT_MESSAGE(Field, IsAccepted(Object));
      }
    StoredObject Negative = configurationObject();
    Negative.m_Content["routes"][0]["max_attempts"] = -1;
    CPPUNIT_ASSERT(!IsAccepted(Negative));
  }

  /// The operator takes the last key away. Guards against a configuration with
  /// no organisation that lets every client in.
  void emptyListOfOrganisationsAdmitsNobody() {
    StoredObject Object = configurationObject();
    Object.m_Content["tenants"] = Json::array();
    CPPUNIT_ASSERT(platform::decodeConfiguration(Object)->m_RequiresApiKeys);
    Object.m_Content.erase("tenants");
    CPPUNIT_ASSERT(!platform::decodeConfiguration(Object)->m_RequiresApiKeys);
  }

  void ordersAreEncoded() {
    MemberOrder Order;
    Order.m_Kind = MemberOrderKind::Join;
    Order.m_Group = {"m0.1.2", 100002};
    Order.m_Model = "m0";
    Order.m_Members = {"i-1", "i-2"};
    const Json Join = Json::parse(platform::encodeOrder(Order));
    CPPUNIT_ASSERT_EQUAL(std::string("join"), Join["op"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(100002, Join["epoch"].get<int>());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Join["members"].size());
    CPPUNIT_ASSERT(!Join.contains("precondition"));
    Order.m_Precondition = 7;
    Order.m_Kind = MemberOrderKind::Close;
    Order.m_CloseMode = CloseMode::PreemptRequests;
    const Json Close = Json::parse(platform::encodeOrder(Order));
    CPPUNIT_ASSERT_EQUAL(std::string("preempt"),
                         Close["close_mode"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(7, Close["precondition"].get<int>());
    Order.m_Kind = MemberOrderKind::Stage;
    const Json Stage = Json::parse(platform::encodeOrder(Order));
    CPPUNIT_ASSERT(!Stage.contains("group"));
  }

  /// Guards against an order without a precondition to a server whose report
  /// was garbled.
  void orderStateIsDecoded() {
    const auto State = platform::decodeOrderState(
        R"({"seq_no":3,"born":17,"group":{"name":"m0.1.2","epoch":100002,)"
        R"("rank":0,"state":"ready"}})");
    CPPUNIT_ASSERT(State.has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, *State->m_OrderCount);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{17}, State->m_StartedAtMs);
    CPPUNIT_ASSERT(State->m_Group == GroupKey({"m0.1.2", 100002}));
    const auto WithoutCount = platform::decodeOrderState("{}");
    CPPUNIT_ASSERT(WithoutCount && !WithoutCount->m_OrderCount);
    for (const char *Malformed :
         {"", "[]", R"({"seq_no":-1})", R"({"seq_no":"3"})",
          R"({"seq_no":3,"group":{"name":"m0.1.2"}})", R"({"seq_no":3)"})
      CPPUNIT_ASSERT(!platform::decodeOrderState(Malformed));
  }

  static constexpr const char *SettingsText =
      "node=n1\nzone=a\nip=10.1.0.40\nlisten.front=10.1.0.40:8227\n"
      "listen.ready_address=10.1.0.40:8220\nport_range=7340,7355\n"
      "platform.address=10.200.1.7:8223\nbounds.grace_s=8\n"
      "bounds.stall_ms=5000\nbounds.budget_slack=136\nheartbeat_ms=900\n"
      "bootstrap=true\nunknown=x\n";

  void settingsAreParsed() {
    const auto Parsed = platform::parseFrontSettings(SettingsText);
    CPPUNIT_ASSERT(Parsed.ok());
    CPPUNIT_ASSERT_EQUAL(std::string("n1"), Parsed->m_NodeName);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{7340}, Parsed->m_PeerPort);
    CPPUNIT_ASSERT(Parsed->m_GroupBreakDelay == std::chrono::seconds(5));
    CPPUNIT_ASSERT(Parsed->m_ServerReportPeriod ==
                   std::chrono::milliseconds(900));
    CPPUNIT_ASSERT(Parsed->m_IsFirstStart);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(136.0, Parsed->m_RetryBudgetSlack, 0.001);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Parsed->m_MaxFds);
    const auto Limited = platform::parseFrontSettings(
        std::string(SettingsText) + "limits.max_fds=4100\n");
    CPPUNIT_ASSERT(Limited.ok());
    CPPUNIT_ASSERT_EQUAL(std::size_t{4100}, Limited->m_MaxFds);
  }

  void incompleteSettingsAreRejected() {
    const std::string Text = SettingsText;
    for (const char *Name : {"node=", "ip=", "listen.front=", "port_range=",
                             "platform.address="}) {
      std::string Incomplete = Text;
      Incomplete.replace(Incomplete.find(std::string("\n") + Name) ==
                                 std::string::npos
                             ? 0
                             : Incomplete.find(std::string("\n") + Name) + 1,
                         std::string(Name).size(), "other=");
      CPPUNIT_ASSERT(!platform::parseFrontSettings(Incomplete).ok());
    }
    CPPUNIT_ASSERT(!platform::parseFrontSettings("").ok());
    CPPUNIT_ASSERT(
        !platform::parseFrontSettings(Text + "bounds.stall_ms=x\n").ok());
    // Guards against a limit that leaves no descriptor for clients, and against
    // one that wraps around.
    for (const char *Count : {"x", "-1", "0", "250", "4100.5"}) {
      const auto Parsed =
          platform::parseFrontSettings(Text + "limits.max_fds=" + Count + "\n");
      CPPUNIT_ASSERT_MESSAGE(Count, !Parsed.ok());
      CPPUNIT_ASSERT(Parsed.status().message().find("limits.max_fds") !=
                     std::string::npos);
    }
  }

  /// Guards against a share beyond what the platform allows, and against an
  /// error that does not name the option.
  void secondAttemptShareIsValidated() {
    for (const auto &[Value, Share] :
         {std::pair("0", 0.0), std::pair("0.05", 0.05), std::pair("0.2", 0.2)})
      CPPUNIT_ASSERT_EQUAL(Share, *platform::parseSecondAttemptShare(Value));
    for (const char *Invalid : {"", "x", "-0.1", "0.21", "1", "nan", "0.1x"}) {
      const auto Parsed = platform::parseSecondAttemptShare(Invalid);
      CPPUNIT_ASSERT_MESSAGE(Invalid, !Parsed.ok());
      CPPUNIT_ASSERT(Parsed.status().message().find("--second-attempt-share") !=
                     std::string::npos);
    }
  }

  /// Guards against a part that is switched on without being asked for, and
  /// against a misspelt one that stays off unnoticed.
  void enabledPartsAreValidated() {
    CPPUNIT_ASSERT(platform::parseEnabledParts("")->empty());
    CPPUNIT_ASSERT(*platform::parseEnabledParts("supply,placement") ==
                   (std::set<OptionalPart>{OptionalPart::Placement,
                                           OptionalPart::Supply}));
    for (const char *Invalid :
         {"suply", "supply,", "Supply", "placement supply"})
      CPPUNIT_ASSERT_MESSAGE(Invalid,
                             !platform::parseEnabledParts(Invalid).ok());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformDecodersTest);

} // namespace fulmarwinch
