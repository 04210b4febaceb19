#include "drivers/http/http_server.h"
#include "core/error.h"
#include "drivers/http/status_code.h"

#include "fmt/format.h"
#include "restinio/all.hpp"

#include <atomic>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace fulmarwinch {

namespace {

/// Limits on the URL and the header fields of a request. RESTinio closes the
/// connection without a response when a request exceeds one of them.
constexpr std::size_t MaxUrlBytes = 8U << 10U;
constexpr std::size_t MaxFieldNameBytes = 256;
constexpr std::size_t MaxFieldValueBytes = 8U << 10U;
constexpr std::size_t MaxFieldCount = 64;

/// Stores one flag per open connection, shared by all exchanges of the
/// connection. It is set when the connection closes, so that work for a
/// disconnected client can stop before the next write to it fails.
class ConnectionTracker {
public:
  using ClosedFlag = std::shared_ptr<std::atomic<bool>>;

  /// Returns the flag that is set when the connection \p Id closes.
  ClosedFlag closedFlagFor(restinio::connection_id_t Id) {
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    const auto Found = m_ClosedFlags.find(Id);
    // A connection that is not found has closed since its request was read, so
    // the flag is returned already set.
    return Found == m_ClosedFlags.end()
               ? std::make_shared<std::atomic<bool>>(true)
               : Found->second;
  }

  /// Called by RESTinio when a connection is accepted, closed or upgraded.
  void
  // RESTinio requires this name. NOLINTNEXTLINE(readability-identifier-naming)
  state_changed(const restinio::connection_state::notice_t &Notice) noexcept {
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    const restinio::connection_id_t Id = Notice.connection_id();
    if (restinio::holds_alternative<restinio::connection_state::accepted_t>(
            Notice.cause())) {
      m_ClosedFlags[Id] = std::make_shared<std::atomic<bool>>(false);
      return;
    }
    const auto Found = m_ClosedFlags.find(Id);
    if (Found == m_ClosedFlags.end())
      return;
    *Found->second = true;
    m_ClosedFlags.erase(Found);
  }

private:
  std::mutex m_Mutex;
  std::unordered_map<restinio::connection_id_t, ClosedFlag> m_ClosedFlags;
};

struct ServerTraits : public restinio::default_traits_t {
  using connection_state_listener_t = ConnectionTracker;
};

using ChunkedResponseBuilder =
    restinio::response_builder_t<restinio::chunked_output_t>;

HttpRequest toHttpRequest(const restinio::request_t &Request) {
  HttpRequest Result;
  Result.m_Method = Request.header().method().c_str();
  Result.m_Path = std::string(Request.header().path());
  Result.m_Query = std::string(Request.header().query());
  Request.header().for_each_field(
      [&Result](const restinio::http_header_field_t &Field) {
        Result.m_Headers.push_back({Field.name(), Field.value()});
      });
  Result.m_Body = Request.body();
  Result.m_RemoteAddress = Request.remote_endpoint().address().to_string();
  return Result;
}

restinio::http_status_line_t makeStatusLine(int Status) {
  return {restinio::http_status_code_t{static_cast<std::uint16_t>(Status)},
          Status < 400 ? "OK" : "Error"};
}

/// Exchange for one RESTinio request. The mutex serialises access to the
/// response builder because one thread may write chunks while another ends the
/// response.
class RestinioExchange : public HttpExchange {
public:
  RestinioExchange(restinio::request_handle_t Handle,
                   ConnectionTracker::ClosedFlag IsClientGone)
      : m_Handle(std::move(Handle)), m_Request(toHttpRequest(*m_Handle)),
        m_IsClientGone(std::move(IsClientGone)) {}

  ~RestinioExchange() override {
    if (!m_IsResponseStarted)
      respond(jsonResponse(500, R"({"error":{"type":"internal"}})"));
    else
      finish();
  }

  const HttpRequest &request() const override { return m_Request; }

  void respond(HttpResponse Response) override {
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    if (m_IsResponseStarted)
      return;
    m_IsResponseStarted = true;
    if (m_Request.m_Method == "HEAD" || !mayHaveBody(Response.m_Status)) {
      respondWithHead(Response);
      return;
    }
    auto Builder = m_Handle->create_response(makeStatusLine(Response.m_Status));
    for (const HttpHeader &Header : Response.m_Headers)
      Builder.append_header(Header.m_Name, Header.m_Value);
    Builder.set_body(std::move(Response.m_Body));
    Builder.done();
  }

  void startStream(int Status, const HttpHeaders &Headers) override {
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    if (m_IsResponseStarted)
      return;
    m_IsResponseStarted = true;
    m_StreamBuilder.emplace(
        m_Handle->create_response<restinio::chunked_output_t>(
            makeStatusLine(Status)));
    for (const HttpHeader &Header : Headers)
      m_StreamBuilder->append_header(Header.m_Name, Header.m_Value);
    m_StreamBuilder->flush();
  }

  bool write(std::string Chunk) override {
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    if (!m_StreamBuilder || *m_IsClientGone)
      return false;
    m_StreamBuilder->append_chunk(std::move(Chunk));
    m_StreamBuilder->flush(
        [IsClientGone = m_IsClientGone](const asio::error_code &Error) {
          if (Error)
            *IsClientGone = true;
        });
    return true;
  }

  void finish() override {
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    if (!m_StreamBuilder)
      return;
    m_StreamBuilder->done();
    m_StreamBuilder.reset();
  }

  bool isClientGone() const override { return *m_IsClientGone; }

private:
  /// Sends a response that ends with its head. The client would read further
  /// bytes as the next response.
  void respondWithHead(const HttpResponse &Response) {
    auto Builder =
        m_Handle->create_response<restinio::user_controlled_output_t>(
            makeStatusLine(Response.m_Status));
    for (const HttpHeader &Header : Response.m_Headers)
      Builder.append_header(Header.m_Name, Header.m_Value);
    if (mayHaveBody(Response.m_Status))
      Builder.set_content_length(Response.m_Body.size());
    Builder.done();
  }

  restinio::request_handle_t m_Handle;
  HttpRequest m_Request;
  std::mutex m_Mutex;
  std::optional<ChunkedResponseBuilder> m_StreamBuilder;
  std::atomic<bool> m_IsResponseStarted{false};
  const ConnectionTracker::ClosedFlag m_IsClientGone;
};

} // namespace

struct HttpServer::Impl {
  restinio::running_server_handle_t<ServerTraits> m_Server;
};

HttpServer::HttpServer() : m_Impl(std::make_unique<Impl>()) {}

HttpServer::~HttpServer() { stop(); }

absl::Status HttpServer::start(const HttpServerOptions &Options,
                               HttpHandler Handler) {
  const auto Tracker = std::make_shared<ConnectionTracker>();
  restinio::server_settings_t<ServerTraits> Settings;
  Settings.address(Options.m_Address)
      .port(Options.m_Port)
      .read_next_http_message_timelimit(Options.m_RequestReadTimeout)
      .handle_request_timeout(Options.m_ResponseTimeout)
      .write_http_response_timelimit(Options.m_ResponseTimeout)
      .max_pipelined_requests(4)
      // Nagle's algorithm would delay each small chunk of a stream until the
      // client's delayed acknowledgement, 40 ms on Linux.
      .socket_options_setter([](restinio::socket_options_t &Socket) {
        Socket.set_option(restinio::asio_ns::ip::tcp::no_delay(true));
      })
      .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                    .max_body_size(Options.m_MaxBodyBytes)
                                    .max_url_size(MaxUrlBytes)
                                    .max_field_name_size(MaxFieldNameBytes)
                                    .max_field_value_size(MaxFieldValueBytes)
                                    .max_field_count(MaxFieldCount))
      .connection_state_listener(Tracker)
      .request_handler([Tracker, Handler = std::move(Handler)](
                           restinio::request_handle_t Request) {
        const ConnectionTracker::ClosedFlag IsClientGone =
            Tracker->closedFlagFor(Request->connection_id());
        Handler(std::make_shared<RestinioExchange>(std::move(Request),
                                                   IsClientGone));
        return restinio::request_accepted();
      });
  try {
    m_Impl->m_Server = restinio::run_async<ServerTraits>(
        restinio::own_io_context(), std::move(Settings), Options.m_Threads);
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
  if (!m_Impl->m_Server)
    return;
  m_Impl->m_Server->stop();
  m_Impl->m_Server->wait();
  if (ReleaseExchanges)
    ReleaseExchanges();
  m_Impl->m_Server.reset();
}

} // namespace fulmarwinch
