//===- ConfigUpdater.h - Keeps a node's configuration up to date ----------===//
//
// Polls the table service, fetches the configuration from peers that announce a
// higher version, and publishes the parsed settings as immutable snapshots.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_NODE_CONFIGUPDATER_H
#define RAGWORT_NODE_CONFIGUPDATER_H

#include "ragwort/config/ConfigReplica.h"
#include "ragwort/node/NodeContext.h"
#include "ragwort/settings/FleetSettings.h"
#include <functional>
#include <memory>
#include <mutex>

namespace ragwort {

/// \code
///   ConfigUpdater Config(Context, OnChange);
///   Config.start();
///   std::shared_ptr<const settings::FleetSettings> Fleet = Config.fleet();
/// \endcode
class ConfigUpdater {
public:
  using Snapshot = std::shared_ptr<const settings::FleetSettings>;
  using ChangeHandler = std::function<void(const Snapshot &)>;

  /// \p OnChange is called after each new snapshot, without any lock held.
  ConfigUpdater(NodeContext &Context, ChangeHandler OnChange);

  /// Starts to poll the table service of the platform and, until there is a
  /// configuration, the seed nodes.
  void start();

  /// The settings in force, or null if there are none yet.
  Snapshot fleet() const;
  /// Version of the documents that this node has and sends to peers.
  uint64_t version() const;
  /// Version of the settings in force. It is lower than version() until new
  /// documents are parsed, or if they are invalid.
  uint64_t versionInForce() const;

  /// Merges a reply of a peer or the platform. \returns false if the full
  /// documents are needed.
  bool merge(const wire::ConfigReply &Reply);
  /// See ConfigReplica::replyTo().
  wire::ConfigReply replyTo(const wire::ConfigFetch &Fetch) const;

  /// Must be called when the node at \p Peer announces its version. Fetches its
  /// configuration if \p Version is higher than version().
  void onPeerVersion(uint64_t Version, const std::string &Name,
                     const Address &Peer);

private:
  asio::awaitable<void> pollPlatform();
  asio::awaitable<void> pollSeeds();
  asio::awaitable<void> fetchFrom(std::string Name, Address Peer);
  asio::awaitable<absl::StatusOr<wire::ConfigReply>>
  requestFromPeer(std::string Name, Address Peer, uint64_t HaveVersion);
  /// Parses the documents and publishes the settings.
  void publish();
  asio::awaitable<void> publishAfter(Duration Delay);
  Snapshot parseLocked();

  NodeContext &Context;
  const ChangeHandler OnChange;
  Gauge &VersionGauge;
  Counter &Rejected;

  SteadyClock Clock;
  // Leaf lock. Guards the fields below. It is held while documents are parsed,
  // so that changes take effect in order.
  mutable std::mutex Mutex;
  config::ConfigReplica Replica;
  Snapshot Current;
  uint64_t InForce = 0;
  bool IsFetching = false;
  // Large settings take long to parse, so changes in quick succession are
  // parsed together, not before this time.
  TimePoint NextParse{};
  bool IsParsePending = false;
};

} // namespace ragwort

#endif
