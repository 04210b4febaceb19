#include "core/error.h"
#include "core/hash.h"
#include "node/authenticator.h"
#include "node/completion_request.h"
#include "node/error_response.h"
#include "node/sse_parser.h"

#include "cppunit/extensions/HelperMacros.h"
#include "fmt/format.h"

namespace fulmarwinch {

namespace {

ConfigurationView::Pointer
makeView(const std::vector<std::pair<EntryId, std::string>> &Entries) {
  ConfigurationChange Change{1, "p1", "ana", 0, {}};
  for (const auto &[Id, Text] : Entries)
    Change.m_Entries.push_back({Id, Text});
  return *ConfigurationView::makeEmpty()->withChange(Change);
}

std::string operatorEntry(const std::string &Key) {
  return fmt::format(
      R"({{"kind":"operator","name":"ana","keySha256":"{}","role":"admin"}})",
      sha256Hex(Key));
}

HttpHeaders bearer(const std::string &Key) {
  return {{"authorization", "Bearer " + Key}};
}

const EntryId OperatorId{EntryKind::Operator, "ana"};

} // namespace

class NodeParsersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeParsersTest);
  CPPUNIT_TEST(eventsAreParsedAcrossAnySplit);
  CPPUNIT_TEST(linesEndWithAnyLineEnd);
  CPPUNIT_TEST(oversizedEventIsRejected);
  CPPUNIT_TEST(completionIsParsed);
  CPPUNIT_TEST(invalidCompletionsAreRejected);
  CPPUNIT_TEST(errorContainsOutcomeAndRemedy);
  CPPUNIT_TEST(remedyDoesNotClaimNotRunAfterEarlierAttempt);
  CPPUNIT_TEST(statusDoesNotClaimNotRunAfterEarlierAttempt);
  CPPUNIT_TEST(organisationRequiresItsKey);
  CPPUNIT_TEST(bootstrapKeyIsInvalidOnceAnOperatorExists);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against events that are lost or joined where the network splits the
  /// stream.
  void eventsAreParsedAcrossAnySplit() {
    const std::string Stream =
        ": comment\r\ndata: a\r\n\r\nevent: x\ndata:b\ndata: c\n\n\ndata: d\n";
    const std::vector<std::string> Expected{"a", "b\nc"};
    for (std::size_t Length = 1; Length <= Stream.size(); ++Length) {
      SseParser Parser;
      std::vector<std::string> Events;
      for (std::size_t Offset = 0; Offset < Stream.size(); Offset += Length)
        for (std::string &Event : Parser.accept(Stream.substr(Offset, Length)))
          Events.push_back(std::move(Event));
      CPPUNIT_ASSERT(Expected == Events);
    }
  }

  /// Guards against a stream that has no events, because its lines end with CR.
  void linesEndWithAnyLineEnd() {
    const std::vector<std::string> Expected{"a", "b\nc"};
    for (const char *LineEnd : {"\n", "\r\n", "\r"})
      for (const std::size_t Length : {1U, 2U, 3U, 1000U}) {
        std::string Stream;
        for (const char *Line : {"data: a", "", "data:b", "data: c", "", ""})
          Stream += std::string(Line) + LineEnd;
        SseParser Parser;
        std::vector<std::string> Events;
        for (std::size_t Offset = 0; Offset < Stream.size(); Offset += Length)
          for (std::string &Event :
               Parser.accept(Stream.substr(Offset, Length)))
            Events.push_back(std::move(Event));
        CPPUNIT_ASSERT(Expected == Events);
      }
  }

  /// Guards against an engine that exhausts the node's memory with an event
  /// that never ends.
  void oversizedEventIsRejected() {
    SseParser Parser(100);
    Parser.accept("data: " + std::string(90, 'x'));
    CPPUNIT_ASSERT(!Parser.hasOverflowed());
    Parser.accept(std::string(90, 'x'));
    CPPUNIT_ASSERT(Parser.hasOverflowed());
    CPPUNIT_ASSERT(Parser.accept("\n\ndata: y\n\n").empty());
  }

  /// Guards against a request that is routed by wrongly parsed fields.
  void completionIsParsed() {
    const auto Result = parse(
        R"({"model":"chat:fr","stream":true,"max_tokens":7,
            "messages":[{"role":"user","content":"hello"}]})");
    CPPUNIT_ASSERT(Result.ok());
    CPPUNIT_ASSERT_EQUAL(std::string("chat"), Result->m_Route.m_Deployment);
    CPPUNIT_ASSERT_EQUAL(std::string("fr"), Result->m_Route.m_Adapter);
    CPPUNIT_ASSERT_EQUAL(std::size_t{7}, Result->m_Route.m_OutputTokens);
    CPPUNIT_ASSERT(Result->m_IsStream);
  }

  /// Guards against bodies that crash the parser, and against a token limit of
  /// -1 that passes the check of the context length: as an unsigned number it
  /// overflows when the prompt length is added, and the sum is small.
  void invalidCompletionsAreRejected() {
    const std::string Prompt = R"({"model":"chat","prompt":"p")";
    for (const std::string &Body :
         {std::string("{"), std::string("[]"), std::string("{}"),
          std::string(R"({"model":"chat"})"),
          std::string(R"({"model":"other","prompt":"p"})"),
          std::string(R"({"model":"chat:other","prompt":"p"})"),
          std::string(R"({"model":"chat","messages":[]})"),
          std::string(R"({"model":"chat","messages":["x"]})"),
          Prompt + R"(,"max_tokens":-1})", Prompt + R"(,"max_tokens":0})",
          Prompt + R"(,"max_tokens":1e30})", Prompt + R"(,"max_tokens":"5"})",
          Prompt + R"(,"max_completion_tokens":18446744073709551615})",
          Prompt + R"(,"max_tokens":1000})",
          R"({"model":"chat","prompt":)" + std::string(1U << 20U, '[')})
      CPPUNIT_ASSERT_MESSAGE(Body.substr(0, 80), !parse(Body).ok());
  }

  /// Guards against errors that do not tell the client whether a retry is safe.
  void errorContainsOutcomeAndRemedy() {
    const HttpResponse Response = errorHttpResponse(
        {makeError(ErrorKind::Overloaded, "it is full", "send it later"),
         Outcome::NotRun, std::chrono::milliseconds(1500), "r\xff"});
    const Json Error = Json::parse(Response.m_Body)["error"];
    CPPUNIT_ASSERT_EQUAL(429, Response.m_Status);
    CPPUNIT_ASSERT_EQUAL(std::string("2"),
                         findHeader(Response.m_Headers, "Retry-After").value());
    CPPUNIT_ASSERT_EQUAL(std::string("overloaded"),
                         Error["type"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("it is full"),
                         Error["message"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"),
                         Error["outcome"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("send it later"),
                         Error["remedy"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(1500, Error["retry_after_ms"].get<int>());
  }

  /// Guards against an error that says "not run" although an earlier attempt
  /// may have run.
  void remedyDoesNotClaimNotRunAfterEarlierAttempt() {
    const absl::Status Reason = withMayHaveRunRemedy(makeError(
        ErrorKind::NoCapacity, "no place", "the request was not run"));
    CPPUNIT_ASSERT(errorKind(Reason) == ErrorKind::NoCapacity);
    CPPUNIT_ASSERT(std::string(Reason.message()).find("not run") ==
                   std::string::npos);
  }

  /// Guards against a status that promises "not run" beside the outcome
  /// "unknown", for clients that read only the status.
  void statusDoesNotClaimNotRunAfterEarlierAttempt() {
    for (const ErrorKind Kind :
         {ErrorKind::NoCapacity, ErrorKind::Overloaded,
          ErrorKind::StoreUnavailable, ErrorKind::Isolated}) {
      const absl::Status Reason = makeError(Kind, "no place", "wait");
      for (const Outcome Result : {Outcome::Unknown, Outcome::Ran})
        CPPUNIT_ASSERT_EQUAL(
            502,
            errorHttpResponse({Reason, Result, Duration{0}, "r"}).m_Status);
      CPPUNIT_ASSERT(promisesNotRun(
          errorHttpResponse({Reason, Outcome::NotRun, Duration{0}, "r"})
              .m_Status));
    }
  }

  /// Guards against a caller that is accepted without a key or with a wrong
  /// key.
  void organisationRequiresItsKey() {
    const auto View =
        makeView({{{EntryKind::Organisation, "tadamun"},
                   fmt::format(R"({{"kind":"organisation","name":"tadamun",
                      "apiKeySha256":["{}"]}})",
                               sha256Hex("right"))}});
    CPPUNIT_ASSERT_EQUAL(
        std::string("tadamun"),
        authenticateOrganisation(bearer("right"), *View)->m_Name);
    for (const HttpHeaders &Headers :
         {HttpHeaders{}, bearer("wrong"), bearer(""), bearer("right "),
          HttpHeaders{{"Authorization", "right"}}})
      CPPUNIT_ASSERT(
          errorKind(authenticateOrganisation(Headers, *View).status()) ==
          ErrorKind::Unauthenticated);
  }

  /// Guards against a bootstrap key that stays valid although an operator
  /// exists, also one whose account this version cannot parse.
  void bootstrapKeyIsInvalidOnceAnOperatorExists() {
    const std::string Bootstrap = sha256Hex("boot");
    const auto Accepts = [&](const ConfigurationView &View, const char *Key) {
      return authenticateOperator(bearer(Key), View, Bootstrap).ok();
    };
    const auto WithoutOperator = ConfigurationView::makeEmpty();
    CPPUNIT_ASSERT(Accepts(*WithoutOperator, "boot"));
    CPPUNIT_ASSERT(!Accepts(*WithoutOperator, "other"));
    CPPUNIT_ASSERT(
        !authenticateOperator(bearer(""), *WithoutOperator, "").ok());
    const auto WithOperator = makeView({{OperatorId, operatorEntry("key")}});
    CPPUNIT_ASSERT(Accepts(*WithOperator, "key"));
    CPPUNIT_ASSERT(!Accepts(*WithOperator, "boot"));
    const auto WithUnparsableOperator =
        makeView({{OperatorId, R"({"kind":"operator","name":"ana","new":1})"}});
    CPPUNIT_ASSERT(!Accepts(*WithUnparsableOperator, "boot"));
  }

private:
  static absl::StatusOr<CompletionRequest> parse(const std::string &Body) {
    const auto View =
        makeView({{{EntryKind::Deployment, "chat"},
                   R"({"kind":"deployment","name":"chat","model":"m",
                     "version":"1","contextLength":100,"vmsPerGroup":1,
                     "replicas":1,"engineChecksFencing":true,
                     "adapters":["fr"]})"}});
    return parseCompletion(Body, *View);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeParsersTest);

} // namespace fulmarwinch
