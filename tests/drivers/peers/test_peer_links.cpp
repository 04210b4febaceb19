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

/// One end that keeps what it received.
class Endpoint {
public:
  explicit Endpoint(PeerLinkOptions Options = {})
      : m_Links(Options, [this](const std::string &Bytes) {
          const std::lock_guard<std::mutex> Lock(m_Mutex);
          m_Received.insert(Bytes);
          m_Changed.notify_all();
        }) {
    CPPUNIT_ASSERT(m_Links.start().ok());
  }
  ~Endpoint() { m_Links.stop(); }
  Endpoint(const Endpoint &) = delete;
  Endpoint &operator=(const Endpoint &) = delete;

  std::string address() const {
    return "127.0.0.1:" + std::to_string(m_Links.port());
  }

  /// Waits for a message; the cap only ends a run that hangs.
  bool waitFor(const std::string &Bytes) {
    std::unique_lock<std::mutex> Lock(m_Mutex);
    return m_Changed.wait_for(Lock, std::chrono::seconds(60),
                              [&] { return m_Received.count(Bytes) != 0; });
  }

  bool has(const std::string &Bytes) {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    return m_Received.count(Bytes) != 0;
  }

private:
  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::set<std::string> m_Received;

public:
  PeerLinks m_Links;
};

} // namespace

/// Links over the loopback interface.
class PeerLinksTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerLinksTest);
  CPPUNIT_TEST(exchangesBinaryMessages);
  CPPUNIT_TEST(connectsThreeInstances);
  CPPUNIT_TEST(reconnectsAfterRestart);
  CPPUNIT_TEST(dropsWhatIsTooLarge);
  CPPUNIT_TEST(boundsTheQueueOfAnUnreachablePeer);
  CPPUNIT_TEST(reportsAnAddressInUse);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against messages that are altered or end at a zero byte.
  void exchangesBinaryMessages() {
    Endpoint First;
    Endpoint Second;
    const std::string Bytes("\0\xff\x80message", 10);
    First.m_Links.send(Second.address(), Bytes);
    CPPUNIT_ASSERT(Second.waitFor(Bytes));
    Second.m_Links.send(First.address(), "back");
    CPPUNIT_ASSERT(First.waitFor("back"));
  }

  void connectsThreeInstances() {
    Endpoint Ends[3];
    for (const Endpoint &To : Ends)
      for (Endpoint &From : Ends)
        if (&From != &To)
          From.m_Links.send(To.address(), "from " + From.address());
    for (Endpoint &To : Ends)
      for (const Endpoint &From : Ends)
        if (&From != &To)
          CPPUNIT_ASSERT(To.waitFor("from " + From.address()));
  }

  /// Guards against a link that stays closed after its peer restarted.
  void reconnectsAfterRestart() {
    Endpoint First;
    auto Second = std::make_unique<Endpoint>();
    PeerLinkOptions Options;
    Options.m_Port = Second->m_Links.port();
    const std::string Address = Second->address();
    First.m_Links.send(Address, "one");
    CPPUNIT_ASSERT(Second->waitFor("one"));
    Second.reset();
    Second = std::make_unique<Endpoint>(Options);
    // Messages into the closing link may be lost, as senders expect.
    bool IsReceived = false;
    for (int Try = 0; Try < 600 && !IsReceived; ++Try) {
      First.m_Links.send(Address, "two");
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
      IsReceived = Second->has("two");
    }
    CPPUNIT_ASSERT(IsReceived);
  }

  void dropsWhatIsTooLarge() {
    PeerLinkOptions Options;
    Options.m_MaxMessageBytes = 100;
    Endpoint First(Options);
    Endpoint Second;
    First.m_Links.send(Second.address(), std::string(101, 'a'));
    First.m_Links.send(Second.address(), std::string(100, 'a'));
    CPPUNIT_ASSERT(Second.waitFor(std::string(100, 'a')));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), First.m_Links.droppedMessages());
  }

  /// Guards against memory that grows while a peer can not be reached.
  void boundsTheQueueOfAnUnreachablePeer() {
    PeerLinkOptions Options;
    Options.m_MaxQueuedBytes = 1000;
    Endpoint First(Options);
    Endpoint Second;
    for (int Count = 0; Count < 20; ++Count)
      First.m_Links.send("127.0.0.1:1", std::string(100, 'a'));
    // Messages are handled in order, so the others were handled before.
    First.m_Links.send(Second.address(), "last");
    CPPUNIT_ASSERT(Second.waitFor("last"));
    CPPUNIT_ASSERT(First.m_Links.droppedMessages() >= 10);
  }

  void reportsAnAddressInUse() {
    Endpoint First;
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
