//===- EventStream.h - Complete events of a server-sent stream ------------===//
//
// Splits one server's response into complete events and records the last event
// id, so that an interrupted stream can be resumed after it and a partial event
// is never forwarded.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_GATEWAY_EVENTSTREAM_H
#define RAGWORT_GATEWAY_EVENTSTREAM_H

#include "ragwort/base/Bytes.h"
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ragwort::gateway {

/// The events of one response.
///
/// \code
///   EventStream Events;
///   Events.resumeAfter(LastEventId);
///   bool IsSound = Events.push(Bytes);
///   forward(Events.takeCompleteEvents());
/// \endcode
class EventStream {
public:
  /// Larger events are rejected.
  static constexpr size_t MaxEventBytes = 1 * MiB;

  /// Adds bytes of the response. \returns false if an event is too large or
  /// malformed, has no id although others have one, or its id is not one above
  /// the last id. The rest of the response is then unusable; the complete
  /// events before are part of the stream.
  bool push(std::string_view Bytes);
  /// \returns the complete events received since the last call, in order.
  std::string takeCompleteEvents();
  /// Whether the server began an event, or sent one that was not accepted, that
  /// is not among the complete ones. A repeated event is not missing.
  bool isEventMissing() const;
  /// Whether there was an event; a comment is none.
  bool hasContent() const { return HasContent; }
  /// Id of the first complete event that had one.
  std::optional<uint64_t> firstId() const { return FirstId; }
  /// Id of the last complete event that had one.
  std::optional<uint64_t> lastId() const { return LastId; }
  /// Whether the stream can be continued after lastId(). That id must follow
  /// from more than the event itself: it came after another one, it was
  /// expected, or it is a first id before which there is none. Any other single
  /// id may be spoiled.
  bool isPositionConfirmed() const { return IsConfirmed && !HasAnonymous; }
  /// Sets the id of the last event that the caller has received of an earlier
  /// response.
  void resumeAfter(uint64_t Id) {
    LastId = Id;
    NextId = Id + 1;
    IsConfirmed = true;
  }
  /// A new stream begins with the event \p Id.
  void expectFirst(uint64_t Id) {
    NextId = Id;
    IsNumbered = true;
  }
  /// Earlier events of the stream have ids, so each one must have one.
  void requireIds() { IsNumbered = true; }
  /// Number of complete events so far.
  uint64_t events() const { return Events; }

private:
  bool acceptEvent(std::string_view Event);
  bool isNext(std::optional<uint64_t> Id, bool IsEvent) const;

  std::string Partial;
  std::string Complete;
  std::optional<uint64_t> FirstId;
  std::optional<uint64_t> LastId;
  // The id that the next event must have, if it is known.
  std::optional<uint64_t> NextId;
  uint64_t Events = 0;
  // Whether each event must have an id.
  bool IsNumbered = false;
  // Whether an event had no id.
  bool HasAnonymous = false;
  bool HasContent = false;
  bool IsConfirmed = false;
  bool IsEventRejected = false;
};

} // namespace ragwort::gateway

#endif
