//===- FleetSettings.cpp - Parsing, merging and checking ------------------===//
//
// Each document is parsed into sparse entries that remember where they were
// written; merging and the checks across entries work on those, so that every
// problem can name its file and line.
//
//===----------------------------------------------------------------------===//
#include "ragwort/settings/FleetSettings.h"
#include "YamlReader.h"
#include <algorithm>
#include <functional>
#include <map>

namespace ragwort::settings {

namespace {

using namespace std::chrono_literals;

constexpr Duration DefaultServiceDeadline = 30s;
constexpr uint32_t DefaultMaxConcurrent = 1024;
// Shares are written with decimals; their sum may exceed 100 by rounding.
constexpr double ShareTolerancePercent = 1e-6;

const std::vector<std::string> PolicyNames = {
    "random",        "round-robin",     "least-outstanding", "two-choices",
    "expected-wait", "prefix-affinity", "backpressure",      "own-load"};

struct SparseDataCentre {
  std::string Name;
  std::optional<std::string> Region;
  Origin Location;
};

struct SparseOrganisation {
  std::string Name;
  std::optional<double> SharePercent;
  std::optional<uint64_t> MaxConcurrent;
  Origin Location;
};

struct SparseService {
  std::string Name;
  std::optional<std::string> Kind;
  std::optional<std::vector<RouteSettings>> Routes;
  std::optional<Duration> Deadline;
  std::optional<std::vector<std::string>> DataCentres;
  std::optional<std::vector<std::string>> Organisations;
  Origin Location;
};

struct SparseInstance {
  std::string Name;
  std::optional<std::string> Role;
  std::optional<std::string> DataCentre;
  std::optional<Address> Peer;
  std::optional<Address> Admin;
  std::optional<std::string> Service;
  std::optional<std::string> Group;
  std::optional<uint64_t> Rank;
  Origin Location;
};

struct SparseDocument {
  std::optional<std::string> Site;
  std::vector<SparseDataCentre> DataCentres;
  std::vector<SparseOrganisation> Organisations;
  std::vector<SparseService> Services;
  std::vector<SparseInstance> Instances;
  /// Applies the single values of the document, in document order.
  std::vector<std::function<void(FleetSettings &)>> Values;
};

/// Remembers to copy \p Value into \p Place of the merged settings.
template <class Section, class Field, class Value>
void keep(SparseDocument &Document, Section FleetSettings::*Part,
          Field Section::*Place, const std::optional<Value> &V) {
  if (!V)
    return;
  Document.Values.push_back([=, Kept = *V](FleetSettings &Fleet) {
    (Fleet.*Part).*Place = static_cast<Field>(Kept);
  });
}

RouteSettings readRoute(MapReader &Map) {
  RouteSettings Route;
  Map.require("prefix");
  Route.Method = Map.choice("method", {"*", "GET", "HEAD", "POST", "PUT",
                                       "PATCH", "DELETE", "OPTIONS"})
                     .value_or("*");
  Route.Prefix = Map.text("prefix").value_or("/");
  if (Route.Prefix.empty() || Route.Prefix.front() != '/')
    Map.report("prefix", "must begin with /");
  Route.NonIdempotent = Map.flag("non_idempotent").value_or(false);
  return Route;
}

SparseService readService(MapReader &Map) {
  SparseService Service;
  Map.require("name");
  Service.Name = Map.name("name").value_or("");
  Service.Kind = Map.choice("kind", {"model", "plain"});
  Service.Deadline = Map.duration("deadline", 10ms, 24h);
  Service.DataCentres = Map.names("data_centres");
  Service.Organisations = Map.names("organisations");
  if (Map.has("routes"))
    Service.Routes.emplace();
  Map.list("routes", [&](MapReader &Route) {
    Service.Routes->push_back(readRoute(Route));
  });
  Service.Location = Map.origin();
  return Service;
}

SparseInstance readInstance(MapReader &Map) {
  SparseInstance Instance;
  Map.require("name");
  Instance.Name = Map.name("name").value_or("");
  Instance.Role = Map.choice("role", {"entry", "agent"});
  Instance.DataCentre = Map.name("data_centre");
  Instance.Peer = Map.address("peer");
  Instance.Admin = Map.address("admin");
  Instance.Service = Map.name("service");
  Instance.Group = Map.name("group");
  Instance.Rank = Map.number("rank", 0, 1023);
  Instance.Location = Map.origin();
  return Instance;
}

void readLimits(MapReader &Map, SparseDocument &Document) {
  auto Keep = [&](auto Place, const auto &Value) {
    keep(Document, &FleetSettings::Limits, Place, Value);
  };
  Keep(&LimitSettings::MaxBodyBytes, Map.bytes("max_body", 1024, 4 << 20));
  Keep(&LimitSettings::MaxHeaderBytes, Map.bytes("max_header", 1024, 64 << 10));
  Keep(&LimitSettings::MaxConnections, Map.number("max_connections", 1, 65536));
  Keep(&LimitSettings::AgentQueue, Map.number("agent_queue", 0, 65536));
  Keep(&LimitSettings::Attempts, Map.number("attempts", 1, 10));
  Keep(&LimitSettings::RetryBudgetPercent, Map.percent("retry_budget"));
  Keep(&LimitSettings::Subset, Map.number("subset", 1, 256));
}

void readTiming(MapReader &Map, SparseDocument &Document) {
  auto Keep = [&](std::string_view Key, auto Place, Duration Low,
                  Duration High) {
    keep(Document, &FleetSettings::Timing, Place, Map.duration(Key, Low, High));
  };
  Keep("heartbeat_interval", &TimingSettings::HeartbeatInterval, 50ms, 10s);
  Keep("suspect_after", &TimingSettings::SuspectAfter, 100ms, 60s);
  Keep("config_poll_interval", &TimingSettings::ConfigPollInterval, 50ms, 60s);
  Keep("list_poll_interval", &TimingSettings::ListPollInterval, 100ms, 10min);
}

void readJournal(MapReader &Map, SparseDocument &Document) {
  auto Keep = [&](auto Place, const auto &Value) {
    keep(Document, &FleetSettings::Journal, Place, Value);
  };
  Keep(&JournalSettings::Shards, Map.number("shards", 1, 1024));
  Keep(&JournalSettings::CommitInterval,
       Map.duration("commit_interval", 0us, 10s));
  Keep(&JournalSettings::OwnerTimeout,
       Map.duration("owner_timeout", 100ms, 60s));
  Keep(&JournalSettings::AppendTimeout,
       Map.duration("append_timeout", 100ms, 60s));
}

void readRouting(MapReader &Map, SparseDocument &Document) {
  std::optional<std::string> Policy = Map.choice("policy", PolicyNames);
  if (!Policy)
    return;
  auto Found = std::find(PolicyNames.begin(), PolicyNames.end(), *Policy);
  auto Value = static_cast<RoutingPolicy>(Found - PolicyNames.begin());
  Document.Values.push_back(
      [=](FleetSettings &Fleet) { Fleet.Routing = Value; });
}

void readObjective(MapReader &Map, SparseDocument &Document) {
  keep(Document, &FleetSettings::Objective, &ObjectiveSettings::SkewWeight,
       Map.fraction("skew_weight"));
  keep(Document, &FleetSettings::Objective,
       &ObjectiveSettings::RebalancingWeight,
       Map.fraction("rebalancing_weight"));
}

SparseDocument readDocument(const DocumentText &Source, Problems &Found) {
  SparseDocument Document;
  std::optional<YAML::Node> Root = loadYamlMap(Source.Name, Source.Text, Found);
  if (!Root)
    return Document;
  MapReader Map(*Root, std::string(Source.Name), "", Found);
  Document.Site = Map.name("site");
  Map.list("data_centres", [&](MapReader &Item) {
    Item.require("name");
    SparseDataCentre DataCentre;
    DataCentre.Name = Item.name("name").value_or("");
    DataCentre.Region = Item.name("region");
    DataCentre.Location = Item.origin();
    Document.DataCentres.push_back(std::move(DataCentre));
  });
  Map.list("organisations", [&](MapReader &Item) {
    Item.require("name");
    SparseOrganisation Organisation;
    Organisation.Name = Item.name("name").value_or("");
    Organisation.SharePercent = Item.percent("share");
    Organisation.MaxConcurrent = Item.number("max_concurrent", 1, 1 << 20);
    Organisation.Location = Item.origin();
    Document.Organisations.push_back(std::move(Organisation));
  });
  Map.list("services", [&](MapReader &Item) {
    Document.Services.push_back(readService(Item));
  });
  Map.list("instances", [&](MapReader &Item) {
    Document.Instances.push_back(readInstance(Item));
  });
  Map.map("limits", [&](MapReader &Item) { readLimits(Item, Document); });
  Map.map("timing", [&](MapReader &Item) { readTiming(Item, Document); });
  Map.map("journal", [&](MapReader &Item) { readJournal(Item, Document); });
  Map.map("routing", [&](MapReader &Item) { readRouting(Item, Document); });
  Map.map("objective", [&](MapReader &Item) { readObjective(Item, Document); });
  Map.finish();
  return Document;
}

template <class T> void overlay(std::optional<T> &Base, std::optional<T> &Top) {
  if (Top)
    Base = std::move(Top);
}

void mergeEntry(SparseDataCentre &Base, SparseDataCentre &Top) {
  overlay(Base.Region, Top.Region);
}
void mergeEntry(SparseOrganisation &Base, SparseOrganisation &Top) {
  overlay(Base.SharePercent, Top.SharePercent);
  overlay(Base.MaxConcurrent, Top.MaxConcurrent);
}
void mergeEntry(SparseService &Base, SparseService &Top) {
  overlay(Base.Kind, Top.Kind);
  overlay(Base.Routes, Top.Routes);
  overlay(Base.Deadline, Top.Deadline);
  overlay(Base.DataCentres, Top.DataCentres);
  overlay(Base.Organisations, Top.Organisations);
}
void mergeEntry(SparseInstance &Base, SparseInstance &Top) {
  overlay(Base.Role, Top.Role);
  overlay(Base.DataCentre, Top.DataCentre);
  overlay(Base.Peer, Top.Peer);
  overlay(Base.Admin, Top.Admin);
  overlay(Base.Service, Top.Service);
  overlay(Base.Group, Top.Group);
  overlay(Base.Rank, Top.Rank);
}

template <class T>
void reportDuplicates(const std::vector<T> &Entries, Problems &Found) {
  std::map<std::string, int> FirstLine;
  for (const T &Entry : Entries) {
    auto [Place, IsNew] = FirstLine.emplace(Entry.Name, Entry.Location.Line);
    if (!IsNew)
      Found.push_back({Entry.Location, "repeats the name '" + Entry.Name +
                                           "' of line " +
                                           std::to_string(Place->second)});
  }
}

template <class T>
std::vector<T> mergeLists(std::vector<T> Base, std::vector<T> Top,
                          Problems &Found) {
  reportDuplicates(Base, Found);
  reportDuplicates(Top, Found);
  std::map<std::string, size_t> Index;
  for (size_t I = 0; I < Base.size(); ++I)
    Index.emplace(Base[I].Name, I);
  for (T &Entry : Top) {
    auto Place = Index.find(Entry.Name);
    if (Place == Index.end()) {
      Base.push_back(std::move(Entry));
      continue;
    }
    mergeEntry(Base[Place->second], Entry);
    Base[Place->second].Location = Entry.Location;
  }
  return Base;
}

/// Turns sparse entries into settings and checks what spans entries.
class Assembler {
public:
  Assembler(FleetSettings &Fleet, Problems &Found)
      : Fleet(Fleet), Found(Found) {}

  void addDataCentre(const SparseDataCentre &Entry) {
    if (!Entry.Region)
      report(Entry.Location, "region", "is missing");
    Fleet.DataCentres.push_back(
        {Entry.Name, Entry.Region.value_or(""), Entry.Location});
  }

  void addOrganisation(const SparseOrganisation &Entry) {
    OrganisationSettings Organisation;
    Organisation.Name = Entry.Name;
    Organisation.SharePercent = Entry.SharePercent.value_or(0);
    Organisation.MaxConcurrent = static_cast<uint32_t>(
        Entry.MaxConcurrent.value_or(DefaultMaxConcurrent));
    Organisation.Location = Entry.Location;
    Fleet.Organisations.push_back(std::move(Organisation));
  }

  void addService(const SparseService &Entry) {
    if (!Entry.Kind)
      report(Entry.Location, "kind", "is missing");
    if (!Entry.Routes || Entry.Routes->empty())
      report(Entry.Location, "routes", "is missing or empty");
    ServiceSettings Service;
    Service.Name = Entry.Name;
    Service.Kind = Entry.Kind.value_or("plain") == "model" ? ServiceKind::Model
                                                           : ServiceKind::Plain;
    Service.Routes = Entry.Routes.value_or(std::vector<RouteSettings>());
    Service.Deadline = Entry.Deadline.value_or(DefaultServiceDeadline);
    Service.DataCentres =
        Entry.DataCentres.value_or(std::vector<std::string>());
    Service.Organisations =
        Entry.Organisations.value_or(std::vector<std::string>());
    Service.Location = Entry.Location;
    Fleet.Services.push_back(std::move(Service));
  }

  void addInstance(const SparseInstance &Entry) {
    for (auto [Key, IsThere] :
         {std::pair("role", Entry.Role.has_value()),
          std::pair("data_centre", Entry.DataCentre.has_value()),
          std::pair("peer", Entry.Peer.has_value())})
      if (!IsThere)
        report(Entry.Location, Key, "is missing");
    InstanceSettings Instance;
    Instance.Name = Entry.Name;
    Instance.Role = Entry.Role.value_or("entry") == "agent"
                        ? InstanceRole::Agent
                        : InstanceRole::Entry;
    Instance.DataCentre = Entry.DataCentre.value_or("");
    Instance.Peer = Entry.Peer.value_or(Address());
    Instance.Admin = Entry.Admin.value_or(Address());
    Instance.Service = Entry.Service.value_or("");
    Instance.Group = Entry.Group.value_or("");
    Instance.Rank = static_cast<uint32_t>(Entry.Rank.value_or(0));
    Instance.Location = Entry.Location;
    if (Instance.Role == InstanceRole::Agent && !Entry.Service)
      report(Entry.Location, "service", "is missing for an agent");
    Fleet.Instances.push_back(std::move(Instance));
  }

  void checkNames() {
    for (const ServiceSettings &Service : Fleet.Services) {
      for (const std::string &Name : Service.DataCentres)
        if (!Fleet.dataCentre(Name))
          dangling(Service.Location, "data_centres", "data centre", Name);
      for (const std::string &Name : Service.Organisations)
        if (!Fleet.organisation(Name))
          dangling(Service.Location, "organisations", "organisation", Name);
    }
    for (const InstanceSettings &Instance : Fleet.Instances) {
      if (!Instance.DataCentre.empty() &&
          !Fleet.dataCentre(Instance.DataCentre))
        dangling(Instance.Location, "data_centre", "data centre",
                 Instance.DataCentre);
      if (!Instance.Service.empty() && !Fleet.service(Instance.Service))
        dangling(Instance.Location, "service", "service", Instance.Service);
    }
  }

  /// The ranks of a group are numbered from 0 without gaps.
  void checkGroups() {
    std::map<std::string, std::map<uint32_t, const InstanceSettings *>> Groups;
    for (const InstanceSettings &Instance : Fleet.Instances) {
      if (Instance.Group.empty())
        continue;
      bool IsNew =
          Groups[Instance.Group].emplace(Instance.Rank, &Instance).second;
      if (!IsNew)
        report(Instance.Location, "rank",
               "is taken twice in group '" + Instance.Group + "'");
    }
    for (const auto &[Name, Ranks] : Groups)
      if (Ranks.rbegin()->first + 1 != Ranks.size())
        report(Ranks.rbegin()->second->Location, "rank",
               "leaves a gap in group '" + Name + "'");
  }

  void checkShares() {
    double Sum = 0;
    for (const OrganisationSettings &Organisation : Fleet.Organisations) {
      Sum += Organisation.SharePercent;
      if (Sum <= 100 + ShareTolerancePercent)
        continue;
      report(Organisation.Location, "share",
             "brings the sum of shares to " + std::to_string(Sum) +
                 "%, over 100%");
      return;
    }
  }

  void checkTiming() {
    const TimingSettings &Timing = Fleet.Timing;
    if (Timing.SuspectAfter < 2 * Timing.HeartbeatInterval)
      Found.push_back({{Fleet.Site, 1, "timing.suspect_after"},
                       "is shorter than two heartbeat intervals"});
    if (Fleet.Objective.SkewWeight + Fleet.Objective.RebalancingWeight <= 0)
      Found.push_back({{Fleet.Site, 1, "objective"}, "has no weight above 0"});
  }

private:
  void report(Origin Location, std::string_view Key, std::string Reason) {
    Location.Key += "." + std::string(Key);
    Found.push_back({std::move(Location), std::move(Reason)});
  }
  void dangling(const Origin &Location, std::string_view Key,
                std::string_view What, const std::string &Name) {
    report(Location, Key, "names no " + std::string(What) + " '" + Name + "'");
  }

  FleetSettings &Fleet;
  Problems &Found;
};

template <class T>
const T *findByName(const std::vector<T> &Entries, std::string_view Name) {
  for (const T &Entry : Entries)
    if (Entry.Name == Name)
      return &Entry;
  return nullptr;
}

/// Whether \p Path lies under \p Prefix, comparing whole segments.
bool isUnder(std::string_view Path, std::string_view Prefix) {
  if (!Path.starts_with(Prefix))
    return false;
  return Prefix.ends_with('/') || Path.size() == Prefix.size() ||
         Path[Prefix.size()] == '/';
}

} // namespace

const OrganisationSettings *
FleetSettings::organisation(std::string_view Name) const {
  return findByName(Organisations, Name);
}
const ServiceSettings *FleetSettings::service(std::string_view Name) const {
  return findByName(Services, Name);
}
const InstanceSettings *FleetSettings::instance(std::string_view Name) const {
  return findByName(Instances, Name);
}
const DataCentreSettings *
FleetSettings::dataCentre(std::string_view Name) const {
  return findByName(DataCentres, Name);
}

std::optional<RouteMatch> matchRoute(const FleetSettings &Fleet,
                                     std::string_view Method,
                                     std::string_view Target) {
  std::string_view Path = Target.substr(0, Target.find('?'));
  std::optional<RouteMatch> Best;
  std::pair<size_t, bool> BestRank;
  for (const ServiceSettings &Service : Fleet.Services) {
    for (const RouteSettings &Route : Service.Routes) {
      bool IsAnyMethod = Route.Method == "*";
      if ((!IsAnyMethod && Route.Method != Method) ||
          !isUnder(Path, Route.Prefix))
        continue;
      std::pair Rank(Route.Prefix.size(), !IsAnyMethod);
      if (Best && Rank <= BestRank)
        continue;
      Best = RouteMatch{&Service, Route.NonIdempotent};
      BestRank = Rank;
    }
  }
  return Best;
}

absl::StatusOr<FleetSettings> loadFleetSettings(const DocumentText &Base,
                                                const DocumentText &Overlay) {
  Problems Found;
  SparseDocument Bottom = readDocument(Base, Found);
  SparseDocument Top = readDocument(Overlay, Found);
  FleetSettings Fleet;
  Fleet.Site = Top.Site ? *Top.Site : Bottom.Site.value_or("");
  for (const auto &Apply : Bottom.Values)
    Apply(Fleet);
  for (const auto &Apply : Top.Values)
    Apply(Fleet);
  Assembler Assembly(Fleet, Found);
  for (const auto &Entry : mergeLists(std::move(Bottom.DataCentres),
                                      std::move(Top.DataCentres), Found))
    Assembly.addDataCentre(Entry);
  for (const auto &Entry : mergeLists(std::move(Bottom.Organisations),
                                      std::move(Top.Organisations), Found))
    Assembly.addOrganisation(Entry);
  for (const auto &Entry :
       mergeLists(std::move(Bottom.Services), std::move(Top.Services), Found))
    Assembly.addService(Entry);
  for (const auto &Entry :
       mergeLists(std::move(Bottom.Instances), std::move(Top.Instances), Found))
    Assembly.addInstance(Entry);
  Assembly.checkNames();
  Assembly.checkGroups();
  Assembly.checkShares();
  Assembly.checkTiming();
  if (!Found.empty())
    return toStatus(Found);
  return Fleet;
}

} // namespace ragwort::settings
