//===- Evacuations.cpp - Data centres that are sent no requests -----------===//
#include "ragwort/dispatch/Evacuations.h"
#include "ragwort/observe/Log.h"
#include <utility>

namespace ragwort::dispatch {

bool Evacuations::isDataCentre(std::string_view Name) const {
  return !Name.empty() && Name.size() <= MaxNameBytes &&
         (Existing.empty() || Existing.contains(Name));
}

bool Evacuations::isWithinLimit(const DataCentreSet &Names,
                                std::string_view Name) const {
  if (Names.contains(Name) || Names.size() < MaxDataCentres)
    return true;
  logEvent(LogLevel::Error, "evacuations-limit-reached",
           {{"data_centre", Name}, {"evacuated", Names.size()}});
  return false;
}

bool Evacuations::setInForce(DataCentreSet Names, std::string_view Source,
                             TimePoint Now) {
  if (Names == Evacuated)
    return false;
  DataCentreSet Before = std::exchange(Evacuated, std::move(Names));
  auto Log = [&](std::string_view Event, std::string_view Name) {
    logEvent(LogLevel::Warning, Event,
             {{"data_centre", Name},
              {"source", Source},
              {"version", toString(Version)}});
  };
  for (const std::string &Name : Evacuated)
    if (!Before.contains(Name))
      Log("evacuation-began", Name);
  for (const std::string &Name : Before)
    if (!Evacuated.contains(Name))
      Log("evacuation-ended", Name);
  TellUntil = Now + ForwardTime;
  return true;
}

bool Evacuations::replaceAll(EvacuationTable Table,
                             std::optional<TimePoint> GraceUntil,
                             std::string_view Source, TimePoint Now) {
  if (Table.Version < Version)
    return false;
  bool IsRestored = isKnown() && Table.Version.Era > Version.Era;
  Version = Table.Version;
  DataCentreSet Names;
  for (const std::string &Name : Table.DataCentres)
    if (isDataCentre(Name) && isWithinLimit(Names, Name))
      Names.insert(Name);
  // A second list within the grace period does not end it.
  if (IsRestored && GraceUntil)
    Restored = RestoredTable{Names, *GraceUntil};
  else if (Restored)
    Restored->DataCentres = Names;
  if (Restored)
    return false;
  return setInForce(std::move(Names), Source, Now);
}

bool Evacuations::apply(std::span<const EvacuationChange> Changes,
                        StoreVersion NewVersion, std::string_view Source,
                        TimePoint Now) {
  if (NewVersion < Version)
    return false;
  Version = NewVersion;
  DataCentreSet Names = Evacuated;
  for (const EvacuationChange &Change : Changes) {
    if (!Change.IsEvacuated)
      Names.erase(Change.DataCentre);
    else if (isDataCentre(Change.DataCentre) &&
             isWithinLimit(Names, Change.DataCentre))
      Names.insert(Change.DataCentre);
    if (!Restored)
      continue;
    // What is written after the restore counts at once and stays.
    if (Names.contains(Change.DataCentre))
      Restored->DataCentres.insert(Change.DataCentre);
    else
      Restored->DataCentres.erase(Change.DataCentre);
  }
  return setInForce(std::move(Names), Source, Now);
}

bool Evacuations::onPeerTable(EvacuationTable Table, TimePoint Now) {
  if (Table.Version > Version)
    return replaceAll(std::move(Table), Now + StoreRecoveryGrace, "peer", Now);
  bool IsOutdated =
      Table.Version < Version &&
      (Table.Version == StoreVersion() || Table.DataCentres != Evacuated);
  if (IsOutdated)
    TellUntil = Now + ForwardTime;
  return false;
}

bool Evacuations::expire(TimePoint Now) {
  if (!Restored || Now < Restored->CountsAt)
    return false;
  DataCentreSet Names = std::move(Restored->DataCentres);
  Restored.reset();
  return setInForce(std::move(Names), "restored-store", Now);
}

std::optional<EvacuationTable> Evacuations::takeNews(TimePoint Now) {
  // During a grace period the version does not describe what is in force.
  if (Restored)
    return std::nullopt;
  bool IsRepeated = Now >= NextTell && (!isKnown() || !Evacuated.empty());
  if (!IsRepeated && (!isKnown() || Now >= TellUntil))
    return std::nullopt;
  NextTell = Now + RepeatInterval;
  return EvacuationTable{Version, Evacuated};
}

} // namespace ragwort::dispatch
