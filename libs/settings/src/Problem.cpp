//===- Problem.cpp - Formatting of settings problems ----------------------===//
#include "ragwort/settings/Problem.h"

namespace ragwort::settings {

std::string toString(const Problem &P) {
  std::string Text =
      P.Location.File + ":" + std::to_string(P.Location.Line) + ": ";
  if (!P.Location.Key.empty())
    Text += P.Location.Key + ": ";
  return Text + P.Reason;
}

absl::Status toStatus(const Problems &All) {
  if (All.empty())
    return absl::OkStatus();
  std::string Text;
  for (const Problem &P : All)
    Text += (Text.empty() ? "" : "\n") + toString(P);
  return absl::InvalidArgumentError(Text);
}

} // namespace ragwort::settings
