//===- KeyedMessages.h - Verdicts between entry nodes ---------------------===//
//
// An owner sends its verdict on a forwarded request as the message that an
// agent would use for the same outcome; both directions stand here.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_ENTRY_KEYEDMESSAGES_H
#define RAGWORT_ENTRY_KEYEDMESSAGES_H

#include "ragwort/journal/ShardOwner.h"
#include "ragwort/wire/Messages.h"
#include <optional>

namespace ragwort::entry {

/// The message that tells \p V on \p Stream.
wire::Message messageOf(uint64_t Stream, journal::KeyedOutcome V);

/// The verdict that a final message of the owner stands for, or nothing for
/// any other message.
std::optional<journal::KeyedOutcome> verdictOf(wire::Message &&M);

} // namespace ragwort::entry

#endif
