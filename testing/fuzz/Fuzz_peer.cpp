//===- Fuzz_peer.cpp - Fuzz target for messages between nodes -------------===//
//
// Decodes the input as each message that entry nodes and agents exchange. A
// message that decodes must encode, and the result must decode again.
//
//===----------------------------------------------------------------------===//
#include "Target.h"
#include "ragwort/fleet/EvacuationNews.h"
#include "ragwort/fleet/PeerExchange.h"
#include "ragwort/fleet/PeerHeartbeat.h"
#include "ragwort/quarantine/QuarantineWire.h"
#include "ragwort/rankgroup/AgentMessage.h"
#include "ragwort/rankgroup/OrderMessage.h"
#include <cstdlib>

namespace {

using namespace ragwort;

void require(bool Holds) {
  if (!Holds)
    std::abort();
}

void decodeEntryNodeMessages(std::string_view Input) {
  using namespace ragwort::fleet;
  if (auto M = decodeHeartbeat(Input); M.ok())
    require(decodeHeartbeat(encodeHeartbeat(*M)).ok());
  if (auto M = decodeNotice(Input); M.ok())
    require(decodeNotice(encodeNotice(*M)).ok());
  if (auto M = decodeDigest(Input); M.ok())
    (void)encodeDigests(M->Entries);
  if (auto M = decodeLeaving(Input); M.ok())
    (void)encodeLeaving(M->Leaving);
  if (auto M = decodeRateLimits(Input); M.ok())
    (void)encodeRateLimits(M->Limits);
  if (auto M = decodeCold(Input); M.ok())
    (void)encodeCold(M->Cold);
  if (auto M = decodeEvacuations(Input); M.ok())
    require(decodeEvacuations(encodeEvacuations(M->Table)).ok());
  if (auto M = decodeEngineList(Input); M.ok())
    require(decodeEngineList(encodeEngineList(*M)).ok());
  if (auto M = decodeDirectory(Input); M.ok())
    require(decodeDirectory(encodeDirectory(*M)).ok());
}

void decodeAgentMessages(std::string_view Input) {
  using namespace ragwort::rankgroup;
  if (auto M = decodeMessage(Input); M.ok()) {
    (void)encodeMessage(*M);
    (void)selectionsOf(*M, 2, 3);
  }
  if (auto M = decodeReply(Input); M.ok())
    require(decodeReply(encodeReply(*M)).ok());
  if (auto M = decodeOrderPart(Input); M.ok())
    (void)OrderAssembler().add(std::move(*M));
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *Data, size_t Size) {
  std::string_view Input(reinterpret_cast<const char *>(Data), Size);
  decodeEntryNodeMessages(Input);
  decodeAgentMessages(Input);
  using namespace ragwort::quarantine;
  if (auto M = decodeQuarantine(Input, fleet::MaxPeerDatagramBytes); M.ok())
    (void)encodeQuarantine(*M, fleet::MaxPeerDatagramBytes);
  return 0;
}

namespace ragwort::fuzz {

std::vector<std::string> seedCorpus() {
  fleet::PeerHeartbeat Heartbeat;
  Heartbeat.Node = "edge-1";
  Heartbeat.InFlight = {{1, 2, 3}};
  Heartbeat.PeerIps = {"10.0.0.1"};
  dispatch::BackendInstance Server;
  Server.Id = "i-1";
  Server.Service = "s";
  Server.Address = "10.0.0.1:80";
  rankgroup::AgentMessage Beat;
  Beat.Kind = rankgroup::AgentMessageKind::Heartbeat;
  Beat.Group = "g";
  Beat.Engine = "10.0.0.1:80";
  Beat.ExpertsPerSet = 3;
  Beat.Counts = {1, 2, 3, 4, 5, 6};
  rankgroup::RankOrder Order;
  Order.Kind = rankgroup::OrderKind::Prepare;
  Order.Map.At = {{{0, 2}, {1, 0}}};
  std::vector<std::string> Corpus = {
      fleet::encodeHeartbeat(Heartbeat),
      fleet::encodeNotice({"10.0.0.1:80", dispatch::EngineCondition::Opened}),
      fleet::encodeEvacuations({{1, 2}, {"z"}}),
      fleet::encodeEngineList({{"10.0.0.1", "10.0.0.2"}}),
      fleet::encodeDirectory({{1, 2}, {Server}}),
      rankgroup::encodeMessage(Beat),
      rankgroup::encodeReply({"g", 1, 2, 3}),
      rankgroup::encodeOrder("g", 1, Order).front(),
      rankgroup::encodeOrder("g", 1, Order, rankgroup::MapReference{1, 2})
          .front()};
  dispatch::ServerRun Run{1, 2};
  dispatch::ColdReport Cold{Run, 5000};
  Corpus.push_back(fleet::encodeLeaving({&Run, 1}).front());
  Corpus.push_back(fleet::encodeCold({&Cold, 1}).front());
  return Corpus;
}

} // namespace ragwort::fuzz
