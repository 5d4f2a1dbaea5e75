//===- KeyedService.h - Requests with an idempotency key ------------------===//
//
// Finds the owner of a key's shard, here or at another entry node, and takes
// the shard over when its owner does not answer.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_ENTRY_KEYEDSERVICE_H
#define RAGWORT_ENTRY_KEYEDSERVICE_H

#include "JournalShell.h"
#include "ragwort/settings/FleetSettings.h"
#include <vector>

namespace ragwort::entry {

/// \code
///   KeyedService Keyed(Context, Channels, Hooks);
///   Keyed.configure(Fleet.Journal, PeerAddress);
///   journal::KeyedOutcome V = co_await Keyed.run(Request, To, Deadline);
/// \endcode
class KeyedService {
public:
  KeyedService(NodeContext &Context, ChannelPool &Channels, JournalHooks Hooks);

  /// Sets the shards up at the first call. Their number cannot change while
  /// keys are remembered; a later change is reported and ignored.
  void configure(const settings::JournalSettings &Journal,
                 const Address &PeerAddress);

  /// Runs a caller's request, wherever its shard is owned.
  asio::awaitable<journal::KeyedOutcome>
  run(wire::StartRequest Request, journal::Target To, TimePoint Deadline);

  /// Runs a request that another entry node forwarded; Redirected when this
  /// node does not own the shard.
  asio::awaitable<journal::KeyedOutcome>
  runForwarded(wire::StartRequest Request, journal::Target To,
               TimePoint Deadline);

  asio::awaitable<std::vector<ShardRow>> rows();

private:
  /// Answer of a forward: a verdict, or nothing when the owner is unreachable.
  asio::awaitable<std::optional<journal::KeyedOutcome>>
  forward(journal::Head Owner, wire::StartRequest Request, TimePoint Deadline);
  std::shared_ptr<JournalShell> shellOf(const journal::KeyId &Key);

  NodeContext &Context;
  ChannelPool &Channels;
  const JournalHooks Hooks;
  std::mutex Mutex; // Leaf lock. Guards the two fields below.
  std::vector<std::shared_ptr<JournalShell>> Shells;
  Duration OwnerTimeout{};
};

} // namespace ragwort::entry

#endif
