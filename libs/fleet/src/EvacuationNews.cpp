//===- EvacuationNews.cpp - Tells peers which data centres are evacuated --===//
#include "ragwort/fleet/EvacuationNews.h"
#include "ragwort/wire/Archived.h"
#include "ragwort/wire/Bounded.h"

namespace ragwort::fleet {

template <class Archive> void serialize(Archive &Ar, EvacuationDigest &Digest) {
  using dispatch::Evacuations;
  dispatch::EvacuationTable &Table = Digest.Table;
  wire::transferProtocol(Ar, EvacuationDigest::Protocol);
  Ar(Table.Version.Era, Table.Version.Number);
  std::vector<std::string> Names(Table.DataCentres.begin(),
                                 Table.DataCentres.end());
  Names.resize(
      wire::transferLength(Ar, Names.size(), Evacuations::MaxDataCentres));
  for (std::string &Name : Names)
    wire::transferText(Ar, Name, Evacuations::MaxNameBytes);
  Table.DataCentres = dispatch::DataCentreSet(Names.begin(), Names.end());
}

std::string encodeEvacuations(const dispatch::EvacuationTable &Table) {
  return wire::toArchive(EvacuationDigest{Table});
}

absl::StatusOr<EvacuationDigest> decodeEvacuations(std::string_view Datagram) {
  return wire::fromDatagram<EvacuationDigest>(Datagram, MaxPeerDatagramBytes);
}

NewsChannel evacuationNews(gateway::Gateway &Node) {
  return {
      EvacuationDigest::Protocol,
      [&Node](TimePoint Now) {
        std::vector<std::string> Datagrams;
        if (auto Table = Node.evacuations().takeNews(Now))
          Datagrams.push_back(encodeEvacuations(*Table));
        return Datagrams;
      },
      [&Node](std::string_view Datagram, const std::string &, TimePoint Now) {
        auto Digest = decodeEvacuations(Datagram);
        if (Digest.ok() &&
            Node.evacuations().onPeerTable(std::move(Digest->Table), Now))
          Node.onEvacuationsChanged();
      }};
}

} // namespace ragwort::fleet
