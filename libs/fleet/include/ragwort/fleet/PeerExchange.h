//===- PeerExchange.h - Exchanges load and versions with peer nodes -------===//
//
// Sends this node's heartbeat to its peers and receives theirs. A node that
// cannot read the store stays up to date through its peers: it fetches the
// configuration or the list of servers from a peer that has a newer version.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_FLEET_PEEREXCHANGE_H
#define RAGWORT_FLEET_PEEREXCHANGE_H

#include "ragwort/fleet/FleetSize.h"
#include "ragwort/fleet/PeerHeartbeat.h"
#include "ragwort/gateway/Gateway.h"
#include "ragwort/http/HttpServer.h"
#include "ragwort/transport/DatagramSocket.h"

namespace ragwort::fleet {

struct PeerOptions {
  std::string Node;
  uint64_t Incarnation = 0;
  /// Address at which this node listens. All peers use the same port.
  Address Listen;
  /// Time over which the fleet's retries are limited.
  Duration RetryWindow = std::chrono::seconds(10);
};

/// The configuration as encoded by its source. Peers pass it on unchanged.
struct ConfigDocument {
  uint64_t Version = 0;
  std::string Bytes;
};

/// One kind of news that nodes send each other with their heartbeats. Lost
/// datagrams are not sent again; the next ones replace them.
struct NewsChannel {
  /// Differs from those of all other datagrams between nodes.
  uint16_t Protocol = 0;
  /// \returns the datagrams to send now; none if there is no news.
  std::function<std::vector<std::string>(TimePoint Now)> Encode;
  /// Applies a datagram of the peer at \p Ip. Ignores malformed ones.
  std::function<void(std::string_view Datagram, const std::string &Ip,
                     TimePoint Now)>
      Apply;
};

/// Sends and receives heartbeats over UDP, and serves and fetches documents
/// over HTTP.
class PeerExchange {
public:
  static constexpr Duration HeartbeatInterval = std::chrono::milliseconds(200);
  /// Contents are fetched from a peer once this node has been behind for this
  /// long. Updates from the store take longer than that only during a fault.
  static constexpr Duration ConfigFetchDelay = std::chrono::milliseconds(250);
  static constexpr Duration DirectoryFetchDelay =
      std::chrono::milliseconds(900);
  /// Peers without a heartbeat for this long are removed and sent nothing more.
  static constexpr Duration PeerRemovalTimeout = std::chrono::seconds(60);
  /// Peers without a heartbeat for this long no longer count as live.
  static constexpr Duration LivePeerTimeout = std::chrono::seconds(15);
  /// Maximum number of peers that are known; heartbeats of others are dropped.
  /// Over twice the number of nodes of the largest fleet.
  static constexpr size_t MaxPeers = 8192;
  /// Number of nodes that follow the store with the short poll timeout, so that
  /// two of them may become unreachable at the same time.
  static constexpr size_t StoreWatchers = 3;
  /// Peers without a heartbeat for this long do not count as store watchers.
  static constexpr Duration WatcherTimeout = std::chrono::milliseconds(1000);
  static constexpr Duration FetchTimeout = std::chrono::milliseconds(500);

  /// Path at which a node serves the EngineList of a service. The query names
  /// the service and the digest of the list that the client has; if that is the
  /// current one, the answer is 304 without a body.
  static std::string enginesTarget(std::string_view Service,
                                   std::string_view KnownDigest);
  /// Header with the digest of a served EngineList.
  static constexpr std::string_view DigestHeader = "Ragwort-Digest";

  /// \p ApplyConfig decodes a document and applies it.
  PeerExchange(asio::io_context &Io, PeerOptions Options,
               gateway::Gateway &Node,
               std::function<void(ConfigDocument)> ApplyConfig);

  absl::Status listen();
  /// Adds a peer, unless \p Ip is this node's own. \returns whether it is
  /// known: beyond MaxPeers, further ones are not added.
  bool addPeer(const std::string &Ip);
  /// Makes \p Document available to peers if its version is newer.
  void publishConfig(ConfigDocument Document);
  /// Sends peers a heartbeat immediately which says that this node is leaving.
  void announceLeaving();
  /// Number of peers heard within LivePeerTimeout.
  size_t livePeerCount() const;
  /// Whether this node is one of the StoreWatchers nodes that follow the store
  /// with the short poll timeout: the live nodes with the lowest address
  /// hashes.
  bool isStoreWatcher() const;
  /// One line per peer, for the operators' state dump.
  std::string describe() const;

private:
  struct Peer {
    std::string Node;
    uint64_t Incarnation = 0;
    TimePoint AddedAt;
    TimePoint LastHeardAt{};
    uint64_t ConfigVersion = 0;
    dispatch::StoreVersion DirectoryVersion;
    bool IsLeaving = false;

    bool wasHeardWithin(Duration Time, TimePoint Now) const {
      return LastHeardAt != TimePoint() && Now - LastHeardAt <= Time;
    }
  };

  /// What this node and its peers tell each other beside the heartbeats.
  std::vector<NewsChannel> newsChannels();
  void onDatagram(std::string_view Datagram, const Address &From);
  asio::awaitable<void> heartbeatLoop();
  asio::awaitable<void> fetchConfig(std::string Ip);
  asio::awaitable<void> fetchDirectory(std::string Ip);
  asio::awaitable<void> serve(http::Exchange &X);
  http::Response serveEngines(std::string_view Target) const;
  void sendHeartbeats();
  /// The nodes that share servers' rate limits, as hashes of their addresses.
  std::vector<uint64_t> sharingPeers(TimePoint Now) const;
  /// All peers that have not said that they leave, heard of late or not, as
  /// hashes of their addresses.
  std::vector<uint64_t> knownPeers() const;
  void onHeartbeat(const PeerHeartbeat &Heartbeat, const std::string &Ip);
  void fetchNewerVersions(TimePoint Now);
  void removeSilentPeers(TimePoint Now);

  asio::io_context &Io;
  const PeerOptions Options;
  gateway::Gateway &Node;
  const std::function<void(ConfigDocument)> ApplyConfig;
  const std::vector<NewsChannel> News;
  DatagramSocket Socket;
  http::Server DocumentServer;
  ConfigDocument PublishedConfig;
  FleetSize Fleet;
  // By IP address; does not contain this node.
  std::map<std::string, Peer> Peers;
  TimePoint ConfigBehindSince{};
  TimePoint DirectoryBehindSince{};
  dispatch::StoreVersion LastDirectoryVersion;
  bool IsFetchingConfig = false;
  bool IsFetchingDirectory = false;
  bool IsLeaving = false;
  bool IsPeerLimitLogged = false;
};

} // namespace ragwort::fleet

#endif
