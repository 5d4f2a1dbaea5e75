//===- EvacuationNews.h - Tells peers which data centres are evacuated ----===//
//
// A node that is cut off from the store learns of evacuations and of their end
// from its peers. Evacuations.h says when a node tells and asks.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_FLEET_EVACUATIONNEWS_H
#define RAGWORT_FLEET_EVACUATIONNEWS_H

#include "ragwort/fleet/PeerExchange.h"

namespace ragwort::fleet {

/// The evacuated data centres, as nodes tell them to each other. The whole
/// table fits into one datagram.
struct EvacuationDigest {
  static constexpr uint16_t Protocol = 1008;

  dispatch::EvacuationTable Table;
};
std::string encodeEvacuations(const dispatch::EvacuationTable &Table);
/// Never throws. Fails on truncated, oversized and unrelated datagrams.
absl::StatusOr<EvacuationDigest> decodeEvacuations(std::string_view Datagram);

/// The news of \p Node, which outlives the channel.
NewsChannel evacuationNews(gateway::Gateway &Node);

} // namespace ragwort::fleet

#endif
