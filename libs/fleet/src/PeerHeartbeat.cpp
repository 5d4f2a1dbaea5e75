//===- PeerHeartbeat.cpp - Heartbeat between gateway nodes ----------------===//
#include "ragwort/fleet/PeerHeartbeat.h"
#include "ragwort/wire/Archived.h"
#include "ragwort/wire/Bounded.h"
#include <algorithm>
#include <limits>

namespace ragwort::dispatch {

template <class Archive> void serialize(Archive &Ar, InFlightReport &Report) {
  constexpr uint32_t Most = std::numeric_limits<uint16_t>::max();
  auto Count = static_cast<uint16_t>(std::min(Report.Count, Most));
  auto Gap = static_cast<uint16_t>(std::min(Report.GapMillis, Most));
  Ar(Report.InstanceKey, Count, Gap);
  Report.Count = Count;
  Report.GapMillis = Gap;
}

template <class Archive> void serialize(Archive &Ar, StoreVersion &V) {
  Ar(V.Era, V.Number);
}

template <class Archive> void serialize(Archive &Ar, ServerRun &Run) {
  Ar(Run.InstanceKey, Run.BornMillis);
}

template <class Archive> void serialize(Archive &Ar, BackendInstance &B) {
  using wire::MaxNameBytes;
  wire::transferText(Ar, B.Id, MaxNameBytes);
  wire::transferText(Ar, B.Service, MaxNameBytes);
  wire::transferText(Ar, B.Address, MaxNameBytes);
  wire::transferText(Ar, B.DataCentre, MaxNameBytes);
  Ar(B.Slots, B.BornMillis);
  wire::transferFlag(Ar, B.IsDraining);
}

template <class Archive>
void serialize(Archive &Ar, EngineConditionReport &Report) {
  Ar(Report.InstanceKey);
  wire::transferEnum(Ar, Report.Condition, EngineCondition::Opened);
}

template <class Archive> void serialize(Archive &Ar, RateLimitReport &Report) {
  Ar(Report.Run);
  wire::transferOptional(Ar, Report.MilliPerSecond);
  Ar(Report.AgeMillis);
}

template <class Archive> void serialize(Archive &Ar, ColdReport &Report) {
  constexpr uint32_t MaxRemainingMillis = 600'000;
  uint32_t Remaining = std::min(Report.RemainingMillis, MaxRemainingMillis);
  Ar(Report.Run, Remaining);
  Report.RemainingMillis = std::min(Remaining, MaxRemainingMillis);
}

} // namespace ragwort::dispatch

namespace ragwort::fleet {

namespace {

// Bytes reserved in a datagram for everything except its list.
constexpr size_t HeaderBytes = 32;

} // namespace

template <class Archive> void serialize(Archive &Ar, DirectorySnapshot &S) {
  Ar(S.Version);
  wire::transferList(Ar, S.Instances, wire::MaxListLength);
}

template <class Archive> void serialize(Archive &Ar, PeerHeartbeat &Heartbeat) {
  wire::transferProtocol(Ar, PeerHeartbeat::Protocol);
  wire::transferText(Ar, Heartbeat.Node, wire::MaxNameBytes);
  Ar(Heartbeat.Incarnation, Heartbeat.ConfigVersion,
     Heartbeat.DirectoryVersion);
  wire::transferFlag(Ar, Heartbeat.IsLeaving);
  // As the limit of the list's length: a datagram has fewer entries than bytes.
  wire::transferList(Ar, Heartbeat.InFlight, MaxPeerDatagramBytes);
  size_t Peers =
      wire::transferLength(Ar, Heartbeat.PeerIps.size(), MaxNamedPeers);
  Heartbeat.PeerIps.resize(Peers);
  for (std::string &Ip : Heartbeat.PeerIps)
    wire::transferText(Ar, Ip, wire::MaxNameBytes);
}

template <class Archive> void serialize(Archive &Ar, EngineNotice &Notice) {
  wire::transferProtocol(Ar, EngineNotice::Protocol);
  wire::transferText(Ar, Notice.EngineAddress, wire::MaxNameBytes);
  wire::transferEnum(Ar, Notice.Condition, dispatch::EngineCondition::Opened);
}

template <class Archive> void serialize(Archive &Ar, NoticeDigest &Digest) {
  wire::transferProtocol(Ar, NoticeDigest::Protocol);
  wire::transferList(Ar, Digest.Entries, MaxPeerDatagramBytes);
}

template <class Archive> void serialize(Archive &Ar, LeavingDigest &Digest) {
  wire::transferProtocol(Ar, LeavingDigest::Protocol);
  wire::transferList(Ar, Digest.Leaving, MaxPeerDatagramBytes);
}

template <class Archive> void serialize(Archive &Ar, RateLimitDigest &Digest) {
  wire::transferProtocol(Ar, RateLimitDigest::Protocol);
  wire::transferList(Ar, Digest.Limits, MaxPeerDatagramBytes);
}

template <class Archive> void serialize(Archive &Ar, ColdDigest &Digest) {
  wire::transferProtocol(Ar, ColdDigest::Protocol);
  wire::transferList(Ar, Digest.Cold, MaxPeerDatagramBytes);
}

/// Datagrams of type \p Digest with all of \p Entries, each of which takes
/// \p EntryBytes.
template <class Digest, class Entry>
std::vector<std::string> encodeInParts(std::span<const Entry> Entries,
                                       size_t EntryBytes) {
  const size_t EntriesPerDatagram =
      (MaxPeerDatagramBytes - HeaderBytes) / EntryBytes;
  std::vector<std::string> Result;
  while (!Entries.empty()) {
    auto Part = Entries.first(std::min(Entries.size(), EntriesPerDatagram));
    Result.push_back(wire::toArchive(Digest{{Part.begin(), Part.end()}}));
    Entries = Entries.subspan(Part.size());
  }
  return Result;
}

std::string encodeHeartbeat(PeerHeartbeat Heartbeat) {
  std::string Bytes = wire::toArchive(Heartbeat);
  if (Bytes.size() <= MaxPeerDatagramBytes)
    return Bytes;
  // Other nodes send the peers' addresses too, while only this node knows its
  // own loads, of which the highest matter most.
  Heartbeat.PeerIps.clear();
  std::sort(
      Heartbeat.InFlight.begin(), Heartbeat.InFlight.end(),
      [](const dispatch::InFlightReport &A, const dispatch::InFlightReport &B) {
        return A.Count > B.Count;
      });
  Bytes = wire::toArchive(Heartbeat);
  while (Bytes.size() > MaxPeerDatagramBytes && !Heartbeat.InFlight.empty()) {
    Heartbeat.InFlight.resize(Heartbeat.InFlight.size() * 3 / 4);
    Bytes = wire::toArchive(Heartbeat);
  }
  return Bytes;
}

absl::StatusOr<PeerHeartbeat> decodeHeartbeat(std::string_view Datagram) {
  return wire::fromDatagram<PeerHeartbeat>(Datagram, MaxPeerDatagramBytes);
}

std::string encodeNotice(const EngineNotice &Notice) {
  return wire::toArchive(Notice);
}

absl::StatusOr<EngineNotice> decodeNotice(std::string_view Datagram) {
  return wire::fromDatagram<EngineNotice>(Datagram, MaxPeerDatagramBytes);
}

std::vector<std::string>
encodeDigests(std::span<const dispatch::EngineConditionReport> Entries) {
  // An entry takes its key and one byte for the condition.
  return encodeInParts<NoticeDigest>(Entries, sizeof(uint64_t) + 1);
}

absl::StatusOr<NoticeDigest> decodeDigest(std::string_view Datagram) {
  return wire::fromDatagram<NoticeDigest>(Datagram, MaxPeerDatagramBytes);
}

std::vector<std::string>
encodeLeaving(std::span<const dispatch::ServerRun> Leaving) {
  return encodeInParts<LeavingDigest>(Leaving, sizeof(dispatch::ServerRun));
}

absl::StatusOr<LeavingDigest> decodeLeaving(std::string_view Datagram) {
  return wire::fromDatagram<LeavingDigest>(Datagram, MaxPeerDatagramBytes);
}

std::vector<std::string>
encodeRateLimits(std::span<const dispatch::RateLimitReport> Limits) {
  // An entry takes a run, a limit with its flag, and an age.
  return encodeInParts<RateLimitDigest>(Limits, sizeof(dispatch::ServerRun) +
                                                    1 + sizeof(uint32_t) +
                                                    sizeof(uint16_t));
}

absl::StatusOr<RateLimitDigest> decodeRateLimits(std::string_view Datagram) {
  return wire::fromDatagram<RateLimitDigest>(Datagram, MaxPeerDatagramBytes);
}

std::vector<std::string>
encodeCold(std::span<const dispatch::ColdReport> Cold) {
  return encodeInParts<ColdDigest>(Cold, sizeof(dispatch::ServerRun) +
                                             sizeof(uint32_t));
}

absl::StatusOr<ColdDigest> decodeCold(std::string_view Datagram) {
  return wire::fromDatagram<ColdDigest>(Datagram, MaxPeerDatagramBytes);
}

template <class Archive> void serialize(Archive &Ar, EngineList &List) {
  size_t Count = wire::transferLength(Ar, List.Ips.size(), wire::MaxListLength);
  List.Ips.resize(Count);
  for (std::string &Ip : List.Ips)
    wire::transferText(Ar, Ip, wire::MaxNameBytes);
}

std::string encodeEngineList(const EngineList &List) {
  return wire::toArchive(List);
}

absl::StatusOr<EngineList> decodeEngineList(std::string_view Bytes) {
  return wire::fromArchive<EngineList>(Bytes);
}

std::string encodeDirectory(const DirectorySnapshot &Snapshot) {
  return wire::toArchive(Snapshot);
}

absl::StatusOr<DirectorySnapshot> decodeDirectory(std::string_view Bytes) {
  return wire::fromArchive<DirectorySnapshot>(Bytes);
}

} // namespace ragwort::fleet
