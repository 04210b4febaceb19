#include "proxy/peer_exchange.h"
#include "servers/dispatch/rate_limit_codec.h"
#include "servers/retry/poison_codec.h"

#include "asio.hpp"

#include <array>
#include <random>
#include <utility>

namespace fulmarwinch {

namespace {

constexpr std::size_t MaxDatagramBytes = 8192;
/// Maximum encoded size of the crash records in one datagram. The rest is for
/// the name and the clock of the node.
constexpr std::size_t MaxCrashRecordBytes = MaxDatagramBytes - 512;
/// Maximum number of peers up to which long prompts are announced, because each
/// node would receive the announcements of all others.
constexpr std::size_t MaxPromptPeers = 128;
/// The period of load messages grows by one base period for each group of this
/// many peers.
constexpr std::size_t PeersPerBasePeriod = 10;

} // namespace

struct PeerExchange::Impl {
  Impl(asio::io_context &Loop, EventLog &Log, ServerSelector &Selector)
      : m_Socket(Loop), m_LoadTimer(Loop), m_Log(Log), m_Selector(Selector) {}

  struct Peer {
    PeerAddress m_Address;
    MonotonicTime m_LastHeardAt{};
    bool m_IsAlive = false;
    MessageDelay m_Delay;
  };

  /// Returns an empty message with the name and the clock of this node.
  Json newMessage() const {
    return {{"node", m_NodeName},
            {"process", m_Process},
            {"sent_us", monotonicNow().time_since_epoch().count()}};
  }

  Json crashMessage(std::vector<PoisonRecord> Records) const {
    keepMostRelevant(Records, MaxCrashRecordBytes);
    Json Message = newMessage();
    Message["blame"] = toJson(Records);
    return Message;
  }

  Duration period() const {
    return m_Settings.m_LoadPeriod *
           static_cast<std::int64_t>(1 + m_Peers.size() / PeersPerBasePeriod);
  }

  void scheduleLoadMessage() {
    m_LoadTimer.expires_after(period());
    m_LoadTimer.async_wait([this](const asio::error_code &Error) {
      if (Error)
        return;
      sendLoad();
      scheduleLoadMessage();
    });
  }

  void sendLoad() {
    const MonotonicTime Now = monotonicNow();
    Json Load = Json::object();
    for (const auto &[Server, Count] : m_Selector.ownInFlightByServer())
      Load[Server] = Count;
    Json Servers = Json::object();
    Servers["load"] = std::move(Load);
    const ServerSpeed::Report Slow = m_Selector.speed().ownReport(Now);
    if (m_Selector.estimatesPlacement() && !Slow.empty())
      Servers["slow"] = Slow;
    std::vector<Json> Parts;
    Parts.push_back(std::move(Servers));
    const RateLimitStatements Limits =
        m_Selector.availability().rateLimits().ownStatements(Now);
    if (!Limits.empty())
      Parts.emplace_back(Json::object())["limits"] = toJson(Limits);
    if (m_OwnTraffic) {
      const TrafficReport Report = m_OwnTraffic();
      Json &Traffic = Parts.emplace_back(Json::object());
      Traffic["demand"] = Report.m_Demand;
      Traffic["returning"] = Report.m_ReturningDemand;
      Traffic["latency"] = Report.m_Latencies;
      Traffic["completed"] = Report.m_Work.m_Completed;
      Traffic["offered"] = Report.m_Work.m_Offered;
      Traffic["organisations"] = Report.m_Work.m_Organisations;
    }
    broadcastParts(Parts);
    for (auto &[Name, RemotePeer] : m_Peers) {
      if (RemotePeer.m_IsAlive &&
          Now - RemotePeer.m_LastHeardAt >
              period() * m_Settings.m_MaxSilentPeriods) {
        RemotePeer.m_IsAlive = false;
        m_Selector.onPeerReportsStopped(Name, Now);
        m_Log.write("peer_lost", {{"peer", Name}});
      }
    }
  }

  void send(const std::vector<std::uint8_t> &Bytes, const Peer &To) {
    const Endpoint &Receiver = To.m_Address.m_Endpoint;
    asio::error_code Error;
    const asio::ip::address Address =
        asio::ip::make_address(Receiver.m_Ip, Error);
    // Send errors are ignored: any datagram may be lost, and later ones repeat
    // its content.
    if (!Error)
      m_Socket.send_to(asio::buffer(Bytes),
                       asio::ip::udp::endpoint(Address, Receiver.m_Port), 0,
                       Error);
  }

  void broadcast(const Json &Message) { broadcast(Json::to_cbor(Message)); }

  void broadcast(const std::vector<std::uint8_t> &Bytes) {
    for (const auto &[Name, RemotePeer] : m_Peers)
      send(Bytes, RemotePeer);
  }

  /// Sends \p Parts, the fields of each of which belong together, in one
  /// message, or in one message each if a peer would not read it as a whole. A
  /// part that is too large by itself is left out: without any message, the
  /// peers would take this node for lost.
  void broadcastParts(const std::vector<Json> &Parts) {
    Json Whole = newMessage();
    for (const Json &Part : Parts)
      Whole.update(Part);
    const std::vector<std::uint8_t> WholeBytes = Json::to_cbor(Whole);
    std::size_t LeftOut = 0;
    if (WholeBytes.size() <= MaxDatagramBytes)
      broadcast(WholeBytes);
    else
      LeftOut = broadcastEach(Parts);
    const bool HadLeftOut = std::exchange(m_HasLeftOutParts, LeftOut > 0);
    if (m_HasLeftOutParts && !HadLeftOut)
      m_Log.write("peer_message_too_large",
                  {{"parts_left_out", static_cast<std::int64_t>(LeftOut)},
                   {"bytes", static_cast<std::int64_t>(WholeBytes.size())}});
  }

  /// Returns the number of parts that were too large.
  std::size_t broadcastEach(const std::vector<Json> &Parts) {
    std::size_t LeftOut = 0;
    for (const Json &Part : Parts) {
      Json Message = newMessage();
      Message.update(Part);
      const std::vector<std::uint8_t> Bytes = Json::to_cbor(Message);
      if (Bytes.size() <= MaxDatagramBytes)
        broadcast(Bytes);
      else
        ++LeftOut;
    }
    if (LeftOut == Parts.size())
      broadcast(newMessage());
    return LeftOut;
  }

  bool isLive(const Peer &RemotePeer, MonotonicTime Now) const {
    return RemotePeer.m_IsAlive && Now - RemotePeer.m_LastHeardAt <=
                                       period() * m_Settings.m_MaxSilentPeriods;
  }

  void receive() {
    m_Socket.async_receive_from(
        asio::buffer(m_Buffer), m_SenderEndpoint,
        [this](const asio::error_code &Error, std::size_t Size) {
          if (Error == asio::error::operation_aborted)
            return;
          if (!Error)
            onDatagram(Size);
          receive();
        });
  }

  void onDatagram(std::size_t Size) {
    const Json Message = parseCbor(m_Buffer.begin(), m_Buffer.begin() + Size);
    const std::string Name = fieldOr(Message, "node", std::string());
    const auto Sender = m_Peers.find(Name);
    if (Sender == m_Peers.end())
      return;
    Peer &From = Sender->second;
    if (!From.m_IsAlive)
      m_Log.write("peer_heard", {{"peer", Name}});
    From.m_IsAlive = true;
    From.m_LastHeardAt = monotonicNow();
    const Duration Delay = From.m_Delay.onMessage(
        {fieldOr(Message, "process", std::uint64_t{0}),
         MonotonicTime(Duration(fieldOr(Message, "sent_us", std::int64_t{0})))},
        From.m_LastHeardAt);
    if (Message.contains("load")) {
      m_Selector.setPeerInFlight(
          Name, fieldOr(Message, "load", std::map<std::string, unsigned>()));
      m_Selector.speed().setPeerReport(
          Name, fieldOr(Message, "slow", ServerSpeed::Report()),
          From.m_LastHeardAt);
    }
    if (Message.contains("limits"))
      m_Selector.availability().rateLimits().mergePeerStatements(
          parseRateLimitStatements(Message["limits"]),
          From.m_LastHeardAt - Delay);
    if (Message.contains("demand") && m_OnPeerTraffic)
      m_OnPeerTraffic(
          Name,
          {fieldOr(Message, "demand", DemandByModel()),
           fieldOr(Message, "returning", DemandByModel()),
           fieldOr(Message, "latency", FirstEventLatency::Report()),
           {fieldOr(Message, "completed", decltype(WorkReport::m_Completed)()),
            fieldOr(Message, "offered", decltype(WorkReport::m_Offered)()),
            fieldOr(Message, "organisations",
                    decltype(WorkReport::m_Organisations)())}});
    if (Message.contains("prompt"))
      m_Selector.onPromptSent(
          fieldOr(Message, "prompt", std::string()),
          std::chrono::microseconds(fieldOr(Message, "us", std::int64_t{0})),
          From.m_LastHeardAt);
    if (Message.contains("feed"))
      m_OnStoreChange(Message["feed"], Delay);
    if (Message.contains("blame"))
      m_OnCrashRecords(parsePoisonRecords(Message["blame"]));
    if (Message.contains("stalled"))
      m_OnStallReport({fieldOr(Message, "stalled", std::string()),
                       {fieldOr(Message, "group", std::string()),
                        fieldOr(Message, "epoch", std::uint64_t{0})},
                       fieldOr(Message, "confirmed", false)});
  }

  asio::ip::udp::socket m_Socket;
  asio::steady_timer m_LoadTimer;
  EventLog &m_Log;
  ServerSelector &m_Selector;
  std::string m_NodeName;
  const std::uint64_t m_Process = std::random_device()();
  std::minstd_rand m_Random{std::random_device()()};
  PeerAddress m_OwnAddress;
  PeerExchangeSettings m_Settings;
  StallReportHandler m_OnStallReport;
  CrashRecordHandler m_OnCrashRecords;
  StoreChangeHandler m_OnStoreChange;
  std::function<TrafficReport()> m_OwnTraffic;
  TrafficHandler m_OnPeerTraffic;
  std::map<std::string, Peer> m_Peers;
  /// The last load message lacked a part that was too large.
  bool m_HasLeftOutParts = false;
  asio::ip::udp::endpoint m_SenderEndpoint;
  std::array<std::uint8_t, MaxDatagramBytes> m_Buffer{};
};

PeerExchange::PeerExchange(asio::io_context &Loop, EventLog &Log,
                           ServerSelector &Selector, std::string Node,
                           const PeerAddress &OwnAddress,
                           const PeerExchangeSettings &Settings)
    : m_Impl(std::make_unique<Impl>(Loop, Log, Selector)) {
  m_Impl->m_NodeName = std::move(Node);
  m_Impl->m_OwnAddress = OwnAddress;
  m_Impl->m_Settings = Settings;
}

PeerExchange::~PeerExchange() = default;

void PeerExchange::start(StallReportHandler OnStallReport,
                         CrashRecordHandler OnCrashRecords,
                         StoreChangeHandler OnStoreChange) {
  m_Impl->m_OnStallReport = std::move(OnStallReport);
  m_Impl->m_OnCrashRecords = std::move(OnCrashRecords);
  m_Impl->m_OnStoreChange = std::move(OnStoreChange);
  const Endpoint &Local = m_Impl->m_OwnAddress.m_Endpoint;
  const asio::ip::udp::endpoint LocalEndpoint(
      asio::ip::make_address(Local.m_Ip), Local.m_Port);
  m_Impl->m_Socket.open(asio::ip::udp::v4());
  m_Impl->m_Socket.bind(LocalEndpoint);
  m_Impl->m_Socket.non_blocking(true);
  m_Impl->receive();
  m_Impl->scheduleLoadMessage();
}

void PeerExchange::exchangeTraffic(std::function<TrafficReport()> OwnTraffic,
                                   TrafficHandler OnPeerTraffic) {
  m_Impl->m_OwnTraffic = std::move(OwnTraffic);
  m_Impl->m_OnPeerTraffic = std::move(OnPeerTraffic);
}

void PeerExchange::setPeers(std::map<std::string, PeerAddress> Peers) {
  std::map<std::string, Impl::Peer> Previous;
  Previous.swap(m_Impl->m_Peers);
  for (auto &[Name, Address] : Peers) {
    if (Name == m_Impl->m_NodeName)
      continue;
    const auto Existing = Previous.find(Name);
    Impl::Peer Entry;
    if (Existing != Previous.end() &&
        Existing->second.m_Address.m_Endpoint == Address.m_Endpoint)
      Entry = Existing->second;
    Entry.m_Address = Address;
    m_Impl->m_Peers[Name] = Entry;
  }
  for (const auto &[Name, Entry] : Previous)
    if (m_Impl->m_Peers.count(Name) == 0)
      m_Impl->m_Selector.onPeerReportsStopped(Name, monotonicNow());
}

void PeerExchange::announce(const StallReport &Report) {
  Json Message = m_Impl->newMessage();
  Message["stalled"] = Report.m_HeadServer;
  Message["group"] = Report.m_Group.m_Name;
  Message["epoch"] = Report.m_Group.m_Epoch;
  Message["confirmed"] = Report.m_IsConfirmed;
  m_Impl->broadcast(Message);
}

void PeerExchange::announce(std::vector<PoisonRecord> Records) {
  m_Impl->broadcast(m_Impl->crashMessage(std::move(Records)));
}

void PeerExchange::sendToRandomPeer(std::vector<PoisonRecord> Records) {
  if (m_Impl->m_Peers.empty())
    return;
  std::uniform_int_distribution<std::size_t> Draw(0,
                                                  m_Impl->m_Peers.size() - 1);
  const auto Receiver =
      std::next(m_Impl->m_Peers.begin(),
                static_cast<std::ptrdiff_t>(Draw(m_Impl->m_Random)));
  m_Impl->send(Json::to_cbor(m_Impl->crashMessage(std::move(Records))),
               Receiver->second);
}

void PeerExchange::sendFeed(const std::vector<std::string> &Receivers,
                            const Json &Message) {
  Json Envelope = m_Impl->newMessage();
  Envelope["feed"] = Message;
  const std::vector<std::uint8_t> Bytes = Json::to_cbor(Envelope);
  for (const std::string &Name : Receivers) {
    const auto Receiver = m_Impl->m_Peers.find(Name);
    if (Receiver != m_Impl->m_Peers.end())
      m_Impl->send(Bytes, Receiver->second);
  }
}

void PeerExchange::announcePrompt(const std::string &Server,
                                  Duration PrefillTime) {
  if (m_Impl->m_Peers.size() > MaxPromptPeers)
    return;
  const auto Microseconds =
      std::chrono::duration_cast<std::chrono::microseconds>(PrefillTime)
          .count();
  Json Message = m_Impl->newMessage();
  Message["prompt"] = Server;
  Message["us"] = Microseconds;
  m_Impl->broadcast(Message);
}

RelayCandidate PeerExchange::ownNode() const {
  return {m_Impl->m_NodeName, m_Impl->m_OwnAddress.m_Zone,
          m_Impl->m_OwnAddress.m_LinkMbps};
}

std::vector<RelayCandidate> PeerExchange::liveNodes(MonotonicTime Now) const {
  std::vector<RelayCandidate> Nodes{ownNode()};
  for (const auto &[Name, RemotePeer] : m_Impl->m_Peers)
    if (m_Impl->isLive(RemotePeer, Now))
      Nodes.push_back(
          {Name, RemotePeer.m_Address.m_Zone, RemotePeer.m_Address.m_LinkMbps});
  std::sort(Nodes.begin(), Nodes.end(),
            [](const RelayCandidate &Left, const RelayCandidate &Right) {
              return Left.m_Name < Right.m_Name;
            });
  return Nodes;
}

} // namespace fulmarwinch
