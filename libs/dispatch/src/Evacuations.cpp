//===- Evacuations.cpp - Data centres that are sent no requests -----------===//
#include "ragwort/dispatch/Evacuations.h"
#include "ragwort/observe/Log.h"
#include <algorithm>
#include <iterator>
#include <utility>

namespace ragwort::dispatch {

bool Evacuations::isDataCentre(std::string_view Name) const {
  return !Name.empty() && Name.size() <= MaxNameBytes &&
         (Existing.empty() || Existing.contains(Name));
}

void Evacuations::add(DataCentreSet &Names, const std::string &Name) const {
  if (Name.empty() || Name.size() > MaxNameBytes || Names.contains(Name))
    return;
  if (Names.size() >= MaxDataCentres) {
    // A name that has no effect here makes room for one that has.
    auto Unknown =
        std::find_if(Names.begin(), Names.end(), [this](const auto &Other) {
          return !isDataCentre(Other);
        });
    if (!isDataCentre(Name) || Unknown == Names.end()) {
      logEvent(LogLevel::Error, "evacuations-limit-reached",
               {{"data_centre", Name}, {"evacuated", Names.size()}});
      return;
    }
    Names.erase(Unknown);
  }
  Names.insert(Name);
}

bool Evacuations::setInForce(DataCentreSet Names, std::string_view Source,
                             TimePoint Now) {
  Listed = std::move(Names);
  DataCentreSet Known;
  std::copy_if(Listed.begin(), Listed.end(), std::inserter(Known, Known.end()),
               [this](const auto &Name) { return isDataCentre(Name); });
  if (Known == Evacuated)
    return false;
  DataCentreSet Before = std::exchange(Evacuated, std::move(Known));
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
    add(Names, Name);
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
  DataCentreSet Names = Listed;
  for (const EvacuationChange &Change : Changes) {
    if (!Change.IsEvacuated)
      Names.erase(Change.DataCentre);
    else
      add(Names, Change.DataCentre);
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
      (Table.Version == StoreVersion() || Table.DataCentres != Listed);
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
  return EvacuationTable{Version, Listed};
}

} // namespace ragwort::dispatch
