//===- ConfigUpdater.h - Keeps a node's configuration current -------------===//
//
// Polls the table service, fetches from peers that announce a higher version,
// and publishes the parsed settings as immutable snapshots.
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

  /// \p OnChange runs after each new snapshot, outside of all locks.
  ConfigUpdater(NodeContext &Context, ChangeHandler OnChange);

  /// Starts to poll the platform and, until there is a configuration, the
  /// seeds.
  void start();

  /// Settings in force, or null before the first.
  Snapshot fleet() const;
  /// Version of the documents that this node holds and passes on.
  uint64_t version() const;
  /// Version of the settings in force, which follow the documents.
  uint64_t versionInForce() const;

  /// Takes what a peer or the platform sent. \returns false when the whole
  /// documents are needed.
  bool merge(const wire::ConfigReply &Reply);
  wire::ConfigReply replyTo(const wire::ConfigFetch &Fetch) const;

  /// Notes that the node at \p Peer has \p Version; fetches when it is higher.
  void onPeerVersion(uint64_t Version, const std::string &Name,
                     const Address &Peer);

private:
  asio::awaitable<void> pollPlatform();
  asio::awaitable<void> askSeeds();
  asio::awaitable<void> fetchFrom(std::string Name, Address Peer);
  asio::awaitable<absl::StatusOr<wire::ConfigReply>>
  askPeer(std::string Name, Address Peer, uint64_t HaveVersion);
  /// Parses the replica and publishes the settings.
  void publish();
  asio::awaitable<void> publishLater(Duration Delay);
  Snapshot parseLocked();

  NodeContext &Context;
  const ChangeHandler OnChange;
  Gauge &VersionGauge;
  Counter &Rejected;

  SteadyClock Clock;
  // Leaf lock. Guards the fields below. Parsing happens under it, so that
  // changes take effect in their order.
  mutable std::mutex Mutex;
  config::ConfigReplica Replica;
  Snapshot Current;
  uint64_t InForce = 0;
  bool IsFetching = false;
  // Large settings take long to parse. Changes that come in quick succession
  // are parsed together: not before this time.
  TimePoint NextParse{};
  bool IsParsePending = false;
};

} // namespace ragwort

#endif
