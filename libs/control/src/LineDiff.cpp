//===- LineDiff.cpp - Line-by-line difference of two texts ----------------===//
#include "ragwort/control/LineDiff.h"
#include <algorithm>
#include <cstdint>
#include <vector>

namespace ragwort::control {

namespace {

// Bounds the memory of the table. If the changed range needs more cells, all
// its lines are printed as removed and added.
constexpr size_t MaxTableCells = 4'000'000;

std::vector<std::string_view> splitLines(std::string_view Text) {
  std::vector<std::string_view> Lines;
  while (!Text.empty()) {
    size_t End = Text.find('\n');
    Lines.push_back(Text.substr(0, End));
    Text = End == Text.npos ? std::string_view() : Text.substr(End + 1);
  }
  return Lines;
}

/// Lengths of the longest common subsequences of each pair of suffixes of two
/// lists of lines.
class SuffixTable {
public:
  SuffixTable(size_t Rows, size_t Columns)
      : Columns(Columns + 1), Cells((Rows + 1) * (Columns + 1), 0) {}
  uint32_t &at(size_t Row, size_t Column) {
    return Cells[Row * Columns + Column];
  }

private:
  size_t Columns;
  std::vector<uint32_t> Cells;
};

} // namespace

std::string lineDiff(std::string_view Old, std::string_view New) {
  std::vector<std::string_view> OldLines = splitLines(Old);
  std::vector<std::string_view> NewLines = splitLines(New);
  size_t Shorter = std::min(OldLines.size(), NewLines.size());
  size_t PrefixLines = 0;
  while (PrefixLines < Shorter &&
         OldLines[PrefixLines] == NewLines[PrefixLines])
    ++PrefixLines;
  size_t SuffixLines = 0;
  while (SuffixLines < Shorter - PrefixLines &&
         OldLines[OldLines.size() - 1 - SuffixLines] ==
             NewLines[NewLines.size() - 1 - SuffixLines])
    ++SuffixLines;
  size_t Rows = OldLines.size() - PrefixLines - SuffixLines;
  size_t Columns = NewLines.size() - PrefixLines - SuffixLines;
  bool IsWithinLimit = (Rows + 1) * (Columns + 1) <= MaxTableCells;
  SuffixTable CommonLengths(IsWithinLimit ? Rows : 0,
                            IsWithinLimit ? Columns : 0);
  for (size_t I = IsWithinLimit ? Rows : 0; I-- > 0;)
    for (size_t J = Columns; J-- > 0;)
      CommonLengths.at(I, J) =
          OldLines[PrefixLines + I] == NewLines[PrefixLines + J]
              ? CommonLengths.at(I + 1, J + 1) + 1
              : std::max(CommonLengths.at(I + 1, J),
                         CommonLengths.at(I, J + 1));
  std::string Result;
  auto Print = [&](char Sign, size_t Line, std::string_view Text) {
    Result += Sign + std::to_string(PrefixLines + Line + 1) + " ";
    Result += Text;
    Result += '\n';
  };
  size_t I = 0;
  size_t J = 0;
  while (I < Rows || J < Columns) {
    bool HasBoth = IsWithinLimit && I < Rows && J < Columns;
    if (HasBoth && OldLines[PrefixLines + I] == NewLines[PrefixLines + J]) {
      ++I;
      ++J;
    } else if (I < Rows && (!HasBoth || CommonLengths.at(I + 1, J) >=
                                            CommonLengths.at(I, J + 1))) {
      Print('-', I, OldLines[PrefixLines + I]);
      ++I;
    } else {
      Print('+', J, NewLines[PrefixLines + J]);
      ++J;
    }
  }
  return Result;
}

} // namespace ragwort::control
