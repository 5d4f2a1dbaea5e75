//===- PeerExchange.cpp - Exchanges load and versions with peer nodes -----===//
#include "ragwort/fleet/PeerExchange.h"
#include "ragwort/base/Hash.h"
#include "ragwort/fleet/EvacuationNews.h"
#include "ragwort/http/HttpClient.h"
#include "ragwort/observe/Log.h"
#include "ragwort/quarantine/QuarantineWire.h"
#include "ragwort/wire/Archived.h"
#include <algorithm>
#include <utility>

namespace ragwort::fleet {

namespace {

constexpr std::string_view ConfigPath = "/config";
constexpr std::string_view DirectoryPath = "/directory";
constexpr std::string_view EnginesPath = "/engines?service=";
constexpr std::string_view KnownParameter = "&known=";
constexpr std::string_view VersionHeader = "Ragwort-Version";

TimePoint now() { return SteadyClock().now(); }

http::ServerLimits documentLimits() {
  http::ServerLimits Limits;
  Limits.MaxConnections = 64;
  Limits.IdleTimeout = std::chrono::seconds(5);
  Limits.WriteTimeout = std::chrono::seconds(5);
  return Limits;
}

} // namespace

PeerExchange::PeerExchange(asio::io_context &Io, PeerOptions Given,
                           gateway::Gateway &Node,
                           std::function<void(ConfigDocument)> ApplyConfig)
    : Io(Io), Options(std::move(Given)), Node(Node),
      ApplyConfig(std::move(ApplyConfig)), News(newsChannels()),
      Socket(Io.get_executor(), MaxPeerDatagramBytes,
             [this](std::string_view Datagram, const Address &From) {
               onDatagram(Datagram, From);
             }),
      DocumentServer(
          Io, [this](http::Exchange &X) { return serve(X); }, documentLimits()),
      Fleet(Options.RetryWindow, now()) {
  Node.dispatcher().setNodes(std::nullopt);
}

absl::Status PeerExchange::listen() {
  absl::Status Listening = Socket.listen(Options.Listen);
  if (!Listening.ok())
    return Listening;
  asio::co_spawn(Io, heartbeatLoop(), asio::detached);
  return DocumentServer.listen(Options.Listen);
}

bool PeerExchange::addPeer(const std::string &Ip) {
  if (Ip == Options.Listen.Ip)
    return false;
  if (Peers.contains(Ip))
    return true;
  if (Peers.size() >= MaxPeers) {
    if (!std::exchange(IsPeerLimitLogged, true))
      logEvent(LogLevel::Error, "peers-limit-reached",
               {{"peers", Peers.size()}, {"ip", Ip}});
    return false;
  }
  Peers[Ip].AddedAt = now();
  Fleet.onNamed(Ip, now());
  return true;
}

void PeerExchange::publishConfig(ConfigDocument Document) {
  if (Document.Version > PublishedConfig.Version)
    PublishedConfig = std::move(Document);
}

void PeerExchange::announceLeaving() {
  IsLeaving = true;
  sendHeartbeats();
}

void PeerExchange::sendHeartbeats() {
  PeerHeartbeat Heartbeat;
  Heartbeat.Node = Options.Node;
  Heartbeat.Incarnation = Options.Incarnation;
  Heartbeat.IsLeaving = IsLeaving;
  Heartbeat.ConfigVersion = PublishedConfig.Version;
  Heartbeat.DirectoryVersion = Node.directory().version();
  Heartbeat.InFlight = Node.dispatcher().loadTracker().ownReport(now());
  for (const auto &[Ip, P] : Peers)
    if (Heartbeat.PeerIps.size() < MaxNamedPeers &&
        P.LastHeardAt != TimePoint())
      Heartbeat.PeerIps.push_back(Ip);
  std::vector<std::string> Datagrams;
  for (const NewsChannel &Channel : News)
    for (std::string &Bytes : Channel.Encode(now()))
      Datagrams.push_back(std::move(Bytes));
  Datagrams.push_back(encodeHeartbeat(std::move(Heartbeat)));
  // Lost datagrams are not resent; the next heartbeat replaces them.
  for (const auto &[Ip, P] : Peers)
    for (const std::string &Bytes : Datagrams)
      Socket.send(Bytes, {Ip, Options.Listen.Port});
}

asio::awaitable<void> PeerExchange::heartbeatLoop() {
  while (true) {
    sendHeartbeats();
    TimePoint At = now();
    removeSilentPeers(At);
    Node.dispatcher().loadTracker().setNodes(hash64(Options.Listen.Ip),
                                             sharingPeers(At), At);
    Node.dispatcher().loadTracker().setKnownNodes(
        hash64(Options.Listen.Ip), knownPeers(), Fleet.nodes(At));
    fetchNewerVersions(At);
    co_await sleepFor(HeartbeatInterval);
  }
}

void PeerExchange::onDatagram(std::string_view Datagram, const Address &From) {
  uint16_t Protocol = wire::protocolOf(Datagram).value_or(0);
  switch (Protocol) {
  case PeerHeartbeat::Protocol:
    if (absl::StatusOr<PeerHeartbeat> Heartbeat = decodeHeartbeat(Datagram);
        Heartbeat.ok())
      onHeartbeat(*Heartbeat, From.Ip);
    return;
  case EngineNotice::Protocol:
    if (auto Notice = decodeNotice(Datagram); Notice.ok())
      Node.dispatcher().loadTracker().onEngineNotice(Notice->EngineAddress,
                                                     Notice->Condition, now());
    return;
  default:
    for (const NewsChannel &Channel : News)
      if (Channel.Protocol == Protocol)
        Channel.Apply(Datagram, From.Ip, now());
  }
}

std::vector<NewsChannel> PeerExchange::newsChannels() {
  dispatch::LoadTracker &Tracker = Node.dispatcher().loadTracker();
  quarantine::RequestQuarantine &Quarantine = Node.requestQuarantine();
  NewsChannel Conditions{NoticeDigest::Protocol,
                         [&Tracker](TimePoint Now) {
                           return encodeDigests(Tracker.ownConditions(Now));
                         },
                         [&Tracker](std::string_view Datagram,
                                    const std::string &, TimePoint Now) {
                           if (auto Digest = decodeDigest(Datagram);
                               Digest.ok())
                             Tracker.onPeerConditions(Digest->Entries, Now);
                         }};
  NewsChannel Leaving{LeavingDigest::Protocol,
                      [&Tracker](TimePoint Now) {
                        return encodeLeaving(Tracker.ownLeaving(Now));
                      },
                      [&Tracker](std::string_view Datagram, const std::string &,
                                 TimePoint Now) {
                        if (auto Digest = decodeLeaving(Datagram); Digest.ok())
                          Tracker.onPeerLeaving(Digest->Leaving, Now);
                      }};
  NewsChannel Limits{RateLimitDigest::Protocol,
                     [&Tracker](TimePoint Now) {
                       return encodeRateLimits(Tracker.ownRateLimits(Now));
                     },
                     [&Tracker](std::string_view Datagram, const std::string &,
                                TimePoint Now) {
                       if (auto Digest = decodeRateLimits(Datagram);
                           Digest.ok())
                         Tracker.onPeerRateLimits(Digest->Limits, Now);
                     }};
  NewsChannel Cold{
      ColdDigest::Protocol,
      [&Tracker](TimePoint Now) { return encodeCold(Tracker.ownCold(Now)); },
      [&Tracker](std::string_view Datagram, const std::string &,
                 TimePoint Now) {
        if (auto Digest = decodeCold(Datagram); Digest.ok())
          Tracker.onPeerCold(Digest->Cold, Now);
      }};
  NewsChannel Quarantines{
      quarantine::QuarantineDigest::Protocol,
      [&Quarantine](TimePoint Now) {
        return quarantine::encodeQuarantine(Quarantine.takeDigest(Now),
                                            MaxPeerDatagramBytes);
      },
      [&Quarantine](std::string_view Datagram, const std::string &Ip,
                    TimePoint Now) {
        if (auto Digest =
                quarantine::decodeQuarantine(Datagram, MaxPeerDatagramBytes);
            Digest.ok())
          Quarantine.onPeerDigest(Ip, *Digest, Now);
      }};
  return {Conditions, Leaving, Limits, Cold, Quarantines, evacuationNews(Node)};
}

void PeerExchange::onHeartbeat(const PeerHeartbeat &Heartbeat,
                               const std::string &Ip) {
  TimePoint At = now();
  if (!addPeer(Ip))
    return;
  Peer &P = Peers[Ip];
  if (P.LastHeardAt == TimePoint() || P.Incarnation != Heartbeat.Incarnation)
    logEvent(
        LogLevel::Info, "peer-joined",
        {{"peer", Heartbeat.Node}, {"incarnation", Heartbeat.Incarnation}});
  P.Node = Heartbeat.Node;
  P.Incarnation = Heartbeat.Incarnation;
  P.LastHeardAt = At;
  P.ConfigVersion = Heartbeat.ConfigVersion;
  P.DirectoryVersion = Heartbeat.DirectoryVersion;
  P.IsLeaving = Heartbeat.IsLeaving;
  if (P.IsLeaving)
    Fleet.onLeaving(Ip, At);
  else
    Fleet.onHeard(Ip, At);
  // The port is arbitrary: only the IP address is checked.
  for (const std::string &Known : Heartbeat.PeerIps)
    if (parseAddress(Known + ":1"))
      addPeer(Known);
  Node.onPeerReport(Heartbeat.Node, Heartbeat.InFlight);
}

size_t PeerExchange::livePeerCount() const {
  TimePoint At = now();
  size_t Live = 0;
  for (const auto &[Ip, P] : Peers)
    Live += P.wasHeardWithin(LivePeerTimeout, At);
  return Live;
}

bool PeerExchange::isStoreWatcher() const {
  TimePoint At = now();
  uint64_t Own = hash64(Options.Listen.Ip);
  auto Before = std::count_if(Peers.begin(), Peers.end(), [&](const auto &P) {
    const Peer &Each = P.second;
    return Each.wasHeardWithin(WatcherTimeout, At) && !Each.IsLeaving &&
           hash64(P.first) < Own;
  });
  return static_cast<size_t>(Before) < StoreWatchers;
}

std::vector<uint64_t> PeerExchange::sharingPeers(TimePoint Now) const {
  auto HeardWithin = [&](Duration Time) {
    std::vector<uint64_t> Result;
    for (const auto &[Ip, P] : Peers)
      if (P.wasHeardWithin(Time, Now) && !P.IsLeaving)
        Result.push_back(hash64(Ip));
    return Result;
  };
  std::vector<uint64_t> Live = HeardWithin(WatcherTimeout);
  std::vector<uint64_t> Known = HeardWithin(LivePeerTimeout);
  // A node that is cut off must not take over the parts of the others.
  return Live.size() * 2 < Known.size() ? Known : Live;
}

std::vector<uint64_t> PeerExchange::knownPeers() const {
  std::vector<uint64_t> Result;
  for (const auto &[Ip, P] : Peers)
    if (!P.IsLeaving)
      Result.push_back(hash64(Ip));
  return Result;
}

void PeerExchange::removeSilentPeers(TimePoint Now) {
  std::erase_if(Peers, [Now](const auto &Item) {
    TimePoint Last = std::max(Item.second.LastHeardAt, Item.second.AddedAt);
    return Now - Last > PeerRemovalTimeout;
  });
  Node.dispatcher().setNodes(Fleet.nodes(Now));
}

void PeerExchange::fetchNewerVersions(TimePoint Now) {
  // Peers without a heartbeat for this long are not fetched from.
  constexpr Duration MaxHeartbeatAge = std::chrono::milliseconds(1000);
  const Peer *Config = nullptr;
  const Peer *Directory = nullptr;
  std::string ConfigIp;
  std::string DirectoryIp;
  for (const auto &[Ip, P] : Peers) {
    if (!P.wasHeardWithin(MaxHeartbeatAge, Now))
      continue;
    if (P.ConfigVersion > PublishedConfig.Version &&
        (!Config || P.ConfigVersion > Config->ConfigVersion)) {
      Config = &P;
      ConfigIp = Ip;
    }
    if (P.DirectoryVersion > Node.directory().version() &&
        (!Directory || P.DirectoryVersion > Directory->DirectoryVersion)) {
      Directory = &P;
      DirectoryIp = Ip;
    }
  }
  if (!Config)
    ConfigBehindSince = Now;
  else if (Now - ConfigBehindSince >= ConfigFetchDelay && !IsFetchingConfig)
    asio::co_spawn(Io, fetchConfig(ConfigIp), asio::detached);
  bool IsAdvancing = Node.directory().version() != LastDirectoryVersion;
  LastDirectoryVersion = Node.directory().version();
  if (!Directory || IsAdvancing)
    DirectoryBehindSince = Now;
  else if (Now - DirectoryBehindSince >= DirectoryFetchDelay &&
           !IsFetchingDirectory)
    asio::co_spawn(Io, fetchDirectory(DirectoryIp), asio::detached);
}

asio::awaitable<void> PeerExchange::fetchConfig(std::string Ip) {
  IsFetchingConfig = true;
  http::Request R;
  R.Target = ConfigPath;
  // A named variable, because g++ 12 destroys an aggregate that is created
  // inside a co_await expression twice.
  Address From{Ip, Options.Listen.Port};
  absl::StatusOr<http::Response> Answer =
      co_await http::fetch(From, std::move(R), FetchTimeout);
  IsFetchingConfig = false;
  if (!Answer.ok() || Answer->Head.Status != 200) {
    logEvent(
        LogLevel::Warning, "peer-config-failed",
        {{"peer", Ip},
         {"reason", Answer.ok() ? std::to_string(Answer->Head.Status)
                                : std::string(Answer.status().message())}});
    co_return;
  }
  ConfigDocument Document;
  Document.Version = std::strtoull(
      std::string(Answer->Head.header(VersionHeader)).c_str(), nullptr, 10);
  Document.Bytes = std::move(Answer->Body);
  logEvent(LogLevel::Info, "peer-config-received",
           {{"peer", Ip}, {"version", Document.Version}});
  if (Document.Version > PublishedConfig.Version)
    ApplyConfig(std::move(Document));
}

asio::awaitable<void> PeerExchange::fetchDirectory(std::string Ip) {
  IsFetchingDirectory = true;
  http::Request R;
  R.Target = DirectoryPath;
  // A named variable, because g++ 12 destroys an aggregate that is created
  // inside a co_await expression twice.
  Address From{Ip, Options.Listen.Port};
  absl::StatusOr<http::Response> Answer =
      co_await http::fetch(From, std::move(R), FetchTimeout, http::MaxListBody);
  IsFetchingDirectory = false;
  absl::StatusOr<DirectorySnapshot> Snapshot =
      Answer.ok() ? decodeDirectory(Answer->Body) : Answer.status();
  if (!Snapshot.ok()) {
    logEvent(
        LogLevel::Warning, "peer-directory-failed",
        {{"peer", Ip}, {"reason", std::string(Snapshot.status().message())}});
    co_return;
  }
  logEvent(LogLevel::Info, "peer-directory-received",
           {{"peer", Ip},
            {"version", toString(Snapshot->Version)},
            {"servers", Snapshot->Instances.size()}});
  // This node may learn of a restore of the store from its peer.
  std::optional<TimePoint> GraceUntil;
  if (Snapshot->Version.Era > Node.directory().version().Era)
    GraceUntil = now() + dispatch::StoreRecoveryGrace;
  if (Node.directory().replaceAll(std::move(Snapshot->Instances),
                                  Snapshot->Version, GraceUntil))
    Node.onDirectoryChanged();
}

std::string PeerExchange::enginesTarget(std::string_view Service,
                                        std::string_view KnownDigest) {
  std::string Target(EnginesPath);
  Target += Service;
  Target += KnownParameter;
  Target += KnownDigest;
  return Target;
}

http::Response PeerExchange::serveEngines(std::string_view Target) const {
  Target.remove_prefix(EnginesPath.size());
  size_t End = Target.rfind(KnownParameter);
  std::string_view Service = Target.substr(0, End);
  std::string_view Known;
  if (End != std::string_view::npos)
    Known = Target.substr(End + KnownParameter.size());
  EngineList List;
  for (const auto &[Id, Entry] : Node.directory().instances())
    if (Entry.Service == Service)
      if (std::optional<Address> At = parseAddress(Entry.Address))
        List.Ips.push_back(At->Ip);
  std::sort(List.Ips.begin(), List.Ips.end());
  std::string Bytes = encodeEngineList(List);
  std::string Digest = std::to_string(hash64(Bytes));
  http::Response R =
      Digest == Known
          ? http::makeResponse(304, "application/octet-stream", "")
          : http::makeResponse(200, "application/octet-stream", Bytes);
  R.Head.Headers.push_back({std::string(DigestHeader), Digest});
  return R;
}

asio::awaitable<void> PeerExchange::serve(http::Exchange &X) {
  http::Response R;
  if (X.request().Target == ConfigPath && PublishedConfig.Version > 0) {
    R = http::makeResponse(200, "application/octet-stream",
                           PublishedConfig.Bytes);
    R.Head.Headers.push_back(
        {std::string(VersionHeader), std::to_string(PublishedConfig.Version)});
  } else if (X.request().Target.starts_with(EnginesPath) &&
             Node.directory().isKnown()) {
    R = serveEngines(X.request().Target);
  } else if (X.request().Target == DirectoryPath &&
             Node.directory().isKnown()) {
    R = http::makeResponse(200, "application/octet-stream",
                           encodeDirectory({Node.directory().version(),
                                            Node.directory().snapshot()}));
  } else {
    R = http::makeResponse(404, "text/plain", "not known here\n");
  }
  co_await X.respond(std::move(R));
}

std::string PeerExchange::describe() const {
  std::string Text;
  TimePoint At = now();
  for (const auto &[Ip, P] : Peers)
    Text += "peer " + Ip + " node=" + P.Node + " age_ms=" +
            (P.LastHeardAt == TimePoint()
                 ? std::string("never")
                 : std::to_string((At - P.LastHeardAt).count() / 1000)) +
            " config=" + std::to_string(P.ConfigVersion) +
            " directory=" + toString(P.DirectoryVersion) +
            (P.IsLeaving ? " leaving" : "") + "\n";
  return Text;
}

} // namespace ragwort::fleet
