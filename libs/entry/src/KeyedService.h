//===- KeyedService.h - Requests with an idempotency key ------------------===//
//
// Sends each request to the owner of its key's shard, which is this entry node
// or another one. Takes the shard over if its owner does not answer.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_ENTRY_KEYEDSERVICE_H
#define RAGWORT_ENTRY_KEYEDSERVICE_H

#include "ShardDriver.h"
#include "ragwort/settings/FleetSettings.h"
#include <vector>

namespace ragwort::entry {

/// \code
///   KeyedService Keyed(Context, Channels, Hooks);
///   Keyed.configure(Fleet.Journal, PeerAddress);
///   journal::KeyedOutcome Outcome =
///       co_await Keyed.run(Request, To, Deadline);
/// \endcode
class KeyedService {
public:
  KeyedService(NodeContext &Context, ChannelPool &Channels, JournalHooks Hooks);

  /// Creates the shards on the first call. A later change of their number is
  /// logged and ignored, because it would assign stored keys to other shards.
  void configure(const settings::JournalSettings &Journal,
                 const Address &PeerAddress);

  /// Runs a caller's request, at this node or at the owner of its shard.
  asio::awaitable<journal::KeyedOutcome>
  run(wire::StartRequest Request, journal::Target To, TimePoint Deadline);

  /// Runs a request that another entry node forwarded. Returns Redirected if
  /// this node does not own the shard.
  asio::awaitable<journal::KeyedOutcome>
  runForwarded(wire::StartRequest Request, journal::Target To,
               TimePoint Deadline);

  asio::awaitable<std::vector<ShardRow>> rows();

private:
  /// Forwards a request to the shard's owner and returns the outcome, or
  /// nothing if the owner cannot be reached or does not answer.
  asio::awaitable<std::optional<journal::KeyedOutcome>>
  forward(journal::Head Owner, wire::StartRequest Request, TimePoint Deadline);
  /// The driver of the key's shard, or null before the first configuration.
  std::shared_ptr<ShardDriver> driverOf(const journal::KeyId &Key);

  NodeContext &Context;
  ChannelPool &Channels;
  const JournalHooks Hooks;
  std::mutex Mutex; // Leaf lock. Guards the two fields below.
  std::vector<std::shared_ptr<ShardDriver>> Drivers;
  Duration OwnerTimeout{};
};

} // namespace ragwort::entry

#endif
