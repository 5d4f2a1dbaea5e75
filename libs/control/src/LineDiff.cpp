//===- LineDiff.cpp - Difference of two documents for operators -----------===//
#include "ragwort/control/LineDiff.h"
#include <algorithm>
#include <cstdint>
#include <vector>

namespace ragwort::control {

namespace {

// Beyond this many cells the changed range is shown as a whole.
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

/// Lengths of longest common subsequences of all suffixes of two line lists.
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
  std::vector<std::string_view> A = splitLines(Old);
  std::vector<std::string_view> B = splitLines(New);
  size_t Shorter = std::min(A.size(), B.size());
  size_t Head = 0;
  while (Head < Shorter && A[Head] == B[Head])
    ++Head;
  size_t Tail = 0;
  while (Tail < Shorter - Head &&
         A[A.size() - 1 - Tail] == B[B.size() - 1 - Tail])
    ++Tail;
  size_t Rows = A.size() - Head - Tail;
  size_t Columns = B.size() - Head - Tail;
  bool IsSmall = (Rows + 1) * (Columns + 1) <= MaxTableCells;
  SuffixTable Common(IsSmall ? Rows : 0, IsSmall ? Columns : 0);
  for (size_t I = IsSmall ? Rows : 0; I-- > 0;)
    for (size_t J = Columns; J-- > 0;)
      Common.at(I, J) =
          A[Head + I] == B[Head + J]
              ? Common.at(I + 1, J + 1) + 1
              : std::max(Common.at(I + 1, J), Common.at(I, J + 1));
  std::string Result;
  auto Print = [&](char Sign, size_t Line, std::string_view Text) {
    Result += Sign + std::to_string(Head + Line + 1) + " ";
    Result += Text;
    Result += '\n';
  };
  size_t I = 0;
  size_t J = 0;
  while (I < Rows || J < Columns) {
    bool IsBoth = IsSmall && I < Rows && J < Columns;
    if (IsBoth && A[Head + I] == B[Head + J]) {
      ++I;
      ++J;
    } else if (I < Rows &&
               (!IsBoth || Common.at(I + 1, J) >= Common.at(I, J + 1))) {
      Print('-', I, A[Head + I]);
      ++I;
    } else {
      Print('+', J, B[Head + J]);
      ++J;
    }
  }
  return Result;
}

} // namespace ragwort::control
