//===- ConfigReplica.cpp - A node's copy of the configuration -------------===//
#include "ragwort/config/ConfigReplica.h"
#include "ragwort/config/TextChange.h"

namespace ragwort::config {

namespace {

constexpr size_t MaxRecentChanges = 256;

} // namespace

std::string overlayDocument(std::string_view Site) {
  return "overlay/" + std::string(Site);
}

std::optional<std::string_view>
ConfigReplica::document(std::string_view Name) const {
  auto It = Documents.find(Name);
  if (It == Documents.end())
    return std::nullopt;
  return It->second;
}

MergeResult ConfigReplica::merge(const wire::ConfigReply &Reply) {
  if (Reply.Version <= Version)
    return MergeResult::Unchanged;
  if (Reply.Documents.empty())
    return mergeChanges(Reply);
  Documents.clear();
  for (const wire::ConfigDocument &Document : Reply.Documents)
    Documents[Document.Name] = Document.Text;
  RecentChanges.clear();
  Version = Reply.Version;
  return MergeResult::Advanced;
}

MergeResult ConfigReplica::mergeChanges(const wire::ConfigReply &Reply) {
  uint64_t Before = Version;
  for (const wire::ConfigChange &Change : Reply.Changes) {
    if (Change.Version <= Version)
      continue;
    if (Change.Version != Version + 1)
      return MergeResult::NeedsFullDocuments;
    auto It = Documents.find(Change.Document);
    std::string_view Old =
        It == Documents.end() ? std::string_view() : It->second;
    absl::StatusOr<std::string> Text = applyChange(Old, Change);
    if (!Text.ok())
      return MergeResult::NeedsFullDocuments;
    Documents[Change.Document] = std::move(*Text);
    Version = Change.Version;
    RecentChanges.push_back(Change);
    if (RecentChanges.size() > MaxRecentChanges)
      RecentChanges.pop_front();
  }
  if (Version < Reply.Version)
    return MergeResult::NeedsFullDocuments;
  return Version > Before ? MergeResult::Advanced : MergeResult::Unchanged;
}

wire::ConfigReply ConfigReplica::replyTo(const wire::ConfigFetch &Fetch) const {
  wire::ConfigReply Reply;
  Reply.Stream = Fetch.Stream;
  Reply.Version = Version;
  if (Fetch.HaveVersion >= Version)
    return Reply;
  uint64_t Missing = Version - Fetch.HaveVersion;
  if (Missing <= RecentChanges.size()) {
    Reply.Changes.assign(RecentChanges.end() - static_cast<ptrdiff_t>(Missing),
                         RecentChanges.end());
    return Reply;
  }
  for (const auto &[Name, Text] : Documents)
    Reply.Documents.push_back({Name, Text});
  return Reply;
}

} // namespace ragwort::config
