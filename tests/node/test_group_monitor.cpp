#include "node/group_monitor.h"
#include "tests/node/http_test_client.h"
#include "tests/support/free_port.h"

#include "drivers/http/http_server.h"

#include "cppunit/extensions/HelperMacros.h"
#include "fmt/format.h"

namespace fulmarwinch {

namespace {

/// HTTP server that answers `GET /v1/state` like the engine of a ready member
/// of group g, generation 1.
class FakeEngine {
public:
  explicit FakeEngine(std::string Vm) : m_Vm(std::move(Vm)) {
    HttpServerOptions Options;
    Options.m_Port = m_Port;
    CPPUNIT_ASSERT(m_Server
                       .start(Options,
                              [](const HttpExchangePtr &Exchange) {
                                const Json State = {{"start_id", "s1"},
                                                    {"group", "g"},
                                                    {"generation", 1},
                                                    {"state", "ready"},
                                                    {"capacity", 5}};
                                Exchange->respond(
                                    jsonResponse(200, State.dump()));
                              })
                       .ok());
  }

  MonitoredMember asMember() const {
    return {m_Vm, fmt::format("127.0.0.1:{}", m_Port)};
  }
  void stop() { m_Server.stop(); }

private:
  const std::string m_Vm;
  const std::uint16_t m_Port = findFreePort();
  HttpServer m_Server;
};

NodeSettings monitorSettings() {
  NodeSettings Settings;
  Settings.m_Node = "n1";
  Settings.m_Region = "r";
  Settings.m_Zone = "z";
  Settings.m_PeerEndpoint = {"127.0.0.1", findFreePort()};
  return Settings;
}

} // namespace

class GroupMonitorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GroupMonitorTest);
  CPPUNIT_TEST(lossOfMemberWithdrawsGroup);
  CPPUNIT_TEST(tasksOfOlderEpochAreIgnored);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    m_ControlThread.start();
    runOnControlThread([this] {
      m_Peers.setChannelHandler(
          PeerChannel::Views, [this](const std::string &, const Json &Message) {
            const std::lock_guard<std::mutex> Guard(m_Mutex);
            m_PublishedView = parsePublishedView(Message).value();
          });
    });
    m_ControlThread.runPeriodically(std::chrono::milliseconds(10),
                                    [this] { m_Monitor.tick(monotonicNow()); });
    sendTasks(2, 1, {task()});
    waitFor("the group serves", [this] { return publishedView().m_Serving; });
  }

  void tearDown() override {
    m_ControlThread.stop();
    m_Client.stop();
  }

  /// Guards against a group that is published as serving while a member is
  /// missing.
  void lossOfMemberWithdrawsGroup() {
    CPPUNIT_ASSERT_EQUAL(m_HeadEngine.asMember().m_Address,
                         publishedView().m_HeadAddress);
    CPPUNIT_ASSERT_EQUAL(std::string("s1"), publishedView().m_StartId);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, publishedView().m_Capacity);
    m_MemberEngine.stop();
    waitFor("the group is withdrawn",
            [this] { return !publishedView().m_Serving; });
    CPPUNIT_ASSERT(!publishedView().m_Reason.empty());
  }

  /// Guards against tasks of a former shard holder that remove groups from the
  /// monitor or add them again.
  void tasksOfOlderEpochAreIgnored() {
    sendTasks(1, 1, {});
    sendTasks(9, 0, {});
    MonitorTask OutdatedTask = task();
    OutdatedTask.m_Holder = "old";
    sendTasks(1, 1, {OutdatedTask});
    runOnControlThread([this] { m_Monitor.tick(monotonicNow()); });
    CPPUNIT_ASSERT(publishedView().m_Serving);
    CPPUNIT_ASSERT_EQUAL(std::string("n1"), publishedView().m_Holder);
    sendTasks(2, 2, {});
    CPPUNIT_ASSERT(!publishedView().m_Serving);
  }

private:
  MonitorTask task() const {
    MonitorTask Task;
    Task.m_Group = "g";
    Task.m_Domain = "d";
    Task.m_Zone = "z";
    Task.m_Deployment = "chat";
    Task.m_Generation = 1;
    Task.m_State = GroupState::Serving;
    Task.m_Members = {m_HeadEngine.asMember(), m_MemberEngine.asMember()};
    Task.m_Holder = "n1";
    return Task;
  }

  void sendTasks(std::uint64_t Epoch, std::uint64_t Generation,
                 const std::vector<MonitorTask> &Tasks) {
    Json Rows = Json::array();
    for (const MonitorTask &Task : Tasks)
      Rows.push_back(toJson(Task));
    runOnControlThread([&] {
      m_Monitor.onTasks(
          {{"d", "d"}, {"e", Epoch}, {"n", Generation}, {"t", Rows}});
    });
  }

  /// Runs \p Task on the control thread and waits until it has ended.
  void runOnControlThread(const std::function<void()> &Task) {
    std::atomic<bool> IsDone{false};
    m_ControlThread.post([&] {
      Task();
      IsDone = true;
    });
    waitFor("the control thread runs", [&IsDone] { return IsDone.load(); });
  }

  PublishedView publishedView() {
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    return m_PublishedView;
  }

  std::mutex m_Mutex;
  PublishedView m_PublishedView;
  FakeEngine m_HeadEngine{"v1"};
  FakeEngine m_MemberEngine{"v2"};
  const NodeSettings m_Settings = monitorSettings();
  TaskThread m_ControlThread;
  Metrics m_Metrics;
  PeerService m_Peers{m_Settings, m_ControlThread, m_Metrics};
  HttpClient m_Client{1};
  EngineClient m_Engines{m_Client, m_ControlThread};
  GroupMonitor m_Monitor{m_Peers, m_Engines};
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupMonitorTest);

} // namespace fulmarwinch
