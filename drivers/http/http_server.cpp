#include "drivers/http/http_server.h"
#include "core/error.h"
#include "core/log.h"
#include "core/metrics.h"
#include "drivers/http/status_code.h"
#include "proxy/client_guard.h"

#include "asio.hpp"
#include "fmt/format.h"

#include <atomic>
#include <future>
#include <mutex>
#include <thread>

namespace fulmarwinch {

namespace {

constexpr std::size_t MaxHeadBytes = std::size_t{64} * 1024;
constexpr Duration TickPeriod = std::chrono::milliseconds(50);
/// Longest time that stop() waits for clients to read their responses.
constexpr Duration MaxSendTimeAtStop = std::chrono::seconds(1);
constexpr Duration SendPollInterval = std::chrono::milliseconds(5);
constexpr int FirstErrorStatus = 400;

std::string_view reasonOf(int Status) {
  return Status < FirstErrorStatus ? "OK" : "Error";
}

HttpRequest toHttpRequest(ClientRequest &Request,
                          const ClientConnection &Connection) {
  HttpRequest Result;
  Result.m_Method = std::move(Request.m_Head.m_Method);
  const std::string &Target = Request.m_Head.m_Target;
  const std::size_t Question = Target.find('?');
  Result.m_Path = Target.substr(0, Question);
  if (Question != std::string::npos)
    Result.m_Query = Target.substr(Question + 1);
  Result.m_Headers = std::move(Request.m_Head.m_Headers);
  Result.m_Body = std::move(Request.m_Body->m_Bytes);
  Result.m_RemoteAddress = Connection.remoteAddress();
  return Result;
}

/// What the event loop tells the threads that write a response.
struct ResponseProgress {
  std::atomic<bool> m_IsClientGone{false};
  /// The client takes too little of the output.
  std::atomic<bool> m_IsBlocked{false};
  /// Bytes that the event loop has not passed on yet.
  std::atomic<std::size_t> m_PostedBytes{0};
};

/// Exchange for one request. Everything on the connection runs on the event
/// loop; the mutex serialises the threads that respond.
class ListenerExchange : public HttpExchange {
public:
  ListenerExchange(asio::io_context &Loop,
                   std::shared_ptr<ClientConnection> Connection,
                   ClientRequest Request, std::shared_ptr<ClientMemory> Memory,
                   MemoryReservation Held,
                   std::shared_ptr<std::atomic<std::size_t>> Count)
      : m_Loop(Loop), m_Connection(std::move(Connection)),
        m_Body(Request.m_Body),
        m_Request(toHttpRequest(Request, *m_Connection)),
        m_Memory(std::move(Memory)), m_Held(std::move(Held)),
        m_Count(std::move(Count)) {
    ++*m_Count;
    m_Connection->setOnDisconnected(
        [Progress = m_Progress] { Progress->m_IsClientGone = true; });
  }

  ~ListenerExchange() override {
    if (!m_IsResponseStarted)
      respond(jsonResponse(500, R"({"error":{"type":"internal"}})"), {});
    else
      finish();
    --*m_Count;
    // The connection is destroyed on the event loop.
    asio::post(m_Loop, [Connection = std::move(m_Connection)] {});
  }

  const HttpRequest &request() const override { return m_Request; }

  void respond(HttpResponse Response, MemoryReservation Reservation) override {
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    if (m_IsResponseStarted.exchange(true))
      return;
    // The client of a HEAD request is told the length that a GET would have.
    if (m_Request.m_Method == "HEAD" && mayHaveBody(Response.m_Status))
      Response.m_Headers.push_back(
          {"Content-Length", fmt::format("{}", Response.m_Body.size())});
    auto Body = std::make_shared<ReservedBytes>(
        ReservedBytes{std::move(Response.m_Body), std::move(Reservation)});
    asio::post(m_Loop, [Connection = m_Connection, Body,
                        Status = Response.m_Status,
                        Headers = std::move(Response.m_Headers)] {
      if (Body->m_Reservation.bytes() > 0)
        Connection->forward(Status, reasonOf(Status), Headers, std::move(*Body),
                            ResponseFraming::Delimited);
      else
        Connection->respond(Status, reasonOf(Status), Headers,
                            std::move(Body->m_Bytes));
    });
  }

  void startStream(int Status, const HttpHeaders &Headers) override {
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    if (m_IsResponseStarted.exchange(true))
      return;
    m_IsStreamOpen = true;
    asio::post(m_Loop, [Connection = m_Connection, Status, Headers] {
      Connection->beginStream(Status, reasonOf(Status), Headers,
                              ResponseFraming::Delimited);
    });
  }

  bool write(std::string Chunk) override {
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    if (!m_IsStreamOpen || m_Progress->m_IsClientGone)
      return false;
    m_Progress->m_PostedBytes += Chunk.size();
    asio::post(m_Loop, [Connection = m_Connection, Progress = m_Progress,
                        Memory = m_Memory, Chunk = std::move(Chunk)] {
      Progress->m_PostedBytes -= Chunk.size();
      if (Connection->isClosed())
        return;
      Connection->sendChunk(Chunk);
      if (Connection->waitingOutput() <= Memory->maxWaitingOutput())
        return;
      Progress->m_IsBlocked = true;
      Connection->onOutputTaken([Progress] { Progress->m_IsBlocked = false; });
    });
    return true;
  }

  bool isWritable() const override {
    return m_Progress->m_IsClientGone ||
           (!m_Progress->m_IsBlocked &&
            m_Progress->m_PostedBytes < ClientMemory::ServerReadBytes);
  }

  void finish() override {
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    if (!std::exchange(m_IsStreamOpen, false))
      return;
    asio::post(m_Loop, [Connection = m_Connection] {
      if (!Connection->isClosed())
        Connection->endStream();
    });
  }

  bool isClientGone() const override { return m_Progress->m_IsClientGone; }

  const std::shared_ptr<ClientMemory> &memory() const override {
    return m_Memory;
  }

private:
  asio::io_context &m_Loop;
  std::shared_ptr<ClientConnection> m_Connection;
  /// Memory of the body, which m_Request contains.
  std::shared_ptr<RequestBody> m_Body;
  HttpRequest m_Request;
  std::shared_ptr<ClientMemory> m_Memory;
  MemoryReservation m_Held;
  /// Number of exchanges of the server.
  std::shared_ptr<std::atomic<std::size_t>> m_Count;
  const std::shared_ptr<ResponseProgress> m_Progress =
      std::make_shared<ResponseProgress>();
  std::mutex m_Mutex;
  bool m_IsStreamOpen = false;
  std::atomic<bool> m_IsResponseStarted{false};
};

} // namespace

struct HttpServer::Impl {
  Impl(const HttpServerOptions &Options, HttpHandler Handler)
      : m_Options(Options), m_Handler(std::move(Handler)),
        m_HandlerThreads(std::max<std::size_t>(1, Options.m_Threads)),
        m_Guard(guardOptions(), m_Metrics),
        m_Listener(m_Loop, {Options.m_Address, Options.m_Port}, hooks()) {
    m_Guard.setListener(m_Listener);
    scheduleTick();
    m_LoopThread = std::thread([this] { m_Loop.run(); });
  }

  ClientGuardOptions guardOptions() {
    ClientGuardOptions Options;
    Options.m_MaxDescriptors = m_Options.m_MaxDescriptors;
    Options.m_Memory = m_Options.m_Memory;
    Options.m_CountCalls = [Count = m_ExchangeCount] { return Count->load(); };
    Options.m_OnClosed = [](const ClosedClients &Closed) {
      logLine(LogLevel::Warning, "http",
              fmt::format("closed {} connections for lack of {}: {} bytes "
                          "released, {} of {} held, {} descriptors",
                          Closed.m_Count, Closed.m_Cause,
                          Closed.m_ReleasedBytes, Closed.m_HeldBytes,
                          Closed.m_ByteLimit, Closed.m_Descriptors));
    };
    return Options;
  }

  ConnectionHooks hooks() {
    ConnectionHooks Hooks;
    Hooks.m_GetLimits = [this] {
      ClientLimits Limits;
      Limits.m_MaxHeaderBytes = MaxHeadBytes;
      Limits.m_MaxBodyBytes = m_Options.m_MaxBodyBytes;
      Limits.m_HeaderTimeout = m_Options.m_RequestReadTimeout;
      Limits.m_IdleTimeout = m_Options.m_RequestReadTimeout;
      return Limits;
    };
    Hooks.m_IsDraining = [] { return false; };
    Hooks.m_MayAccept = [this] { return m_Guard.mayAccept(); };
    Hooks.m_Memory = m_Options.m_Memory;
    Hooks.m_BodyBudget = m_Options.m_Memory->bodyBudget();
    Hooks.m_OnRefused = [this](RequestPart) {
      return m_Options.m_MakeRefusal("memory").m_Headers;
    };
    Hooks.m_OnRequest = [this](std::shared_ptr<ClientConnection> Connection,
                               ClientRequest Request) {
      onRequest(std::move(Connection), std::move(Request));
    };
    return Hooks;
  }

  void onRequest(std::shared_ptr<ClientConnection> Connection,
                 ClientRequest Request) {
    const std::string_view Shortage = m_Guard.findShortage();
    MemoryReservation Held(m_Options.m_Memory->budget());
    const std::size_t Needed =
        ClientMemory::RequestBytes +
        m_Options.m_BodyCopies * Request.m_Body->m_Bytes.size();
    const bool HasMemory =
        Shortage.empty() && m_Options.m_Memory->reserveInput(Held, Needed);
    if (!HasMemory) {
      HttpResponse Refusal = m_Options.m_MakeRefusal(
          Shortage == "no_descriptors" ? "descriptors" : "memory");
      Connection->respond(Refusal.m_Status, reasonOf(Refusal.m_Status),
                          Refusal.m_Headers, std::move(Refusal.m_Body));
      return;
    }
    const auto Exchange = std::make_shared<ListenerExchange>(
        m_Loop, std::move(Connection), std::move(Request), m_Options.m_Memory,
        std::move(Held), m_ExchangeCount);
    asio::post(m_HandlerThreads, [this, Exchange] { m_Handler(Exchange); });
  }

  void scheduleTick() {
    m_TickTimer.expires_after(TickPeriod);
    m_TickTimer.async_wait([this](const asio::error_code &Error) {
      if (Error)
        return;
      m_Guard.tick(monotonicNow());
      scheduleTick();
    });
  }

  /// Waits until what has been responded is sent, if the clients read it.
  void sendWaitingOutput() {
    const MonotonicTime Deadline = monotonicNow() + MaxSendTimeAtStop;
    bool IsWaiting = true;
    while (IsWaiting && monotonicNow() < Deadline) {
      std::promise<bool> Answer;
      asio::post(m_Loop, [this, &Answer] {
        bool IsAnyWaiting = false;
        for (const auto &Connection : m_Listener.openConnections())
          IsAnyWaiting = IsAnyWaiting || Connection->waitingOutput() > 0;
        Answer.set_value(IsAnyWaiting);
      });
      IsWaiting = Answer.get_future().get();
      if (IsWaiting)
        std::this_thread::sleep_for(SendPollInterval);
    }
  }

  void stop(const std::function<void()> &ReleaseExchanges) {
    sendWaitingOutput();
    m_Loop.stop();
    m_LoopThread.join();
    m_HandlerThreads.join();
    if (ReleaseExchanges)
      ReleaseExchanges();
  }

  const HttpServerOptions m_Options;
  const HttpHandler m_Handler;
  const std::shared_ptr<std::atomic<std::size_t>> m_ExchangeCount =
      std::make_shared<std::atomic<std::size_t>>(0);
  Metrics m_Metrics;
  asio::io_context m_Loop;
  asio::thread_pool m_HandlerThreads;
  asio::steady_timer m_TickTimer{m_Loop};
  ClientGuard m_Guard;
  HttpListener m_Listener;
  std::thread m_LoopThread;
};

HttpServer::HttpServer() = default;

HttpServer::~HttpServer() { stop(); }

absl::Status HttpServer::start(const HttpServerOptions &Options,
                               HttpHandler Handler) {
  try {
    m_Impl = std::make_unique<Impl>(Options, std::move(Handler));
  } catch (const std::exception &Error) {
    return makeError(ErrorKind::Internal,
                     fmt::format("cannot listen on {}:{}: {}",
                                 Options.m_Address, Options.m_Port,
                                 Error.what()),
                     "free the port or set another one");
  }
  return absl::OkStatus();
}

void HttpServer::stop(const std::function<void()> &ReleaseExchanges) {
  if (!m_Impl)
    return;
  m_Impl->stop(ReleaseExchanges);
  m_Impl.reset();
}

} // namespace fulmarwinch
