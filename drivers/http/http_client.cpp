#include "drivers/http/http_client.h"
#include "drivers/http/status_code.h"
#include "proxy/client_memory.h"
#include "proxy/socket_options.h"

#include "absl/strings/ascii.h"
#include "curl/curl.h"
#include "fmt/format.h"

#include <algorithm>
#include <atomic>
#include <future>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

namespace fulmarwinch {

namespace {

/// Longest time that a worker waits for network events in one poll.
constexpr int MaxPollMs = 1000;
/// The same while a response is not read, and its receiver has to be asked.
constexpr int MaxPausedPollMs = 20;

/// A queued or running call of a worker, with its libcurl handle.
struct Transfer {
  HttpCall m_Call;
  HttpCallId m_Id = 0;
  CURL *m_EasyHandle = nullptr;
  curl_slist *m_RequestHeaders = nullptr;
  HttpHeaders m_ResponseHeaders;
  bool m_HeadersReported = false;
  bool m_IsPaused = false;
  /// Number of times that libcurl was about to send the request.
  unsigned m_SendAttempts = 0;

  ~Transfer() {
    curl_easy_cleanup(m_EasyHandle);
    curl_slist_free_all(m_RequestHeaders);
  }

  int status() const {
    long Status = 0;
    curl_easy_getinfo(m_EasyHandle, CURLINFO_RESPONSE_CODE, &Status);
    return static_cast<int>(Status);
  }

  void reportHeaders() {
    if (m_HeadersReported)
      return;
    m_HeadersReported = true;
    if (m_Call.m_OnHeaders)
      m_Call.m_OnHeaders(status(), m_ResponseHeaders);
  }
};

/// Called by libcurl before each send. Aborts a resend, which libcurl attempts
/// when the server closes a reused connection without a response: a request
/// that crashes a backend server would crash it twice. Only a GET is resent.
int onBeforeSend(void *User, char *, char *, int, int) {
  auto *ActiveTransfer = static_cast<Transfer *>(User);
  ++ActiveTransfer->m_SendAttempts;
  const bool IsResend = ActiveTransfer->m_SendAttempts > 1;
  return IsResend && ActiveTransfer->m_Call.m_Method != "GET"
             ? CURL_PREREQFUNC_ABORT
             : CURL_PREREQFUNC_OK;
}

std::size_t onHeaderLine(char *Data, std::size_t Size, std::size_t Count,
                         void *User) {
  auto *ActiveTransfer = static_cast<Transfer *>(User);
  const std::string_view Line(Data, Size * Count);
  // Each status line starts a new header block; a final response may follow
  // an interim one such as "100 Continue".
  if (Line.substr(0, 5) == "HTTP/")
    ActiveTransfer->m_ResponseHeaders.clear();
  const std::size_t Colon = Line.find(':');
  if (Colon != std::string_view::npos) {
    std::string Value(Line.substr(Colon + 1));
    absl::StripAsciiWhitespace(&Value);
    ActiveTransfer->m_ResponseHeaders.push_back(
        {std::string(Line.substr(0, Colon)), std::move(Value)});
  }
  return Size * Count;
}

std::size_t onBodyData(char *Data, std::size_t Size, std::size_t Count,
                       void *User) {
  auto *ActiveTransfer = static_cast<Transfer *>(User);
  ActiveTransfer->reportHeaders();
  const std::function<bool()> &MayRead = ActiveTransfer->m_Call.m_MayRead;
  if (MayRead && !MayRead()) {
    // libcurl passes the same data again when the transfer goes on.
    ActiveTransfer->m_IsPaused = true;
    return CURL_WRITEFUNC_PAUSE;
  }
  if (ActiveTransfer->m_Call.m_OnData)
    ActiveTransfer->m_Call.m_OnData(std::string_view(Data, Size * Count));
  return Size * Count;
}

int onSocketCreated(void *, curl_socket_t Socket, curlsocktype) {
  setReceiveBuffer(Socket, ClientMemory::ServerReceiveBuffer);
  return CURL_SOCKOPT_OK;
}

long toMilliseconds(Duration Interval) {
  return static_cast<long>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Interval).count());
}

void setMethodAndBody(Transfer &ActiveTransfer) {
  if (ActiveTransfer.m_Call.m_Method == "GET")
    return;
  // Without CURLOPT_NOBODY, libcurl would wait for a response body, which a
  // response to HEAD never has.
  if (ActiveTransfer.m_Call.m_Method == "HEAD") {
    curl_easy_setopt(ActiveTransfer.m_EasyHandle, CURLOPT_NOBODY, 1L);
    return;
  }
  curl_easy_setopt(ActiveTransfer.m_EasyHandle, CURLOPT_CUSTOMREQUEST,
                   ActiveTransfer.m_Call.m_Method.c_str());
  curl_easy_setopt(ActiveTransfer.m_EasyHandle, CURLOPT_POSTFIELDS,
                   ActiveTransfer.m_Call.m_Body.data());
  curl_easy_setopt(
      ActiveTransfer.m_EasyHandle, CURLOPT_POSTFIELDSIZE_LARGE,
      static_cast<curl_off_t>(ActiveTransfer.m_Call.m_Body.size()));
}

void configureTransfer(Transfer &ActiveTransfer) {
  const HttpCall &Call = ActiveTransfer.m_Call;
  ActiveTransfer.m_EasyHandle = curl_easy_init();
  // An empty Expect header keeps libcurl from waiting for "100 Continue"
  // before it sends a large body.
  ActiveTransfer.m_RequestHeaders = curl_slist_append(nullptr, "Expect:");
  for (const HttpHeader &Header : Call.m_Headers)
    ActiveTransfer.m_RequestHeaders = curl_slist_append(
        ActiveTransfer.m_RequestHeaders,
        fmt::format("{}: {}", Header.m_Name, Header.m_Value).c_str());
  CURL *EasyHandle = ActiveTransfer.m_EasyHandle;
  curl_easy_setopt(EasyHandle, CURLOPT_URL, Call.m_Url.c_str());
  curl_easy_setopt(EasyHandle, CURLOPT_HTTPHEADER,
                   ActiveTransfer.m_RequestHeaders);
  curl_easy_setopt(EasyHandle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(EasyHandle, CURLOPT_PROXY, "");
  curl_easy_setopt(EasyHandle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(EasyHandle, CURLOPT_CONNECTTIMEOUT_MS,
                   toMilliseconds(Call.m_ConnectTimeout));
  curl_easy_setopt(EasyHandle, CURLOPT_TIMEOUT_MS,
                   toMilliseconds(Call.m_TotalTimeout));
  curl_easy_setopt(EasyHandle, CURLOPT_HEADERFUNCTION, onHeaderLine);
  curl_easy_setopt(EasyHandle, CURLOPT_HEADERDATA, &ActiveTransfer);
  curl_easy_setopt(EasyHandle, CURLOPT_WRITEFUNCTION, onBodyData);
  curl_easy_setopt(EasyHandle, CURLOPT_WRITEDATA, &ActiveTransfer);
  curl_easy_setopt(EasyHandle, CURLOPT_PREREQFUNCTION, onBeforeSend);
  curl_easy_setopt(EasyHandle, CURLOPT_PREREQDATA, &ActiveTransfer);
  curl_easy_setopt(EasyHandle, CURLOPT_PRIVATE, &ActiveTransfer);
  curl_easy_setopt(EasyHandle, CURLOPT_SOCKOPTFUNCTION, onSocketCreated);
  if (Call.m_UseNewConnection) {
    curl_easy_setopt(EasyHandle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(EasyHandle, CURLOPT_FORBID_REUSE, 1L);
  }
  setMethodAndBody(ActiveTransfer);
}

/// True if neither a length nor chunks nor the status ends the response.
bool isDelimitedByClose(const Transfer &ActiveTransfer) {
  constexpr int NoContent = 204;
  constexpr int NotModified = 304;
  const int Status = ActiveTransfer.status();
  const HttpHeaders &Headers = ActiveTransfer.m_ResponseHeaders;
  return Status != NoContent && Status != NotModified &&
         ActiveTransfer.m_Call.m_Method != "HEAD" &&
         !findHeader(Headers, "Content-Length") &&
         !findHeader(Headers, "Transfer-Encoding");
}

HttpCallResult makeResult(const Transfer &ActiveTransfer, CURLcode Code) {
  HttpCallResult Result;
  Result.m_Complete =
      Code == CURLE_OK && isResponseStatus(ActiveTransfer.status());
  Result.m_EndedByClose =
      Result.m_Complete && isDelimitedByClose(ActiveTransfer);
  Result.m_Status = ActiveTransfer.status();
  if (Code != CURLE_OK)
    Result.m_Error = curl_easy_strerror(Code);
  else if (!Result.m_Complete)
    Result.m_Error = "the status is not that of a response";
  Result.m_NothingSent = Code != CURLE_OK && ActiveTransfer.m_SendAttempts == 0;
  return Result;
}

/// A thread with its curl multi handle. Other threads only queue calls and
/// cancellations under the mutex and wake this thread; all other operations on
/// the handle run on this thread.
class Worker {
public:
  explicit Worker(std::size_t MaxPooledConnections)
      : m_MultiHandle(curl_multi_init()) {
    curl_multi_setopt(m_MultiHandle, CURLMOPT_MAXCONNECTS,
                      static_cast<long>(MaxPooledConnections));
    m_Thread = std::thread([this] { run(); });
  }

  ~Worker() {
    stop();
    curl_multi_cleanup(m_MultiHandle);
  }

  void stop() {
    m_Stopping = true;
    curl_multi_wakeup(m_MultiHandle);
    if (m_Thread.joinable())
      m_Thread.join();
  }

  void start(std::unique_ptr<Transfer> NewTransfer) {
    // A callback may start a call while the worker is stopping. That call is
    // discarded, and destroyed only after the mutex is unlocked: it may own the
    // last reference to an object, whose destructor must not run under it.
    {
      const std::lock_guard<std::mutex> Guard(m_Mutex);
      if (!m_IsDiscardingCalls)
        m_QueuedTransfers.push_back(std::move(NewTransfer));
    }
    curl_multi_wakeup(m_MultiHandle);
  }

  void cancel(HttpCallId Id) {
    {
      const std::lock_guard<std::mutex> Guard(m_Mutex);
      m_CancelledIds.push_back(Id);
    }
    curl_multi_wakeup(m_MultiHandle);
  }

private:
  void run() {
    while (!m_Stopping) {
      startQueued();
      int RunningCount = 0;
      curl_multi_perform(m_MultiHandle, &RunningCount);
      finishCompleted();
      processCancellations();
      const bool IsAnyPaused = resumePaused();
      curl_multi_poll(m_MultiHandle, nullptr, 0,
                      IsAnyPaused ? MaxPausedPollMs : MaxPollMs, nullptr);
    }
    cancelAll();
  }

  void startQueued() {
    std::vector<std::unique_ptr<Transfer>> NewTransfers;
    {
      const std::lock_guard<std::mutex> Guard(m_Mutex);
      NewTransfers.swap(m_QueuedTransfers);
    }
    for (std::unique_ptr<Transfer> &Queued : NewTransfers) {
      configureTransfer(*Queued);
      curl_multi_add_handle(m_MultiHandle, Queued->m_EasyHandle);
      m_ActiveTransfers.emplace(Queued->m_Id, std::move(Queued));
    }
  }

  /// Goes on with the paused transfers whose receivers allow it. Returns true
  /// if others stay paused.
  bool resumePaused() {
    bool IsAnyPaused = false;
    for (const auto &[Id, Active] : m_ActiveTransfers) {
      if (Active->m_IsPaused && Active->m_Call.m_MayRead()) {
        Active->m_IsPaused = false;
        curl_easy_pause(Active->m_EasyHandle, CURLPAUSE_CONT);
      }
      IsAnyPaused = IsAnyPaused || Active->m_IsPaused;
    }
    return IsAnyPaused;
  }

  void finishCompleted() {
    int Remaining = 0;
    while (CURLMsg *Message = curl_multi_info_read(m_MultiHandle, &Remaining)) {
      if (Message->msg != CURLMSG_DONE)
        continue;
      const CURLcode Code = Message->data.result;
      Transfer *Done = nullptr;
      curl_easy_getinfo(Message->easy_handle, CURLINFO_PRIVATE, &Done);
      endTransfer(Done->m_Id, makeResult(*Done, Code));
    }
  }

  void processCancellations() {
    std::vector<HttpCallId> Ids;
    {
      const std::lock_guard<std::mutex> Guard(m_Mutex);
      Ids.swap(m_CancelledIds);
    }
    // A call may have been both queued and cancelled since run() last started
    // the queued calls. Only a running call can be cancelled, so the queued
    // calls are started first.
    startQueued();
    for (const HttpCallId Id : Ids)
      endAsCancelled(Id);
  }

  void endAsCancelled(HttpCallId Id) {
    const auto Found = m_ActiveTransfers.find(Id);
    if (Found == m_ActiveTransfers.end())
      return;
    HttpCallResult Result =
        makeResult(*Found->second, CURLE_ABORTED_BY_CALLBACK);
    Result.m_Cancelled = true;
    endTransfer(Id, Result);
  }

  void endTransfer(HttpCallId Id, const HttpCallResult &Result) {
    const auto Found = m_ActiveTransfers.find(Id);
    if (Found == m_ActiveTransfers.end())
      return;
    const std::unique_ptr<Transfer> Ended = std::move(Found->second);
    m_ActiveTransfers.erase(Found);
    curl_multi_remove_handle(m_MultiHandle, Ended->m_EasyHandle);
    if (Result.m_Complete)
      Ended->reportHeaders();
    if (Ended->m_Call.m_OnDone)
      Ended->m_Call.m_OnDone(Result);
  }

  void cancelAll() {
    {
      const std::lock_guard<std::mutex> Guard(m_Mutex);
      m_IsDiscardingCalls = true;
    }
    startQueued();
    while (!m_ActiveTransfers.empty())
      endAsCancelled(m_ActiveTransfers.begin()->first);
  }

  CURLM *m_MultiHandle;
  std::atomic<bool> m_Stopping{false};
  std::mutex m_Mutex;
  bool m_IsDiscardingCalls = false;
  std::vector<std::unique_ptr<Transfer>> m_QueuedTransfers;
  std::vector<HttpCallId> m_CancelledIds;
  std::unordered_map<HttpCallId, std::unique_ptr<Transfer>> m_ActiveTransfers;
  std::thread m_Thread;
};

} // namespace

struct HttpClient::Impl {
  std::vector<std::unique_ptr<Worker>> m_Workers;
  std::atomic<HttpCallId> m_NextId{1};

  Worker &workerFor(HttpCallId Id) { return *m_Workers[Id % m_Workers.size()]; }
};

HttpClient::HttpClient(std::size_t Threads, std::size_t MaxPooledConnections)
    : m_Impl(std::make_unique<Impl>()) {
  static const CURLcode InitCode = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(InitCode);
  const std::size_t Count = std::max<std::size_t>(Threads, 1);
  for (std::size_t Index = 0; Index < Count; ++Index)
    m_Impl->m_Workers.push_back(std::make_unique<Worker>(MaxPooledConnections));
}

HttpClient::~HttpClient() = default;

HttpCallId HttpClient::start(HttpCall Call) {
  auto NewTransfer = std::make_unique<Transfer>();
  NewTransfer->m_Id = m_Impl->m_NextId++;
  NewTransfer->m_Call = std::move(Call);
  const HttpCallId Id = NewTransfer->m_Id;
  m_Impl->workerFor(Id).start(std::move(NewTransfer));
  return Id;
}

void HttpClient::stop() {
  for (const std::unique_ptr<Worker> &CurrentWorker : m_Impl->m_Workers)
    CurrentWorker->stop();
}

void HttpClient::cancel(HttpCallId Id) { m_Impl->workerFor(Id).cancel(Id); }

HttpClient::Response HttpClient::fetch(HttpCall Call) {
  Response Received;
  std::promise<void> Done;
  Call.m_OnHeaders = [&Received](int, const HttpHeaders &Headers) {
    Received.m_Headers = Headers;
  };
  Call.m_OnData = [&Received](std::string_view Data) {
    Received.m_Body += Data;
  };
  Call.m_OnDone = [&Received, &Done](const HttpCallResult &Result) {
    Received.m_Result = Result;
    Done.set_value();
  };
  start(std::move(Call));
  Done.get_future().wait();
  return Received;
}

} // namespace fulmarwinch
