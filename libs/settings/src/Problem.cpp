//===- Problem.cpp - Printing of settings problems ------------------------===//
#include "ragwort/settings/Problem.h"

namespace ragwort::settings {

std::string toString(const Problem &P) {
  std::string Text = P.Where.File + ":" + std::to_string(P.Where.Line) + ": ";
  if (!P.Where.Key.empty())
    Text += P.Where.Key + ": ";
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
