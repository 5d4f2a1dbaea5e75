//===- FleetSettings.cpp - Parsing, merging and checking ------------------===//
//
// Each document is parsed into sparse entries, whose keys are optional and
// which record their locations. These are merged and then checked against each
// other, so that each problem is reported with its file and line.
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
// Shares may have decimals; rounding can bring their sum slightly above 100.
constexpr double ShareTolerancePercent = 1e-6;

// In the order of RoutingPolicy.
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
  /// Each sets one scalar value of the document in the merged settings.
  std::vector<std::function<void(FleetSettings &)>> Assignments;
};

/// Adds an assignment of \p Given, if it is set, to \p Member of the settings'
/// \p Part.
template <class Section, class Field, class Value>
void addAssignment(SparseDocument &Document, Section FleetSettings::*Part,
                   Field Section::*Member, const std::optional<Value> &Given) {
  if (!Given)
    return;
  Document.Assignments.push_back([=, NewValue = *Given](FleetSettings &Fleet) {
    (Fleet.*Part).*Member = static_cast<Field>(NewValue);
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
  auto Assign = [&](auto Member, const auto &Value) {
    addAssignment(Document, &FleetSettings::Limits, Member, Value);
  };
  Assign(&LimitSettings::MaxBodyBytes, Map.bytes("max_body", 1024, 4 << 20));
  Assign(&LimitSettings::MaxHeaderBytes,
         Map.bytes("max_header", 1024, 64 << 10));
  Assign(&LimitSettings::MaxConnections,
         Map.number("max_connections", 1, 65536));
  Assign(&LimitSettings::AgentQueue, Map.number("agent_queue", 0, 65536));
  Assign(&LimitSettings::Attempts, Map.number("attempts", 1, 10));
  Assign(&LimitSettings::RetryBudgetPercent, Map.percent("retry_budget"));
  Assign(&LimitSettings::Subset, Map.number("subset", 1, 256));
}

void readTiming(MapReader &Map, SparseDocument &Document) {
  auto Assign = [&](std::string_view Key, auto Member, Duration Low,
                    Duration High) {
    addAssignment(Document, &FleetSettings::Timing, Member,
                  Map.duration(Key, Low, High));
  };
  Assign("heartbeat_interval", &TimingSettings::HeartbeatInterval, 50ms, 10s);
  Assign("suspect_after", &TimingSettings::SuspectAfter, 100ms, 60s);
  Assign("config_poll_interval", &TimingSettings::ConfigPollInterval, 50ms,
         60s);
  Assign("list_poll_interval", &TimingSettings::ListPollInterval, 100ms, 10min);
}

void readJournal(MapReader &Map, SparseDocument &Document) {
  auto Assign = [&](auto Member, const auto &Value) {
    addAssignment(Document, &FleetSettings::Journal, Member, Value);
  };
  Assign(&JournalSettings::Shards, Map.number("shards", 1, 1024));
  Assign(&JournalSettings::CommitInterval,
         Map.duration("commit_interval", 0us, 10s));
  Assign(&JournalSettings::OwnerTimeout,
         Map.duration("owner_timeout", 100ms, 60s));
  Assign(&JournalSettings::AppendTimeout,
         Map.duration("append_timeout", 100ms, 60s));
}

void readRouting(MapReader &Map, SparseDocument &Document) {
  std::optional<std::string> Policy = Map.choice("policy", PolicyNames);
  if (!Policy)
    return;
  auto NameIt = std::find(PolicyNames.begin(), PolicyNames.end(), *Policy);
  auto Value = static_cast<RoutingPolicy>(NameIt - PolicyNames.begin());
  Document.Assignments.push_back(
      [=](FleetSettings &Fleet) { Fleet.Routing = Value; });
}

void readObjective(MapReader &Map, SparseDocument &Document) {
  addAssignment(Document, &FleetSettings::Objective,
                &ObjectiveSettings::SkewWeight, Map.fraction("skew_weight"));
  addAssignment(Document, &FleetSettings::Objective,
                &ObjectiveSettings::RebalancingWeight,
                Map.fraction("rebalancing_weight"));
}

SparseDocument readDocument(const DocumentText &Source,
                            Problems &FoundProblems) {
  SparseDocument Document;
  std::optional<YAML::Node> Root =
      loadYamlMap(Source.Name, Source.Text, FoundProblems);
  if (!Root)
    return Document;
  MapReader Map(*Root, std::string(Source.Name), "", FoundProblems);
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

template <class T>
void replaceIfSet(std::optional<T> &Base, std::optional<T> &Overlay) {
  if (Overlay)
    Base = std::move(Overlay);
}

void mergeEntry(SparseDataCentre &Base, SparseDataCentre &Overlay) {
  replaceIfSet(Base.Region, Overlay.Region);
}
void mergeEntry(SparseOrganisation &Base, SparseOrganisation &Overlay) {
  replaceIfSet(Base.SharePercent, Overlay.SharePercent);
  replaceIfSet(Base.MaxConcurrent, Overlay.MaxConcurrent);
}
void mergeEntry(SparseService &Base, SparseService &Overlay) {
  replaceIfSet(Base.Kind, Overlay.Kind);
  replaceIfSet(Base.Routes, Overlay.Routes);
  replaceIfSet(Base.Deadline, Overlay.Deadline);
  replaceIfSet(Base.DataCentres, Overlay.DataCentres);
  replaceIfSet(Base.Organisations, Overlay.Organisations);
}
void mergeEntry(SparseInstance &Base, SparseInstance &Overlay) {
  replaceIfSet(Base.Role, Overlay.Role);
  replaceIfSet(Base.DataCentre, Overlay.DataCentre);
  replaceIfSet(Base.Peer, Overlay.Peer);
  replaceIfSet(Base.Admin, Overlay.Admin);
  replaceIfSet(Base.Service, Overlay.Service);
  replaceIfSet(Base.Group, Overlay.Group);
  replaceIfSet(Base.Rank, Overlay.Rank);
}

template <class T>
void reportDuplicates(const std::vector<T> &Entries, Problems &FoundProblems) {
  std::map<std::string, int> FirstLine;
  for (const T &Entry : Entries) {
    auto [First, IsNew] = FirstLine.emplace(Entry.Name, Entry.Location.Line);
    if (!IsNew)
      FoundProblems.push_back(
          {Entry.Location, "repeats the name '" + Entry.Name + "' of line " +
                               std::to_string(First->second)});
  }
}

template <class T>
std::vector<T> mergeLists(std::vector<T> Base, std::vector<T> Overlay,
                          Problems &FoundProblems) {
  reportDuplicates(Base, FoundProblems);
  reportDuplicates(Overlay, FoundProblems);
  std::map<std::string, size_t> Index;
  for (size_t I = 0; I < Base.size(); ++I)
    Index.emplace(Base[I].Name, I);
  for (T &Entry : Overlay) {
    auto Match = Index.find(Entry.Name);
    if (Match == Index.end()) {
      Base.push_back(std::move(Entry));
      continue;
    }
    mergeEntry(Base[Match->second], Entry);
    Base[Match->second].Location = Entry.Location;
  }
  return Base;
}

/// Converts merged entries into settings and checks them against each other.
class FleetBuilder {
public:
  FleetBuilder(FleetSettings &Fleet, Problems &FoundProblems)
      : Fleet(Fleet), FoundProblems(FoundProblems) {}

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
    for (auto [Key, IsPresent] :
         {std::pair("role", Entry.Role.has_value()),
          std::pair("data_centre", Entry.DataCentre.has_value()),
          std::pair("peer", Entry.Peer.has_value())})
      if (!IsPresent)
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

  void checkReferences() {
    for (const ServiceSettings &Service : Fleet.Services) {
      for (const std::string &Name : Service.DataCentres)
        if (!Fleet.dataCentre(Name))
          reportUnknownName(Service.Location, "data_centres", "data centre",
                            Name);
      for (const std::string &Name : Service.Organisations)
        if (!Fleet.organisation(Name))
          reportUnknownName(Service.Location, "organisations", "organisation",
                            Name);
    }
    for (const InstanceSettings &Instance : Fleet.Instances) {
      if (!Instance.DataCentre.empty() &&
          !Fleet.dataCentre(Instance.DataCentre))
        reportUnknownName(Instance.Location, "data_centre", "data centre",
                          Instance.DataCentre);
      if (!Instance.Service.empty() && !Fleet.service(Instance.Service))
        reportUnknownName(Instance.Location, "service", "service",
                          Instance.Service);
    }
  }

  /// Checks that the ranks of each group are numbered from 0 without gaps.
  void checkGroups() {
    std::map<std::string, std::map<uint32_t, const InstanceSettings *>> Groups;
    for (const InstanceSettings &Instance : Fleet.Instances) {
      if (Instance.Group.empty())
        continue;
      bool IsNew =
          Groups[Instance.Group].emplace(Instance.Rank, &Instance).second;
      if (!IsNew)
        report(Instance.Location, "rank",
               "is used twice in group '" + Instance.Group + "'");
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

  void checkTimingAndObjective() {
    // Merged scalar values have no location, so the problems name the site
    // instead of a file.
    const TimingSettings &Timing = Fleet.Timing;
    if (Timing.SuspectAfter < 2 * Timing.HeartbeatInterval)
      FoundProblems.push_back({{Fleet.Site, 1, "timing.suspect_after"},
                               "is shorter than two heartbeat intervals"});
    if (Fleet.Objective.SkewWeight + Fleet.Objective.RebalancingWeight <= 0)
      FoundProblems.push_back(
          {{Fleet.Site, 1, "objective"}, "has no weight above 0"});
  }

private:
  void report(Origin Location, std::string_view Key, std::string Reason) {
    Location.Key += "." + std::string(Key);
    FoundProblems.push_back({std::move(Location), std::move(Reason)});
  }
  void reportUnknownName(const Origin &Location, std::string_view Key,
                         std::string_view EntryType, const std::string &Name) {
    report(Location, Key,
           "names no " + std::string(EntryType) + " '" + Name + "'");
  }

  FleetSettings &Fleet;
  Problems &FoundProblems;
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
  Problems FoundProblems;
  SparseDocument ParsedBase = readDocument(Base, FoundProblems);
  SparseDocument ParsedOverlay = readDocument(Overlay, FoundProblems);
  FleetSettings Fleet;
  Fleet.Site =
      ParsedOverlay.Site ? *ParsedOverlay.Site : ParsedBase.Site.value_or("");
  for (const auto &Assign : ParsedBase.Assignments)
    Assign(Fleet);
  for (const auto &Assign : ParsedOverlay.Assignments)
    Assign(Fleet);
  FleetBuilder Builder(Fleet, FoundProblems);
  for (const auto &Entry :
       mergeLists(std::move(ParsedBase.DataCentres),
                  std::move(ParsedOverlay.DataCentres), FoundProblems))
    Builder.addDataCentre(Entry);
  for (const auto &Entry :
       mergeLists(std::move(ParsedBase.Organisations),
                  std::move(ParsedOverlay.Organisations), FoundProblems))
    Builder.addOrganisation(Entry);
  for (const auto &Entry :
       mergeLists(std::move(ParsedBase.Services),
                  std::move(ParsedOverlay.Services), FoundProblems))
    Builder.addService(Entry);
  for (const auto &Entry :
       mergeLists(std::move(ParsedBase.Instances),
                  std::move(ParsedOverlay.Instances), FoundProblems))
    Builder.addInstance(Entry);
  Builder.checkReferences();
  Builder.checkGroups();
  Builder.checkShares();
  Builder.checkTimingAndObjective();
  if (!FoundProblems.empty())
    return toStatus(FoundProblems);
  return Fleet;
}

} // namespace ragwort::settings
