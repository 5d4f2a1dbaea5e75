//===- PeerBeat.cpp - Heartbeat between gateway nodes ---------------------===//
#include "ragwort/gateway/PeerBeat.h"
#include "ragwort/wire/Archived.h"
#include "ragwort/wire/Bounded.h"
#include <algorithm>
#include <limits>

namespace ragwort::gateway {

template <class Archive> void serialize(Archive &Ar, InFlightReport &Report) {
  constexpr uint32_t Most = std::numeric_limits<uint16_t>::max();
  auto Count = static_cast<uint16_t>(std::min(Report.Count, Most));
  auto Gap = static_cast<uint16_t>(std::min(Report.GapMillis, Most));
  Ar(Report.InstanceKey, Count, Gap);
  Report.Count = Count;
  Report.GapMillis = Gap;
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

template <class Archive> void serialize(Archive &Ar, DirectorySnapshot &S) {
  Ar(S.Version);
  wire::transferList(Ar, S.Instances, wire::MaxListLength);
}

template <class Archive> void serialize(Archive &Ar, PeerBeat &Beat) {
  uint16_t Protocol = PeerBeat::Protocol;
  Ar(Protocol);
  if (Protocol != PeerBeat::Protocol)
    throw cereal::Exception("heartbeat of protocol version " +
                            std::to_string(Protocol));
  wire::transferText(Ar, Beat.Node, wire::MaxNameBytes);
  Ar(Beat.Incarnation, Beat.ConfigVersion, Beat.DirectoryVersion);
  wire::transferFlag(Ar, Beat.IsLeaving);
  wire::transferList(Ar, Beat.InFlight, MaxBeatBytes);
  wire::transferList(Ar, Beat.Stragglers, MaxNamedStragglers);
  size_t Peers = wire::transferLength(Ar, Beat.PeerIps.size(), MaxNamedPeers);
  Beat.PeerIps.resize(Peers);
  for (std::string &Ip : Beat.PeerIps)
    wire::transferText(Ar, Ip, wire::MaxNameBytes);
}

template <class Archive> void serialize(Archive &Ar, StragglerNotice &Notice) {
  uint16_t Protocol = StragglerNotice::Protocol;
  Ar(Protocol);
  if (Protocol != StragglerNotice::Protocol)
    throw cereal::Exception("straggler notice of protocol version " +
                            std::to_string(Protocol));
  wire::transferText(Ar, Notice.EngineAddress, wire::MaxNameBytes);
  Ar(Notice.PacePercent);
}

std::string encodeBeat(PeerBeat Beat) {
  if (Beat.Stragglers.size() > MaxNamedStragglers)
    Beat.Stragglers.resize(MaxNamedStragglers);
  std::string Bytes = wire::toArchive(Beat);
  if (Bytes.size() <= MaxBeatBytes)
    return Bytes;
  // Names of peers are repeated by others; loads are known here only, and the
  // highest ones matter most.
  Beat.PeerIps.clear();
  std::sort(Beat.InFlight.begin(), Beat.InFlight.end(),
            [](const InFlightReport &A, const InFlightReport &B) {
              return A.Count > B.Count;
            });
  Bytes = wire::toArchive(Beat);
  while (Bytes.size() > MaxBeatBytes && !Beat.InFlight.empty()) {
    Beat.InFlight.resize(Beat.InFlight.size() * 3 / 4);
    Bytes = wire::toArchive(Beat);
  }
  return Bytes;
}

absl::StatusOr<PeerBeat> decodeBeat(std::string_view Datagram) {
  if (Datagram.size() > MaxBeatBytes)
    return absl::InvalidArgumentError("heartbeat is too large");
  return wire::fromArchive<PeerBeat>(Datagram);
}

std::string encodeNotice(const StragglerNotice &Notice) {
  return wire::toArchive(Notice);
}

absl::StatusOr<StragglerNotice> decodeNotice(std::string_view Datagram) {
  if (Datagram.size() > MaxBeatBytes)
    return absl::InvalidArgumentError("straggler notice is too large");
  return wire::fromArchive<StragglerNotice>(Datagram);
}

std::string encodeDirectory(const DirectorySnapshot &Snapshot) {
  return wire::toArchive(Snapshot);
}

absl::StatusOr<DirectorySnapshot> decodeDirectory(std::string_view Bytes) {
  return wire::fromArchive<DirectorySnapshot>(Bytes);
}

} // namespace ragwort::gateway
