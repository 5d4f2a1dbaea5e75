//===- PeerExchange.h - Loads and versions between gateway nodes ----------===//
//
// Sends this node's heartbeat to its peers and takes theirs. A node that the
// store turns away learns from its peers what is in force: it fetches the
// configuration or the list of servers from one that is ahead of it.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_GATEWAY_PEEREXCHANGE_H
#define RAGWORT_GATEWAY_PEEREXCHANGE_H

#include "ragwort/gateway/Gateway.h"
#include "ragwort/gateway/PeerHeartbeat.h"
#include "ragwort/http/HttpServer.h"
#include "ragwort/transport/DatagramSocket.h"

namespace ragwort::gateway {

struct PeerOptions {
  std::string Node;
  uint64_t Incarnation = 0;
  /// Where this node listens; peers have the same port.
  Address Listen;
};

/// The configuration as its source wrote it, which peers hand on unchanged.
struct ConfigDocument {
  uint64_t Version = 0;
  std::string Bytes;
};

class PeerExchange {
public:
  static constexpr Duration HeartbeatInterval = std::chrono::milliseconds(200);
  /// A peer ahead for this long is asked for its contents: the node's own way
  /// to the store takes longer than that only when it is disturbed.
  static constexpr Duration ConfigFetchDelay = std::chrono::milliseconds(250);
  static constexpr Duration DirectoryFetchDelay =
      std::chrono::milliseconds(900);
  /// Peers unheard for this long are no longer sent to.
  static constexpr Duration PeerRemovalTimeout = std::chrono::seconds(60);
  /// Peers unheard for this long do not share the repeat budget any more.
  static constexpr Duration LivePeerTimeout = std::chrono::seconds(15);
  /// Nodes that watch the store closely. Two may fall silent at once.
  static constexpr size_t StoreWatchers = 3;
  /// Peers unheard for this long watch nothing.
  static constexpr Duration WatcherTimeout = std::chrono::milliseconds(1000);
  static constexpr Duration FetchTimeout = std::chrono::milliseconds(500);

  /// \p ApplyConfig decodes a document and puts it in force.
  PeerExchange(asio::io_context &Io, PeerOptions Options, Gateway &Node,
               std::function<void(ConfigDocument)> ApplyConfig);

  absl::Status listen();
  /// Adds a node to send to.
  void addPeer(const std::string &Ip);
  /// Has the document at hand for peers.
  void publishConfig(ConfigDocument Document);
  /// Tells peers at once that this node leaves.
  void announceLeaving();
  size_t livePeerCount() const;
  /// Whether this node is one of the few that watch the store closely for all:
  /// those of the live nodes whose addresses come first by hash.
  bool isStoreWatcher() const;
  std::string describe() const;

private:
  struct Peer {
    std::string Node;
    uint64_t Incarnation = 0;
    TimePoint AddedAt;
    TimePoint LastHeardAt{};
    uint64_t ConfigVersion = 0;
    uint64_t DirectoryVersion = 0;
    bool IsLeaving = false;
  };

  void onDatagram(std::string_view Datagram, const Address &From);
  asio::awaitable<void> heartbeatLoop();
  asio::awaitable<void> fetchConfig(std::string Ip);
  asio::awaitable<void> fetchDirectory(std::string Ip);
  asio::awaitable<void> serve(http::Exchange &X);
  void sendHeartbeats();
  void onHeartbeat(const PeerHeartbeat &Heartbeat, const std::string &Ip);
  void fetchNewerVersions(TimePoint Now);
  void removeSilentPeers(TimePoint Now);

  asio::io_context &Io;
  const PeerOptions Options;
  Gateway &Node;
  const std::function<void(ConfigDocument)> ApplyConfig;
  DatagramSocket Socket;
  http::Server Documents;
  ConfigDocument PublishedConfig;
  // By IP number; this node is not among them.
  std::map<std::string, Peer> Peers;
  TimePoint ConfigBehindSince{};
  TimePoint DirectoryBehindSince{};
  uint64_t LastDirectoryVersion = 0;
  bool IsFetchingConfig = false;
  bool IsFetchingDirectory = false;
  bool IsLeaving = false;
};

} // namespace ragwort::gateway

#endif
