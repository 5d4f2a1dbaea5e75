//===- EventStream.cpp - Complete events of a server-sent stream ----------===//
#include "ragwort/gateway/EventStream.h"
#include <algorithm>
#include <charconv>
#include <utility>

namespace ragwort::gateway {

namespace {

// A first event with this id has nothing before it.
constexpr uint64_t LowestFirstId = 1;

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

/// What the lines of a block say.
struct Block {
  /// It has more than comments and the time for reconnects, which may come
  /// between events.
  bool IsEvent = false;
  /// Some line is no field, or there is more than one id: bytes are missing, or
  /// belong to something else.
  bool IsMalformed = false;
  bool HasId = false;
  bool HasData = false;
  /// Empty if the id is not a number.
  std::optional<uint64_t> Id;
};

// A number has no leading zeros: nothing would show that one was inserted.
std::optional<uint64_t> parseId(std::string_view Text) {
  if (Text.size() > 1 && Text.starts_with('0'))
    return std::nullopt;
  uint64_t Id = 0;
  const char *Last = Text.data() + Text.size();
  auto Parsed = std::from_chars(Text.data(), Last, Id);
  if (Parsed.ec != std::errc() || Parsed.ptr != Last)
    return std::nullopt;
  return Id;
}

void readLine(std::string_view Line, Block &Result) {
  if (Line.empty() || Line.starts_with(':'))
    return;
  size_t Colon = Line.find(':');
  std::string_view Name = Line.substr(0, Colon);
  Result.IsEvent |= Name != "retry";
  Result.HasData |= Name == "data";
  // A field may have no value; others than these always have one.
  if (Colon == std::string_view::npos) {
    Result.IsMalformed |= Name != "data" && Name != "event" && Name != "id";
    return;
  }
  if (Name != "id")
    return;
  std::string_view Value = Line.substr(Colon + 1);
  if (Value.starts_with(' '))
    Value.remove_prefix(1);
  Result.IsMalformed |= std::exchange(Result.HasId, true);
  Result.Id = parseId(Value);
}

Block readBlock(std::string_view Text) {
  Block Result;
  while (!Text.empty()) {
    size_t End = std::min(Text.find('\n'), Text.size());
    std::string_view Line = Text.substr(0, End);
    Text.remove_prefix(std::min(End + 1, Text.size()));
    if (Line.ends_with('\r'))
      Line.remove_suffix(1);
    readLine(Line, Result);
  }
  return Result;
}

} // namespace

bool EventStream::isNext(std::optional<uint64_t> Id, bool IsEvent) const {
  // It could not be told which events a caller lacks.
  if (Id ? HasAnonymous : IsNumbered && IsEvent)
    return false;
  return !Id || !NextId || *Id == *NextId;
}

bool EventStream::acceptEvent(std::string_view Event) {
  Block Read = readBlock(Event);
  if (Read.IsMalformed || !isNext(Read.Id, Read.IsEvent)) {
    bool IsRepeated = Read.Id && LastId && *Read.Id <= *LastId;
    IsEventRejected = !IsRepeated && (Read.HasId || Read.HasData);
    return false;
  }
  if (Read.Id) {
    IsConfirmed = NextId.has_value() || *Read.Id == LowestFirstId;
    if (!FirstId)
      FirstId = Read.Id;
    LastId = Read.Id;
    NextId = *Read.Id + 1;
    IsNumbered = true;
  }
  HasContent |= Read.IsEvent;
  HasAnonymous |= Read.IsEvent && !Read.Id;
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

bool EventStream::isEventMissing() const {
  return IsEventRejected || readBlock(Partial).IsEvent;
}

std::string EventStream::takeCompleteEvents() {
  std::string Result;
  Result.swap(Complete);
  return Result;
}

} // namespace ragwort::gateway
