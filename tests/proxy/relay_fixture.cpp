#include "tests/proxy/relay_fixture.h"
#include "proxy/relay_ticks.h"
#include "tests/support/free_port.h"

#include <array>
#include <fcntl.h>

namespace fulmarwinch {

using std::chrono::milliseconds;

struct ScriptedServer::Session : std::enable_shared_from_this<Session> {
  Session(asio::ip::tcp::socket Socket, ScriptedServer &Owner)
      : m_Socket(std::move(Socket)), m_Timer(m_Socket.get_executor()),
        m_Owner(Owner) {}

  void read() {
    m_Socket.async_read_some(
        asio::buffer(m_Buffer),
        [this, Self = shared_from_this()](const asio::error_code &Error,
                                          std::size_t Size) {
          if (Error) {
            m_Owner.m_EarlyDisconnects += m_HasResponded ? 1 : 0;
            return;
          }
          m_ReceivedText.append(m_Buffer.data(), Size);
          if (!m_HasResponded && isRequestComplete())
            respond();
          read();
        });
  }

  bool isRequestComplete() const {
    const std::size_t End = m_ReceivedText.find("\r\n\r\n");
    if (End == std::string::npos)
      return false;
    const std::size_t Field = m_ReceivedText.find("Content-Length: ");
    const std::size_t Length =
        Field == std::string::npos
            ? 0
            : std::stoul(m_ReceivedText.substr(Field + 16));
    return m_ReceivedText.size() >= End + 4 + Length;
  }

  void respond() {
    m_HasResponded = true;
    const std::size_t Path = m_ReceivedText.find(' ') + 1;
    const auto Fixed = m_Owner.m_FixedResponses.find(
        m_ReceivedText.substr(Path, m_ReceivedText.find(' ', Path) - Path));
    if (Fixed != m_Owner.m_FixedResponses.end()) {
      m_Response = Fixed->second;
      send();
      return;
    }
    m_Owner.m_Requests.push_back(m_ReceivedText);
    m_Owner.m_OnRequest();
    if (m_Owner.m_Responses.empty())
      return;
    m_Response = m_Owner.m_Responses.front();
    m_Owner.m_Responses.pop_front();
    m_Owner.m_OnResponseChosen();
    send();
  }

  void send() {
    asio::async_write(m_Socket, asio::buffer(m_Response.m_Bytes),
                      [this, Self = shared_from_this()](
                          const asio::error_code &, std::size_t) {
                        if (m_Response.m_EndlessBytes.empty())
                          finish();
                        else
                          sendEndless();
                      });
  }

  void sendEndless() {
    m_Timer.expires_after(m_Response.m_EndlessPause);
    m_Timer.async_wait(
        [this, Self = shared_from_this()](const asio::error_code &TimerError) {
          if (TimerError)
            return;
          asio::async_write(
              m_Socket, asio::buffer(m_Response.m_EndlessBytes),
              [this, Self](const asio::error_code &Error, std::size_t Size) {
                m_Owner.m_EndlessBytesSent += Size;
                if (!Error)
                  sendEndless();
              });
        });
  }

  void finish() {
    if (m_Response.m_ConnectionEnd == Response::ConnectionEnd::KeepOpen)
      return;
    if (m_Response.m_ConnectionEnd == Response::ConnectionEnd::Reset)
      m_Socket.set_option(asio::socket_base::linger(true, 0));
    m_HasResponded = false;
    m_Socket.close();
  }

  asio::ip::tcp::socket m_Socket;
  asio::steady_timer m_Timer;
  ScriptedServer &m_Owner;
  std::array<char, 4096> m_Buffer{};
  std::string m_ReceivedText;
  Response m_Response;
  bool m_HasResponded = false;
};

ScriptedServer::ScriptedServer(asio::io_context &Loop, std::uint16_t Port)
    : m_Acceptor(Loop, {asio::ip::make_address("127.0.0.1"), Port}) {
  accept();
}

void ScriptedServer::accept() {
  m_Acceptor.async_accept(
      [this](const asio::error_code &Error, asio::ip::tcp::socket Socket) {
        if (Error)
          return;
        std::make_shared<Session>(std::move(Socket), *this)->read();
        accept();
      });
}

namespace {

HeaderNames testHeaderNames() {
  HeaderNames Names;
  Names.m_RequestId = "X-Id";
  Names.m_DeadlineMs = "X-Left";
  Names.m_ApiKey = "X-Key";
  Names.m_Organisation = "X-Org";
  Names.m_Model = "X-Model";
  Names.m_TokenCounts = "X-Tokens";
  Names.m_PromptParts = "X-Parts";
  Names.m_ExpectedServer = "X-Server";
  Names.m_LastEventId = "Last-Event-Id";
  Names.m_NotExecuted = "X-Not-Run";
  Names.m_ServerLeaving = "X-Leaving";
  Names.m_RateLimit = "X-Limit";
  Names.m_FailedServer = "X-At";
  Names.m_ResponseDigest = "X-Digest";
  Names.m_Priority = "X-Urgency";
  return Names;
}

} // namespace

RelayFixture::RelayFixture()
    : m_Log(open("/dev/null", O_WRONLY)),
      m_Context(m_Loop, m_Log, m_Metrics, testHeaderNames(), m_Fleet,
                m_Selector, m_StallDetector) {
  m_Context.m_RetryBudgetSettings = {0.2, 20.0, std::chrono::seconds(10), {}};
  ConnectionHooks Hooks;
  Hooks.m_GetLimits = [this] { return m_ClientLimits; };
  Hooks.m_IsDraining = [] { return false; };
  Hooks.m_Memory = m_Context.m_Memory;
  Hooks.m_BodyBudget = m_BodyBudget;
  Hooks.m_OnRefused = [](RequestPart) {
    return HttpHeaders{{"Retry-After", "1"}};
  };
  Hooks.m_OnRequest = [this](std::shared_ptr<ClientConnection> Client,
                             ClientRequest Request) {
    std::make_shared<RequestRelay>(m_Context, std::move(Client),
                                   std::move(Request))
        ->start();
  };
  m_Port = findFreePort();
  m_Listener = std::make_unique<HttpListener>(
      m_Loop, Endpoint{"127.0.0.1", m_Port}, Hooks);
  const std::array<std::unique_ptr<ScriptedServer> *, 2> Servers{
      &m_FirstServer, &m_SecondServer};
  for (std::size_t I = 0; I < Servers.size(); ++I) {
    BackendServer Server;
    Server.m_Id = "s" + std::to_string(I + 1);
    Server.m_Service = "plain";
    Server.m_Zone = "a";
    Server.m_Slots = 8;
    Server.m_Endpoint = {"127.0.0.1", findFreePort()};
    Server.m_Position = ++m_Revision;
    *Servers[I] =
        std::make_unique<ScriptedServer>(m_Loop, Server.m_Endpoint.m_Port);
    m_SecondServerPort = Server.m_Endpoint.m_Port;
    m_Fleet.update(Server, monotonicNow());
  }
}

void RelayFixture::configure(RequestKind Kind, unsigned MaxAttempts,
                             bool Resumable) {
  TrafficConfiguration Configuration;
  Configuration.m_Version = 1;
  Route OnlyRoute;
  OnlyRoute.m_Name = "r";
  OnlyRoute.m_Host = "h";
  OnlyRoute.m_PathPrefix = "/";
  OnlyRoute.m_Kind = Kind;
  OnlyRoute.m_Services = {{"plain", 1}};
  OnlyRoute.m_Timeout = milliseconds(700);
  OnlyRoute.m_FirstByteObjective = milliseconds(200);
  OnlyRoute.m_MaxAttempts = MaxAttempts;
  OnlyRoute.m_Resumable = Resumable;
  Configuration.m_Routes = {OnlyRoute};
  ServiceSpec PlainService;
  PlainService.m_Name = "plain";
  Configuration.m_Services = {PlainService};
  Configuration.m_Organisations = {{"org", {"key"}, 0}};
  Configuration.m_RequiresApiKeys = true;
  m_Context.m_RouteTable =
      std::make_shared<RouteTable>(std::move(Configuration));
}

void RelayFixture::configureGroups() {
  configure(RequestKind::Streaming, 2, true);
  TrafficConfiguration Configuration = m_Context.m_RouteTable->configuration();
  EngineSpec &Engine = Configuration.m_Services.front().m_Engine;
  Engine.m_Slots = 8;
  Engine.m_DecodeStepMs = 30.0;
  Engine.m_Models = {
      {"m", 1, 1.0, 1.0, std::chrono::seconds(16), std::chrono::seconds(1)}};
  m_Context.m_RouteTable =
      std::make_shared<RouteTable>(std::move(Configuration));
  for (const std::string Id : {"s1", "s2"}) {
    BackendServer Server = *m_Fleet.find(Id);
    Server.m_Membership =
        GroupMembership{{"m.1." + Id, 1}, 0, GroupMemberState::Open};
    Server.m_Position = ++m_Revision;
    m_Fleet.update(Server, monotonicNow());
  }
}

std::string RelayFixture::formatRequestBytes(const std::string &ExtraHeaders,
                                             const std::string &Body) const {
  return "POST /a%2Fb?q=1 HTTP/1.1\r\nHost: h\r\nX-Id: 77\r\nX-Left: 2000\r\n"
         "X-Key: key\r\nX-Org: forged\r\nConnection: close\r\n" +
         ExtraHeaders + "Content-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

void RelayFixture::tickUntil(MonotonicTime Until,
                             const std::function<bool()> &Done) {
  while (monotonicNow() < Until && !Done()) {
    m_Loop.restart();
    m_Loop.run_for(milliseconds(5));
    tickActiveRequests(m_Context, monotonicNow());
  }
}

asio::ip::tcp::socket RelayFixture::connectClient() {
  asio::ip::tcp::socket Client(m_Loop);
  Client.connect(clientEndpoint());
  return Client;
}

std::string RelayFixture::request(const std::string &ExtraHeaders,
                                  const std::string &Body) {
  asio::ip::tcp::socket Client = connectClient();
  const std::string Text = formatRequestBytes(ExtraHeaders, Body);
  asio::write(Client, asio::buffer(Text));
  const std::string Received = receiveAll(Client);
  runFor(milliseconds(20));
  return Received;
}

std::string RelayFixture::receiveAll(asio::ip::tcp::socket &Client) {
  std::string Received;
  std::array<char, 4096> Buffer{};
  bool Ended = false;
  std::function<void()> Read = [&] {
    Client.async_read_some(
        asio::buffer(Buffer),
        [&](const asio::error_code &Error, std::size_t Size) {
          if (Error == asio::error::operation_aborted)
            return;
          Received.append(Buffer.data(), Size);
          Ended = static_cast<bool>(Error);
          m_WasLastConnectionClosed = Error == asio::error::eof;
          if (!Error)
            Read();
        });
  };
  Read();
  tickUntil(monotonicNow() + std::chrono::seconds(10), [&] { return Ended; });
  Client.close();
  runFor(milliseconds(1));
  m_LastReceived = Received;
  return Received;
}

bool RelayFixture::isLastResponseComplete() const {
  struct IgnoringHandler : HttpMessageHandler {
    void onHead(HttpMessageHead /*Head*/) override {}
    void onBody(std::string_view /*Bytes*/) override {}
    void onMessageEnd() override {}
  } Handler;
  constexpr std::size_t MaxHeaderBytes = std::size_t{64} * 1024;
  HttpStreamParser Parser(HttpStreamParser::Direction::Responses,
                          MaxHeaderBytes, Handler);
  Parser.parse(m_LastReceived);
  if (m_WasLastConnectionClosed)
    Parser.finish();
  return Parser.isComplete();
}

void RelayFixture::requestAndDisconnect(Duration DisconnectAfter,
                                        const std::string &ExtraHeaders) {
  asio::ip::tcp::socket Client(m_Loop);
  Client.connect(clientEndpoint());
  const std::string Text = formatRequestBytes(ExtraHeaders, "");
  asio::write(Client, asio::buffer(Text));
  runFor(DisconnectAfter);
  Client.close();
  runFor(milliseconds(100));
}

void RelayFixture::runFor(Duration Time) {
  tickUntil(monotonicNow() + Time, [] { return false; });
}

ScriptedServer::Response shortResponse(int Status, const std::string &Fields) {
  return {"HTTP/1.1 " + std::to_string(Status) +
              " Any\r\nX-Id: 77\r\nX-Digest: d\r\n" + Fields +
              "Content-Length: 4\r\n\r\nbody",
          ScriptedServer::Response::ConnectionEnd::Close};
}

void addResponses(RelayFixture &Fixture, int Count,
                  const ScriptedServer::Response &First,
                  const ScriptedServer::Response &Second) {
  for (int I = 0; I < Count; ++I) {
    Fixture.m_FirstServer->addResponse(First);
    Fixture.m_SecondServer->addResponse(Second);
  }
}

} // namespace fulmarwinch
