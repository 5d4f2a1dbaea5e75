//===- KeyedMessages.h - Keyed outcomes as messages -----------------------===//
//
// A shard owner sends the outcome of a forwarded request in the message type
// that an agent uses for it, or as a redirect. These functions convert in both
// directions.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_ENTRY_KEYEDMESSAGES_H
#define RAGWORT_ENTRY_KEYEDMESSAGES_H

#include "ragwort/journal/ShardOwner.h"
#include "ragwort/wire/Messages.h"
#include <optional>

namespace ragwort::entry {

/// Encodes \p Outcome as a message on \p Stream.
wire::Message messageOf(uint64_t Stream, journal::KeyedOutcome Outcome);

/// Decodes the outcome from the owner's last message on a stream. Empty if the
/// message has another type.
std::optional<journal::KeyedOutcome> outcomeOf(wire::Message &&M);

} // namespace ragwort::entry

#endif
