//===- EvacuationSink.cpp - Applies operators' evacuations to the gateway -===//
#include "ragwort/fleet/EvacuationSink.h"
#include "ragwort/observe/Log.h"

namespace ragwort::fleet {

std::optional<std::string>
EvacuationSink::dataCentreOf(const StoredRow &Row) const {
  std::optional<std::string> Name = Decode(Row.Key);
  if (!Name || Row.IsRemoved || Node.evacuations().isDataCentre(*Name))
    return Name;
  logEvent(LogLevel::Error, "evacuation-rejected",
           {{"row", Row.Key},
            {"field", "data-centre"},
            {"value", *Name},
            {"reason", "unknown data centre"},
            {"version", Row.Version}});
  return Name;
}

void EvacuationSink::onList(RowList List, std::optional<TimePoint> GraceUntil) {
  dispatch::EvacuationTable Table{List.Version, {}};
  for (const StoredRow &Row : List.Rows)
    if (auto Name = dataCentreOf(Row))
      Table.DataCentres.insert(std::move(*Name));
  if (Node.evacuations().replaceAll(std::move(Table), GraceUntil, "store",
                                    SteadyClock().now()))
    Node.onEvacuationsChanged();
}

void EvacuationSink::onChanges(RowChanges Changes, std::optional<TimePoint>) {
  std::vector<dispatch::EvacuationChange> Decoded;
  for (const StoredRow &Row : Changes.Rows)
    if (auto Name = dataCentreOf(Row))
      Decoded.push_back({std::move(*Name), !Row.IsRemoved});
  if (Node.evacuations().apply(Decoded, Changes.Version, "store",
                               SteadyClock().now()))
    Node.onEvacuationsChanged();
}

} // namespace ragwort::fleet
