#include "servers/dispatch/server_selector.h"

#include "cppunit/extensions/HelperMacros.h"

#include <cmath>

namespace fulmarwinch {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Servers that become several times slower than their peers for some seconds.
class ServerSpeedTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServerSpeedTest);
  CPPUNIT_TEST(slowServerIsFoundAndRecovers);
  CPPUNIT_TEST(oneLateEventDoesNotDecide);
  CPPUNIT_TEST(expectedQueueIsNoSlowness);
  CPPUNIT_TEST(loadOfAllServersIsNoSlowness);
  CPPUNIT_TEST(missingFirstEventCounts);
  CPPUNIT_TEST(peersPoolWhatTheySee);
  CPPUNIT_TEST(samplesOfPeersRefuteAWrongReport);
  CPPUNIT_TEST(reportsOfLostPeersExpire);
  CPPUNIT_TEST(newProcessIsNotSlow);
  CPPUNIT_TEST(slowServerGetsWorkInProportionToItsSpeed);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Duration Usual = milliseconds(100);

  MonotonicTime m_Now{seconds(1000)};

  static ChosenServer chosen(const std::string &Id) {
    ChosenServer Server;
    Server.m_Id = Id;
    Server.m_StartedAtMs = 5;
    return Server;
  }

  static BackendServer entry(const std::string &Id,
                             std::int64_t StartedAtMs = 5) {
    BackendServer Server;
    Server.m_Id = Id;
    Server.m_StartedAtMs = StartedAtMs;
    Server.m_Service = "plain";
    return Server;
  }

  /// One request whose first event comes after \p Observed.
  void serve(ServerSpeed &Speed, const std::string &Id, Duration Observed,
             Duration Expected = Usual) {
    FirstEventWait Wait =
        Speed.beginWait("plain/r", Expected, m_Now - Observed);
    Speed.onFirstEvent(Wait, chosen(Id), m_Now);
  }

  /// Requests on ten servers at the usual speed within a second.
  void serveUsually(ServerSpeed &Speed, Duration Observed = Usual,
                    Duration Expected = Usual) {
    for (int I = 0; I < 10; ++I) {
      m_Now += milliseconds(100);
      serve(Speed, "s" + std::to_string(I), Observed, Expected);
    }
  }

  double slowness(ServerSpeed &Speed, const std::string &Id) {
    m_Now += milliseconds(60);
    Speed.refresh(m_Now);
    return Speed.slowness(entry(Id));
  }

  /// Guards against a server that is four times slower and is treated as an
  /// equal of the others until it fails, and against one that gets no work for
  /// long after it has recovered.
  void slowServerIsFoundAndRecovers() {
    ServerSpeed Speed;
    serveUsually(Speed);
    CPPUNIT_ASSERT_EQUAL(1.0, slowness(Speed, "s3"));
    for (int I = 0; I < 3; ++I)
      serve(Speed, "s3", Usual * 4);
    const double Slowness = slowness(Speed, "s3");
    CPPUNIT_ASSERT(Slowness > 2.0 && Slowness < 4.0);
    CPPUNIT_ASSERT_EQUAL(1.0, slowness(Speed, "s4"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Speed.takeChanges().size());
    // It has recovered, as few requests show.
    m_Now += seconds(1);
    for (int I = 0; I < 3; ++I)
      serve(Speed, "s3", Usual);
    CPPUNIT_ASSERT_EQUAL(1.0, slowness(Speed, "s3"));
    CPPUNIT_ASSERT_EQUAL(1.0, Speed.takeChanges().front().m_Slowness);
    // Without any request the information expires.
    for (int I = 0; I < 3; ++I)
      serve(Speed, "s5", Usual * 12);
    CPPUNIT_ASSERT(slowness(Speed, "s5") > 4.0);
    m_Now += seconds(6);
    CPPUNIT_ASSERT_EQUAL(1.0, slowness(Speed, "s5"));
  }

  /// Guards against a server that gets little work because of one late event.
  void oneLateEventDoesNotDecide() {
    ServerSpeed Speed;
    serveUsually(Speed);
    m_Now += seconds(8);
    serve(Speed, "s3", Usual * 30);
    CPPUNIT_ASSERT_EQUAL(1.0, slowness(Speed, "s3"));
  }

  /// Guards against a long queue that is taken for a slow server although the
  /// estimate explains it.
  void expectedQueueIsNoSlowness() {
    ServerSpeed Speed;
    serveUsually(Speed);
    for (int I = 0; I < 5; ++I)
      serve(Speed, "s3", Usual * 8, Usual * 8);
    CPPUNIT_ASSERT_EQUAL(1.0, slowness(Speed, "s3"));
  }

  /// All servers are late because of the load. Guards against servers that
  /// count as slow for that: the service would refuse requests.
  void loadOfAllServersIsNoSlowness() {
    ServerSpeed Speed;
    serveUsually(Speed);
    m_Now += seconds(4);
    for (int I = 0; I < 4; ++I)
      serveUsually(Speed, Usual * 5);
    CPPUNIT_ASSERT(!Speed.hasSlowServers());
  }

  /// Guards against a server that is noticed only when its first event comes,
  /// after more than a second.
  void missingFirstEventCounts() {
    ServerSpeed Speed;
    serveUsually(Speed);
    FirstEventWait First = Speed.beginWait("plain/r", Usual, m_Now);
    FirstEventWait Second = Speed.beginWait("plain/r", Usual, m_Now);
    m_Now += milliseconds(300);
    Speed.onStillWaiting(First, chosen("s3"), m_Now);
    CPPUNIT_ASSERT_EQUAL(0.0, First.m_Recorded);
    m_Now += milliseconds(300);
    for (FirstEventWait *Wait : {&First, &Second, &First, &Second})
      Speed.onStillWaiting(*Wait, chosen("s3"), m_Now);
    const double Overdue = slowness(Speed, "s3");
    CPPUNIT_ASSERT(Overdue >= 2.0 && Overdue <= 4.0);
    m_Now += milliseconds(600);
    Speed.onFirstEvent(First, chosen("s3"), m_Now);
    Speed.onFirstEvent(Second, chosen("s3"), m_Now);
    CPPUNIT_ASSERT(slowness(Speed, "s3") > Overdue);
  }

  /// Each node has one sample of a server within some seconds. Guards against a
  /// slow server that no single node can find.
  void peersPoolWhatTheySee() {
    ServerSpeed Receiver;
    for (int Peer = 0; Peer < 3; ++Peer) {
      ServerSpeed Sender;
      serveUsually(Sender);
      m_Now += seconds(1);
      CPPUNIT_ASSERT(Sender.ownReport(m_Now).empty());
      serve(Sender, "s3", Usual * 12);
      const ServerSpeed::Report Report = Sender.ownReport(m_Now);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Report.size());
      CPPUNIT_ASSERT_EQUAL(std::string("s3"), Report.begin()->first);
      Receiver.setPeerReport("n" + std::to_string(Peer), Report, m_Now);
    }
    CPPUNIT_ASSERT(slowness(Receiver, "s3") > 2.0);
    // A report replaces the one before.
    for (int Peer = 0; Peer < 3; ++Peer)
      Receiver.setPeerReport("n" + std::to_string(Peer), {}, m_Now);
    CPPUNIT_ASSERT_EQUAL(1.0, slowness(Receiver, "s3"));
  }

  /// Guards against a few late events at some nodes that make a server count as
  /// slow for all, although others see it at its usual speed.
  void samplesOfPeersRefuteAWrongReport() {
    ServerSpeed Receiver;
    Receiver.setPeerReport("n1", {{"s3", {400, 20}}}, m_Now);
    CPPUNIT_ASSERT(slowness(Receiver, "s3") > 2.0);
    ServerSpeed Other;
    serveUsually(Other);
    CPPUNIT_ASSERT(Other.ownReport(m_Now).empty());
    Other.setPeerReport("n1", {{"s3", {400, 20}}}, m_Now);
    for (int I = 0; I < 3; ++I)
      serve(Other, "s3", Usual);
    Receiver.setPeerReport("n2", Other.ownReport(m_Now), m_Now);
    CPPUNIT_ASSERT_EQUAL(1.0, slowness(Receiver, "s3"));
  }

  /// The links between nodes fail. Guards against reports that are used for
  /// ever, and against those of a peer that has left.
  void reportsOfLostPeersExpire() {
    ServerSpeed Speed;
    Speed.setPeerReport("n1", {{"s3", {400, 30}}}, m_Now);
    Speed.setPeerReport("n2", {{"s4", {400, 30}}}, m_Now);
    CPPUNIT_ASSERT(slowness(Speed, "s3") > 2.0);
    Speed.removePeer("n1");
    CPPUNIT_ASSERT_EQUAL(1.0, slowness(Speed, "s3"));
    CPPUNIT_ASSERT(slowness(Speed, "s4") > 2.0);
    m_Now += seconds(4);
    CPPUNIT_ASSERT_EQUAL(1.0, slowness(Speed, "s4"));
  }

  /// Guards against a server that has restarted and gets little work because of
  /// the process before.
  void newProcessIsNotSlow() {
    ServerSpeed Speed;
    serveUsually(Speed);
    for (int I = 0; I < 4; ++I)
      serve(Speed, "s3", Usual * 6);
    CPPUNIT_ASSERT(slowness(Speed, "s3") > 2.0);
    CPPUNIT_ASSERT_EQUAL(1.0, Speed.slowness(entry("s3", 6)));
  }

  /// Guards against a slow server that gets as much work as the others, or none
  /// at all: its recovery would not be noticed.
  void slowServerGetsWorkInProportionToItsSpeed() {
    ServerSelector Selector;
    FleetView Fleet;
    std::uint64_t Revision = 0;
    for (int I = 0; I < 10; ++I) {
      BackendServer Server = entry("s" + std::to_string(I));
      Server.m_Slots = 20;
      Server.m_Position = ++Revision;
      Fleet.update(Server, m_Now);
    }
    Selector.speed().setPeerReport("n1", {{"s3", {400, 30}}}, m_Now);
    ServiceSpec Service;
    Service.m_Name = "plain";
    ServerQuery Query;
    Query.m_Service = &Service;
    Query.m_Now = m_Now;
    constexpr int Requests = 100;
    for (int I = 0; I < Requests; ++I) {
      Query.m_RandomDraw = std::fmod(I * 0.6180339887, 1.0);
      const auto Server = Selector.choose(Fleet, Query);
      CPPUNIT_ASSERT(Server);
      Selector.onDispatched(Server->m_Id, m_Now);
    }
    CPPUNIT_ASSERT(Selector.ownInFlight("s3") >= 1);
    CPPUNIT_ASSERT(Selector.ownInFlight("s3") <= 5);
    // It counts as full at a quarter of its slots, unless all are slow.
    for (int I = 0; I < 5; ++I)
      Selector.onDispatched("s3", m_Now);
    for (int I = 0; I < 10; ++I) {
      Query.m_RandomDraw = I / 10.0 + 0.0999;
      CPPUNIT_ASSERT(Selector.choose(Fleet, Query)->m_Id != "s3");
    }
    ServerSpeed::Report AllSlow;
    for (int I = 0; I < 10; ++I)
      AllSlow["s" + std::to_string(I)] = {400, 30};
    Selector.speed().setPeerReport("n1", AllSlow, m_Now);
    Query.m_Now += milliseconds(60);
    Query.m_RandomDraw = 0.0;
    CPPUNIT_ASSERT(Selector.choose(Fleet, Query));
    Service.m_Name = "without_servers";
    CPPUNIT_ASSERT(!Selector.choose(Fleet, Query));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerSpeedTest);

} // namespace fulmarwinch
