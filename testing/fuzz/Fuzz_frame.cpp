//===- Fuzz_frame.cpp - Fuzz target for the wire codecs -------------------===//
//
// Parses the input as a message, a frame and a datagram. A message that parses
// must serialize, and the result must parse again.
//
//===----------------------------------------------------------------------===//
#include "Target.h"
#include "ragwort/wire/Codec.h"
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *Data, size_t Size) {
  using namespace ragwort::wire;
  std::string_view Input(reinterpret_cast<const char *>(Data), Size);
  absl::StatusOr<Message> Parsed = parseMessage(Input);
  if (Parsed.ok()) {
    absl::StatusOr<std::string> Reserialized = serializeMessage(*Parsed);
    if (!Reserialized.ok() || !parseMessage(*Reserialized).ok())
      std::abort();
  }
  const Keyring Keys{{1, "fuzz"}};
  FrameCodec Frames(Keys, Direction::FromServer);
  (void)Frames.decode(Input).ok();
  DatagramCodec Datagrams(Keys);
  (void)Datagrams.decode(Input).ok();
  return 0;
}

namespace ragwort::fuzz {

std::vector<std::string> seedCorpus() {
  wire::StartRequest Start;
  Start.Headers = {{"Content-Type", "application/json"}};
  Start.Body = "{}";
  wire::GroupMessage Group;
  Group.Chain = {{1, 2, 3, 4, Epoch{5}}};
  Group.Placement = {1, 2, 3};
  wire::ConfigReply Config;
  Config.Changes.resize(2);
  Config.Documents = {{"base", "site: x"}};
  std::vector<std::string> Corpus;
  for (const wire::Message &M :
       {wire::Message(Start), wire::Message(Group), wire::Message(Config),
        wire::Message(wire::Hello()), wire::Message(wire::AttemptReport())})
    Corpus.push_back(wire::serializeMessage(M).value());
  return Corpus;
}

} // namespace ragwort::fuzz
