//===- EventStream.cpp - Complete events of a server-sent stream ----------===//
#include "ragwort/gateway/EventStream.h"
#include <algorithm>
#include <charconv>

namespace ragwort::gateway {

namespace {

// Returns the offset after the first blank line at or after From, which ends an
// event, or npos.
size_t eventEnd(std::string_view Text, size_t From) {
  for (size_t At = Text.find('\n', From); At != std::string_view::npos;
       At = Text.find('\n', At + 1)) {
    size_t Next = At + 1;
    if (Next < Text.size() && Text[Next] == '\r')
      ++Next;
    if (Next < Text.size() && Text[Next] == '\n')
      return Next + 1;
  }
  return std::string_view::npos;
}

// Whether the block has more than comments and the time for reconnects, which
// may come between events.
bool isEventBlock(std::string_view Block) {
  constexpr std::string_view Reconnect = "retry:";
  while (!Block.empty()) {
    size_t End = std::min(Block.find('\n'), Block.size());
    std::string_view Line = Block.substr(0, End);
    Block.remove_prefix(std::min(End + 1, Block.size()));
    if (!Line.empty() && Line != "\r" && !Line.starts_with(':') &&
        !Line.starts_with(Reconnect))
      return true;
  }
  return false;
}

std::optional<uint64_t> parseEventId(std::string_view Event) {
  constexpr std::string_view Field = "id:";
  size_t At = 0;
  while (At < Event.size()) {
    size_t End = std::min(Event.find('\n', At), Event.size());
    std::string_view Line = Event.substr(At, End - At);
    At = End + 1;
    if (!Line.starts_with(Field))
      continue;
    Line.remove_prefix(Field.size());
    if (Line.starts_with(' '))
      Line.remove_prefix(1);
    if (Line.ends_with('\r'))
      Line.remove_suffix(1);
    uint64_t Id = 0;
    const char *Last = Line.data() + Line.size();
    auto Parsed = std::from_chars(Line.data(), Last, Id);
    if (Parsed.ec == std::errc() && Parsed.ptr == Last)
      return Id;
  }
  return std::nullopt;
}

} // namespace

bool EventStream::acceptEvent(std::string_view Event) {
  std::optional<uint64_t> Id = parseEventId(Event);
  if (LastId && Id && *Id != *LastId + 1)
    return false;
  bool IsEvent = isEventBlock(Event);
  // It could not be told which events a caller lacks.
  if (IsNumbered && IsEvent && !Id)
    return false;
  if (Id) {
    LastId = Id;
    IsNumbered = true;
  }
  HasContent |= IsEvent;
  ++Events;
  Complete += Event;
  return true;
}

bool EventStream::push(std::string_view Bytes) {
  // The blank line may have begun in the last two bytes ("\n\r").
  size_t From = Partial.size() < 2 ? 0 : Partial.size() - 2;
  Partial += Bytes;
  size_t Begin = 0;
  for (size_t End = eventEnd(Partial, From); End != std::string::npos;
       End = eventEnd(Partial, Begin)) {
    if (!acceptEvent(std::string_view(Partial).substr(Begin, End - Begin))) {
      Partial.clear();
      return false;
    }
    Begin = End;
  }
  Partial.erase(0, Begin);
  return Partial.size() <= MaxEventBytes;
}

bool EventStream::hasPartialEvent() const { return isEventBlock(Partial); }

std::string EventStream::takeCompleteEvents() {
  std::string Result;
  Result.swap(Complete);
  return Result;
}

} // namespace ragwort::gateway
