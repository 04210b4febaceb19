#include "drivers/http/http_client.h"

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

/// Longest time a worker sleeps when nothing happens.
constexpr int PollTimeoutMs = 1000;
/// Idle connections that one worker keeps.
constexpr long MaxKeptConnections = 256;

/// One running call of one worker.
struct Transfer {
  HttpCall m_Call;
  HttpCallId m_Id = 0;
  CURL *m_Easy = nullptr;
  curl_slist *m_HeaderList = nullptr;
  HttpHeaders m_ResponseHeaders;
  bool m_HeadersReported = false;
  /// Times that the request was about to be written to a connection.
  unsigned m_Sends = 0;

  ~Transfer() {
    curl_easy_cleanup(m_Easy);
    curl_slist_free_all(m_HeaderList);
  }

  int status() const {
    long Status = 0;
    curl_easy_getinfo(m_Easy, CURLINFO_RESPONSE_CODE, &Status);
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

/// libcurl repeats a request by itself when a kept connection ends without a
/// response. Only a GET may be repeated without the caller's knowledge: a
/// request that crashes a backend server would crash it twice.
int onBeforeSend(void *User, char *, char *, int, int) {
  auto *Running = static_cast<Transfer *>(User);
  ++Running->m_Sends;
  const bool IsRepeated = Running->m_Sends > 1;
  return IsRepeated && Running->m_Call.m_Method != "GET" ? CURL_PREREQFUNC_ABORT
                                                         : CURL_PREREQFUNC_OK;
}

std::size_t onHeaderLine(char *Data, std::size_t Size, std::size_t Count,
                         void *User) {
  auto *Running = static_cast<Transfer *>(User);
  const std::string_view Line(Data, Size * Count);
  // A status line starts a new header block, as after "100 Continue".
  if (Line.substr(0, 5) == "HTTP/")
    Running->m_ResponseHeaders.clear();
  const std::size_t Colon = Line.find(':');
  if (Colon != std::string_view::npos) {
    std::string Value(Line.substr(Colon + 1));
    absl::StripAsciiWhitespace(&Value);
    Running->m_ResponseHeaders.push_back(
        {std::string(Line.substr(0, Colon)), std::move(Value)});
  }
  return Size * Count;
}

std::size_t onBodyData(char *Data, std::size_t Size, std::size_t Count,
                       void *User) {
  auto *Running = static_cast<Transfer *>(User);
  Running->reportHeaders();
  if (Running->m_Call.m_OnData)
    Running->m_Call.m_OnData(std::string_view(Data, Size * Count));
  return Size * Count;
}

long toMilliseconds(Duration Length) {
  return static_cast<long>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Length).count());
}

void setBody(Transfer &Running) {
  if (Running.m_Call.m_Method == "GET")
    return;
  // Without this, libcurl waits for a body that a response to HEAD never has.
  if (Running.m_Call.m_Method == "HEAD") {
    curl_easy_setopt(Running.m_Easy, CURLOPT_NOBODY, 1L);
    return;
  }
  curl_easy_setopt(Running.m_Easy, CURLOPT_CUSTOMREQUEST,
                   Running.m_Call.m_Method.c_str());
  curl_easy_setopt(Running.m_Easy, CURLOPT_POSTFIELDS,
                   Running.m_Call.m_Body.data());
  curl_easy_setopt(Running.m_Easy, CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(Running.m_Call.m_Body.size()));
}

void prepare(Transfer &Running) {
  const HttpCall &Call = Running.m_Call;
  Running.m_Easy = curl_easy_init();
  // Without this, libcurl waits for "100 Continue" before large bodies.
  Running.m_HeaderList = curl_slist_append(nullptr, "Expect:");
  for (const HttpHeader &Header : Call.m_Headers)
    Running.m_HeaderList = curl_slist_append(
        Running.m_HeaderList,
        fmt::format("{}: {}", Header.m_Name, Header.m_Value).c_str());
  CURL *Easy = Running.m_Easy;
  curl_easy_setopt(Easy, CURLOPT_URL, Call.m_Url.c_str());
  curl_easy_setopt(Easy, CURLOPT_HTTPHEADER, Running.m_HeaderList);
  curl_easy_setopt(Easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Easy, CURLOPT_PROXY, "");
  curl_easy_setopt(Easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(Easy, CURLOPT_CONNECTTIMEOUT_MS,
                   toMilliseconds(Call.m_ConnectTimeout));
  curl_easy_setopt(Easy, CURLOPT_TIMEOUT_MS,
                   toMilliseconds(Call.m_TotalTimeout));
  curl_easy_setopt(Easy, CURLOPT_HEADERFUNCTION, onHeaderLine);
  curl_easy_setopt(Easy, CURLOPT_HEADERDATA, &Running);
  curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, onBodyData);
  curl_easy_setopt(Easy, CURLOPT_WRITEDATA, &Running);
  curl_easy_setopt(Easy, CURLOPT_PREREQFUNCTION, onBeforeSend);
  curl_easy_setopt(Easy, CURLOPT_PREREQDATA, &Running);
  curl_easy_setopt(Easy, CURLOPT_PRIVATE, &Running);
  if (Call.m_FreshConnection) {
    curl_easy_setopt(Easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(Easy, CURLOPT_FORBID_REUSE, 1L);
  }
  setBody(Running);
}

HttpCallResult resultOf(const Transfer &Running, CURLcode Code) {
  HttpCallResult Result;
  Result.m_Complete = Code == CURLE_OK;
  Result.m_Status = Running.status();
  if (Code != CURLE_OK)
    Result.m_Error = curl_easy_strerror(Code);
  Result.m_NothingSent = Code != CURLE_OK && Running.m_Sends == 0;
  return Result;
}

/// One thread with its multi handle. Only this thread touches the handle;
/// others queue calls and cancellations under the lock.
class Worker {
public:
  Worker() : m_Multi(curl_multi_init()) {
    curl_multi_setopt(m_Multi, CURLMOPT_MAXCONNECTS, MaxKeptConnections);
    m_Thread = std::thread([this] { run(); });
  }

  ~Worker() {
    stop();
    curl_multi_cleanup(m_Multi);
  }

  void stop() {
    m_Stopping = true;
    curl_multi_wakeup(m_Multi);
    if (m_Thread.joinable())
      m_Thread.join();
  }

  void start(std::unique_ptr<Transfer> New) {
    // The callbacks of a call that ends may start another one, which has to
    // be dropped outside the lock because it may hold the last reference.
    {
      const std::lock_guard<std::mutex> Guard(m_Mutex);
      if (!m_IsClosed)
        m_Queued.push_back(std::move(New));
    }
    curl_multi_wakeup(m_Multi);
  }

  void cancel(HttpCallId Id) {
    {
      const std::lock_guard<std::mutex> Guard(m_Mutex);
      m_Cancelled.push_back(Id);
    }
    curl_multi_wakeup(m_Multi);
  }

private:
  void run() {
    while (!m_Stopping) {
      startQueued();
      int Running = 0;
      curl_multi_perform(m_Multi, &Running);
      finishDone();
      cancelQueued();
      curl_multi_poll(m_Multi, nullptr, 0, PollTimeoutMs, nullptr);
    }
    endAll();
  }

  void startQueued() {
    std::vector<std::unique_ptr<Transfer>> New;
    {
      const std::lock_guard<std::mutex> Guard(m_Mutex);
      New.swap(m_Queued);
    }
    for (std::unique_ptr<Transfer> &Queued : New) {
      prepare(*Queued);
      curl_multi_add_handle(m_Multi, Queued->m_Easy);
      m_Running.emplace(Queued->m_Id, std::move(Queued));
    }
  }

  void finishDone() {
    int Remaining = 0;
    while (CURLMsg *Message = curl_multi_info_read(m_Multi, &Remaining)) {
      if (Message->msg != CURLMSG_DONE)
        continue;
      const CURLcode Code = Message->data.result;
      Transfer *Done = nullptr;
      curl_easy_getinfo(Message->easy_handle, CURLINFO_PRIVATE, &Done);
      end(Done->m_Id, resultOf(*Done, Code));
    }
  }

  void cancelQueued() {
    std::vector<HttpCallId> Ids;
    {
      const std::lock_guard<std::mutex> Guard(m_Mutex);
      Ids.swap(m_Cancelled);
    }
    // A call may have been queued and cancelled since the last look.
    startQueued();
    for (const HttpCallId Id : Ids)
      endCancelled(Id);
  }

  void endCancelled(HttpCallId Id) {
    const auto Found = m_Running.find(Id);
    if (Found == m_Running.end())
      return;
    HttpCallResult Result = resultOf(*Found->second, CURLE_ABORTED_BY_CALLBACK);
    Result.m_Cancelled = true;
    end(Id, Result);
  }

  void end(HttpCallId Id, const HttpCallResult &Result) {
    const auto Found = m_Running.find(Id);
    if (Found == m_Running.end())
      return;
    const std::unique_ptr<Transfer> Ended = std::move(Found->second);
    m_Running.erase(Found);
    curl_multi_remove_handle(m_Multi, Ended->m_Easy);
    if (Result.m_Complete)
      Ended->reportHeaders();
    if (Ended->m_Call.m_OnDone)
      Ended->m_Call.m_OnDone(Result);
  }

  void endAll() {
    {
      const std::lock_guard<std::mutex> Guard(m_Mutex);
      m_IsClosed = true;
    }
    startQueued();
    while (!m_Running.empty())
      endCancelled(m_Running.begin()->first);
  }

  CURLM *m_Multi;
  std::atomic<bool> m_Stopping{false};
  std::mutex m_Mutex;
  bool m_IsClosed = false;
  std::vector<std::unique_ptr<Transfer>> m_Queued;
  std::vector<HttpCallId> m_Cancelled;
  std::unordered_map<HttpCallId, std::unique_ptr<Transfer>> m_Running;
  std::thread m_Thread;
};

} // namespace

struct HttpClient::Impl {
  std::vector<std::unique_ptr<Worker>> m_Workers;
  std::atomic<HttpCallId> m_NextId{1};

  Worker &workerOf(HttpCallId Id) { return *m_Workers[Id % m_Workers.size()]; }
};

HttpClient::HttpClient(std::size_t Threads) : m_Impl(std::make_unique<Impl>()) {
  static const CURLcode Initialised = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(Initialised);
  const std::size_t Count = std::max<std::size_t>(Threads, 1);
  for (std::size_t Index = 0; Index < Count; ++Index)
    m_Impl->m_Workers.push_back(std::make_unique<Worker>());
}

HttpClient::~HttpClient() = default;

HttpCallId HttpClient::start(HttpCall Call) {
  auto New = std::make_unique<Transfer>();
  New->m_Id = m_Impl->m_NextId++;
  New->m_Call = std::move(Call);
  const HttpCallId Id = New->m_Id;
  m_Impl->workerOf(Id).start(std::move(New));
  return Id;
}

void HttpClient::stop() {
  for (const std::unique_ptr<Worker> &Each : m_Impl->m_Workers)
    Each->stop();
}

void HttpClient::cancel(HttpCallId Id) { m_Impl->workerOf(Id).cancel(Id); }

HttpClient::Response HttpClient::fetch(HttpCall Call) {
  Response Whole;
  std::promise<void> Done;
  Call.m_OnHeaders = [&Whole](int, const HttpHeaders &Headers) {
    Whole.m_Headers = Headers;
  };
  Call.m_OnData = [&Whole](std::string_view Data) { Whole.m_Body += Data; };
  Call.m_OnDone = [&Whole, &Done](const HttpCallResult &Result) {
    Whole.m_Result = Result;
    Done.set_value();
  };
  start(std::move(Call));
  Done.get_future().wait();
  return Whole;
}

} // namespace fulmarwinch
