//===- EventStream.h - Complete events of a server-sent stream ------------===//
//
// Cuts a byte stream into whole events and remembers the last id, so that a
// broken stream can be continued behind it and half an event is never passed
// on.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_GATEWAY_EVENTSTREAM_H
#define RAGWORT_GATEWAY_EVENTSTREAM_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ragwort::gateway {

/// \code
///   EventStream Events;
///   if (Events.push(Bytes))
///     forward(Events.takeCompleteEvents());
/// \endcode
class EventStream {
public:
  /// Adds bytes of the current run. \returns false when an event's id does not
  /// follow the last one, so that the run cannot be joined to what was passed
  /// on.
  bool push(std::string_view Bytes);
  /// Complete events that were not taken before, in order.
  std::string takeCompleteEvents();
  /// Drops the torn event of a run that broke; the next bytes are another
  /// run's, which continues behind lastId().
  void beginContinuation();
  /// Whether bytes of an unfinished event wait.
  bool hasPartialEvent() const { return !Partial.empty(); }
  /// Id of the last whole event, if any event had one.
  std::optional<uint64_t> lastId() const { return LastId; }
  /// What the caller has already seen from an earlier stream.
  void resumeAfter(uint64_t Id) { LastId = Id; }
  uint64_t events() const { return Events; }

private:
  bool acceptEvent(std::string_view Event);

  std::string Partial;
  std::string Complete;
  std::optional<uint64_t> LastId;
  uint64_t Events = 0;
};

} // namespace ragwort::gateway

#endif
