//===- ConfigKeeper.h - Keeps a node's configuration current --------------===//
//
// Polls the table service, fetches from peers that announce a higher version,
// and publishes the parsed settings as immutable snapshots.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_NODE_CONFIGKEEPER_H
#define RAGWORT_NODE_CONFIGKEEPER_H

#include "ragwort/config/ConfigReplica.h"
#include "ragwort/node/NodeContext.h"
#include "ragwort/settings/FleetSettings.h"
#include <functional>
#include <memory>
#include <mutex>

namespace ragwort {

/// \code
///   ConfigKeeper Config(Context, OnChange);
///   Config.start();
///   std::shared_ptr<const settings::FleetSettings> Fleet = Config.fleet();
/// \endcode
class ConfigKeeper {
public:
  using Snapshot = std::shared_ptr<const settings::FleetSettings>;
  using ChangeHandler = std::function<void(const Snapshot &)>;

  /// \p OnChange runs after each new snapshot, outside of all locks.
  ConfigKeeper(NodeContext &Context, ChangeHandler OnChange);

  /// Starts to poll the platform and, until there is a configuration, the
  /// seeds.
  void start();

  /// Settings in force, or null before the first.
  Snapshot fleet() const;
  uint64_t version() const;

  /// Takes what a peer or the platform sent. \returns false when the whole
  /// documents are needed.
  bool merge(const wire::ConfigReply &Reply);
  wire::ConfigReply replyTo(const wire::ConfigFetch &Fetch) const;

  /// Notes that the node at \p Peer has \p Version; fetches when it is higher.
  void onAnnounced(uint64_t Version, const std::string &Name,
                   const Address &Peer);

private:
  asio::awaitable<void> pollPlatform();
  asio::awaitable<void> askSeeds();
  asio::awaitable<void> fetchFrom(std::string Name, Address Peer);
  asio::awaitable<absl::StatusOr<wire::ConfigReply>>
  askPeer(std::string Name, Address Peer, uint64_t HaveVersion);
  Snapshot parseLocked();

  NodeContext &Context;
  const ChangeHandler OnChange;
  Gauge &VersionGauge;
  Counter &Rejected;

  // Leaf lock. Guards the fields below. Parsing happens under it: changes are
  // rare and must be applied in order.
  mutable std::mutex Mutex;
  config::ConfigReplica Replica;
  Snapshot Current;
  bool IsFetching = false;
};

} // namespace ragwort

#endif
