#include "drivers/peers/peer_links.h"

#include "cppunit/extensions/HelperMacros.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace fulmarwinch {

namespace {

/// A peer with running links that records the messages it receives.
class RecordingPeer {
public:
  explicit RecordingPeer(PeerLinkOptions Options = {})
      : m_Links(Options, [this](const std::string &Bytes) {
          const std::lock_guard<std::mutex> Lock(m_Mutex);
          m_Received.insert(Bytes);
          m_MessageReceived.notify_all();
        }) {
    CPPUNIT_ASSERT(m_Links.start().ok());
  }
  ~RecordingPeer() { m_Links.stop(); }
  RecordingPeer(const RecordingPeer &) = delete;
  RecordingPeer &operator=(const RecordingPeer &) = delete;

  std::string address() const {
    return "127.0.0.1:" + std::to_string(m_Links.port());
  }

  /// Waits until \p Bytes was received; the limit of 60 seconds only ends a run
  /// that hangs.
  bool waitUntilReceived(const std::string &Bytes) {
    std::unique_lock<std::mutex> Lock(m_Mutex);
    return m_MessageReceived.wait_for(Lock, std::chrono::seconds(60), [&] {
      return m_Received.count(Bytes) != 0;
    });
  }

  bool hasReceived(const std::string &Bytes) {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    return m_Received.count(Bytes) != 0;
  }

private:
  std::mutex m_Mutex;
  std::condition_variable m_MessageReceived;
  std::set<std::string> m_Received;

public:
  PeerLinks m_Links;
};

} // namespace

/// Tests peer links over the loopback interface.
class PeerLinksTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerLinksTest);
  CPPUNIT_TEST(deliversBinaryMessagesUnchanged);
  CPPUNIT_TEST(connectsThreePeersPairwise);
  CPPUNIT_TEST(reconnectsAfterPeerRestart);
  CPPUNIT_TEST(dropsMessageAboveSizeLimit);
  CPPUNIT_TEST(limitsQueueToUnreachablePeer);
  CPPUNIT_TEST(startFailsIfPortIsInUse);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against messages that are altered, or truncated at a zero byte.
  void deliversBinaryMessagesUnchanged() {
    RecordingPeer First;
    RecordingPeer Second;
    const std::string Bytes("\0\xff\x80message", 10);
    First.m_Links.send(Second.address(), Bytes);
    CPPUNIT_ASSERT(Second.waitUntilReceived(Bytes));
    Second.m_Links.send(First.address(), "back");
    CPPUNIT_ASSERT(First.waitUntilReceived("back"));
  }

  /// Guards against links that work only between one pair of peers or in one
  /// direction.
  void connectsThreePeersPairwise() {
    RecordingPeer Peers[3];
    for (const RecordingPeer &To : Peers)
      for (RecordingPeer &From : Peers)
        if (&From != &To)
          From.m_Links.send(To.address(), "from " + From.address());
    for (RecordingPeer &To : Peers)
      for (const RecordingPeer &From : Peers)
        if (&From != &To)
          CPPUNIT_ASSERT(To.waitUntilReceived("from " + From.address()));
  }

  /// Guards against a link that is not opened again after its peer has
  /// restarted.
  void reconnectsAfterPeerRestart() {
    RecordingPeer First;
    auto Second = std::make_unique<RecordingPeer>();
    PeerLinkOptions Options;
    Options.m_Port = Second->m_Links.port();
    const std::string Address = Second->address();
    First.m_Links.send(Address, "one");
    CPPUNIT_ASSERT(Second->waitUntilReceived("one"));
    Second.reset();
    Second = std::make_unique<RecordingPeer>(Options);
    // A message sent while the old connection closes may be lost, which
    // senders have to tolerate, so it is sent again until it arrives.
    bool IsReceived = false;
    for (int Attempt = 0; Attempt < 600 && !IsReceived; ++Attempt) {
      First.m_Links.send(Address, "two");
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
      IsReceived = Second->hasReceived("two");
    }
    CPPUNIT_ASSERT(IsReceived);
  }

  /// Guards against an oversized message that is sent, which would close the
  /// link, and against a limit that also drops messages of the allowed size.
  void dropsMessageAboveSizeLimit() {
    PeerLinkOptions Options;
    Options.m_MaxMessageBytes = 100;
    RecordingPeer First(Options);
    RecordingPeer Second;
    First.m_Links.send(Second.address(), std::string(101, 'a'));
    First.m_Links.send(Second.address(), std::string(100, 'a'));
    CPPUNIT_ASSERT(Second.waitUntilReceived(std::string(100, 'a')));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), First.m_Links.droppedMessageCount());
  }

  /// Guards against a queue that grows without limit while its peer cannot be
  /// reached.
  void limitsQueueToUnreachablePeer() {
    PeerLinkOptions Options;
    Options.m_MaxQueuedBytes = 1000;
    RecordingPeer First(Options);
    RecordingPeer Second;
    for (int Count = 0; Count < 20; ++Count)
      First.m_Links.send("127.0.0.1:1", std::string(100, 'a'));
    // send() calls are processed in order: once this message has arrived, all
    // earlier ones were either queued or dropped.
    First.m_Links.send(Second.address(), "last");
    CPPUNIT_ASSERT(Second.waitUntilReceived("last"));
    CPPUNIT_ASSERT(First.m_Links.droppedMessageCount() >= 10);
  }

  /// Guards against a port conflict that start() ignores or reports without
  /// naming the remedy.
  void startFailsIfPortIsInUse() {
    RecordingPeer First;
    PeerLinkOptions Options;
    Options.m_Port = First.m_Links.port();
    PeerLinks Second(Options, [](const std::string &) {});
    const absl::Status Status = Second.start();
    CPPUNIT_ASSERT(!Status.ok());
    CPPUNIT_ASSERT(std::string(Status.message()).find("free port") !=
                   std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerLinksTest);

} // namespace fulmarwinch
