#include "proxy/peer_exchange.h"
#include "servers/retry/poison_codec.h"

#include "asio.hpp"

#include <array>

namespace fulmarwinch {

namespace {

constexpr std::size_t MaxDatagramBytes = 8192;
/// Records in one datagram; each takes about 150 bytes.
constexpr std::size_t MaxBlameRecords = 40;
/// Among more nodes than this, long prompts are not announced: each node would
/// receive as many messages as all of them send.
constexpr std::size_t MaxPromptPeers = 128;
/// Number of peers that one period serves.
constexpr std::size_t PeersPerPeriod = 10;

} // namespace

struct PeerExchange::Impl {
  Impl(asio::io_context &Loop, EventLog &Log, ServerSelector &Selector)
      : m_Socket(Loop), m_Timer(Loop), m_Log(Log), m_Selector(Selector) {}

  struct Peer {
    PeerAddress m_Address;
    MonotonicTime m_HeardAt{};
    bool m_Alive = false;
  };

  Duration period() const {
    return m_Settings.m_Period *
           static_cast<std::int64_t>(1 + m_Peers.size() / PeersPerPeriod);
  }

  void arm() {
    m_Timer.expires_after(period());
    m_Timer.async_wait([this](const asio::error_code &Error) {
      if (Error)
        return;
      sendLoad();
      arm();
    });
  }

  void sendLoad() {
    const MonotonicTime Now = monotonicNow();
    Json Load = Json::object();
    for (const auto &[Server, Count] : m_Selector.ownLoads())
      Load[Server] = Count;
    broadcast(Json{{"node", m_Node}, {"load", std::move(Load)}});
    for (auto &[Name, Each] : m_Peers) {
      if (Each.m_Alive &&
          Now - Each.m_HeardAt > period() * m_Settings.m_SilentPeriods) {
        Each.m_Alive = false;
        m_Selector.forgetPeer(Name, Now);
        m_Log.write("peer_lost", {{"peer", Name}});
      }
    }
  }

  void send(const std::vector<std::uint8_t> &Bytes, const Peer &To) {
    const Endpoint &Place = To.m_Address.m_Endpoint;
    asio::error_code Error;
    const asio::ip::address Address = asio::ip::make_address(Place.m_Ip, Error);
    // A datagram may be lost anyway; the next one repeats what it said.
    if (!Error)
      m_Socket.send_to(asio::buffer(Bytes),
                       asio::ip::udp::endpoint(Address, Place.m_Port), 0,
                       Error);
  }

  void broadcast(const Json &Message) {
    const std::vector<std::uint8_t> Bytes = Json::to_cbor(Message);
    for (const auto &[Name, Each] : m_Peers)
      send(Bytes, Each);
  }

  bool isLive(const Peer &Each, MonotonicTime Now) const {
    return Each.m_Alive &&
           Now - Each.m_HeardAt <= period() * m_Settings.m_SilentPeriods;
  }

  /// Names of the own node and of the live peers that \p Matches.
  template <typename Predicate>
  std::vector<std::string> liveNames(MonotonicTime Now,
                                     const Predicate &Matches) const {
    std::vector<std::string> Names{m_Node};
    for (const auto &[Name, Each] : m_Peers)
      if (isLive(Each, Now) && Matches(Each))
        Names.push_back(Name);
    std::sort(Names.begin(), Names.end());
    return Names;
  }

  void receive() {
    m_Socket.async_receive_from(
        asio::buffer(m_Buffer), m_Sender,
        [this](const asio::error_code &Error, std::size_t Size) {
          if (Error == asio::error::operation_aborted)
            return;
          if (!Error)
            onDatagram(Size);
          receive();
        });
  }

  void onDatagram(std::size_t Size) {
    const Json Message =
        Json::from_cbor(m_Buffer.begin(), m_Buffer.begin() + Size, true, false);
    const std::string Name = memberOr(Message, "node", std::string());
    const auto Known = m_Peers.find(Name);
    if (Known == m_Peers.end())
      return;
    Peer &From = Known->second;
    if (!From.m_Alive)
      m_Log.write("peer_heard", {{"peer", Name}});
    From.m_Alive = true;
    From.m_HeardAt = monotonicNow();
    if (Message.contains("load"))
      m_Selector.setPeerLoad(
          Name, memberOr(Message, "load", std::map<std::string, unsigned>()));
    if (Message.contains("prompt"))
      m_Selector.onPromptSent(
          memberOr(Message, "prompt", std::string()),
          std::chrono::microseconds(memberOr(Message, "us", std::int64_t{0})),
          From.m_HeardAt);
    if (Message.contains("feed"))
      m_OnFeed(Message["feed"]);
    if (Message.contains("blame"))
      m_OnBlame(parsePoisonRecords(Message["blame"]));
    if (Message.contains("stalled"))
      m_OnNotice({memberOr(Message, "stalled", std::string()),
                  {memberOr(Message, "group", std::string()),
                   memberOr(Message, "epoch", std::uint64_t{0})},
                  memberOr(Message, "confirmed", false)});
  }

  asio::ip::udp::socket m_Socket;
  asio::steady_timer m_Timer;
  EventLog &m_Log;
  ServerSelector &m_Selector;
  std::string m_Node;
  PeerAddress m_Own;
  PeerExchangeSettings m_Settings;
  NoticeHandler m_OnNotice;
  BlameHandler m_OnBlame;
  FeedHandler m_OnFeed;
  std::map<std::string, Peer> m_Peers;
  asio::ip::udp::endpoint m_Sender;
  std::array<std::uint8_t, MaxDatagramBytes> m_Buffer{};
};

PeerExchange::PeerExchange(asio::io_context &Loop, EventLog &Log,
                           ServerSelector &Selector, std::string Node,
                           const PeerAddress &Own,
                           const PeerExchangeSettings &Settings)
    : m_Impl(std::make_unique<Impl>(Loop, Log, Selector)) {
  m_Impl->m_Node = std::move(Node);
  m_Impl->m_Own = Own;
  m_Impl->m_Settings = Settings;
}

PeerExchange::~PeerExchange() = default;

void PeerExchange::start(NoticeHandler OnNotice, BlameHandler OnBlame,
                         FeedHandler OnFeed) {
  m_Impl->m_OnNotice = std::move(OnNotice);
  m_Impl->m_OnBlame = std::move(OnBlame);
  m_Impl->m_OnFeed = std::move(OnFeed);
  const Endpoint &Place = m_Impl->m_Own.m_Endpoint;
  const asio::ip::udp::endpoint Own(asio::ip::make_address(Place.m_Ip),
                                    Place.m_Port);
  m_Impl->m_Socket.open(asio::ip::udp::v4());
  m_Impl->m_Socket.bind(Own);
  m_Impl->m_Socket.non_blocking(true);
  m_Impl->receive();
  m_Impl->arm();
}

void PeerExchange::setPeers(std::map<std::string, PeerAddress> Peers) {
  std::map<std::string, Impl::Peer> Old;
  Old.swap(m_Impl->m_Peers);
  for (auto &[Name, Address] : Peers) {
    if (Name == m_Impl->m_Node)
      continue;
    const auto Known = Old.find(Name);
    Impl::Peer Entry;
    if (Known != Old.end() &&
        Known->second.m_Address.m_Endpoint == Address.m_Endpoint)
      Entry = Known->second;
    Entry.m_Address = Address;
    m_Impl->m_Peers[Name] = Entry;
  }
  for (const auto &[Name, Entry] : Old)
    if (m_Impl->m_Peers.count(Name) == 0)
      m_Impl->m_Selector.forgetPeer(Name, monotonicNow());
}

void PeerExchange::announce(const StallNotice &Notice) {
  m_Impl->broadcast(Json{{"node", m_Impl->m_Node},
                         {"stalled", Notice.m_Head},
                         {"group", Notice.m_Group.m_Name},
                         {"epoch", Notice.m_Group.m_Epoch},
                         {"confirmed", Notice.m_Confirmed}});
}

void PeerExchange::announce(std::vector<PoisonRecord> Records) {
  if (Records.size() > MaxBlameRecords)
    Records.resize(MaxBlameRecords);
  m_Impl->broadcast(Json{{"node", m_Impl->m_Node}, {"blame", toJson(Records)}});
}

void PeerExchange::sendToZone(const Json &Feed) {
  const std::vector<std::uint8_t> Bytes =
      Json::to_cbor(Json{{"node", m_Impl->m_Node}, {"feed", Feed}});
  for (const auto &[Name, Each] : m_Impl->m_Peers)
    if (Each.m_Address.m_Zone == m_Impl->m_Own.m_Zone)
      m_Impl->send(Bytes, Each);
}

void PeerExchange::announcePrompt(const std::string &Server, Duration Work) {
  if (m_Impl->m_Peers.size() > MaxPromptPeers)
    return;
  const auto Us =
      std::chrono::duration_cast<std::chrono::microseconds>(Work).count();
  m_Impl->broadcast(
      Json{{"node", m_Impl->m_Node}, {"prompt", Server}, {"us", Us}});
}

std::vector<std::string> PeerExchange::liveNodes(MonotonicTime Now) const {
  return m_Impl->liveNames(Now, [](const Impl::Peer &) { return true; });
}

std::vector<std::string> PeerExchange::liveZoneNodes(MonotonicTime Now) const {
  return m_Impl->liveNames(Now, [this](const Impl::Peer &Each) {
    return Each.m_Address.m_Zone == m_Impl->m_Own.m_Zone;
  });
}

} // namespace fulmarwinch
