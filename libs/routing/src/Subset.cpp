//===- Subset.cpp - Which backend servers an entry node uses --------------===//
#include "ragwort/routing/Subset.h"
#include "ragwort/base/Hash.h"
#include <algorithm>
#include <numeric>

namespace ragwort::routing {

namespace {

/// Indices of \p Names in an order that depends on their names and \p Seed.
std::vector<size_t> shuffled(std::span<const std::string> Names,
                             uint64_t Seed) {
  std::vector<uint64_t> Scores(Names.size());
  for (size_t I = 0; I < Names.size(); ++I)
    Scores[I] = hash64(Names[I], Seed);
  std::vector<size_t> Order(Names.size());
  std::iota(Order.begin(), Order.end(), 0);
  std::sort(Order.begin(), Order.end(), [&](size_t A, size_t B) {
    return std::pair(Scores[A], Names[A]) < std::pair(Scores[B], Names[B]);
  });
  return Order;
}

} // namespace

std::vector<size_t> deterministicSubset(std::string_view Self,
                                        std::span<const std::string> Entries,
                                        std::span<const std::string> Servers,
                                        size_t Size) {
  Size = std::min(Size, Servers.size());
  auto Place = std::find(Entries.begin(), Entries.end(), Self);
  if (Place == Entries.end() || Size == 0)
    return rendezvousPick(Self, Servers, Size);
  // The entry nodes deal from one endless sequence of shuffled rounds: node
  // number N takes the Size cards that follow those of number N - 1.
  std::vector<size_t> Turn = shuffled(Entries, 0);
  auto Self0 = static_cast<size_t>(Place - Entries.begin());
  auto Position = static_cast<size_t>(
      std::find(Turn.begin(), Turn.end(), Self0) - Turn.begin());
  std::vector<size_t> Result;
  size_t Card = Position * Size;
  while (Result.size() < Size) {
    size_t Round = Card / Servers.size();
    std::vector<size_t> Order = shuffled(Servers, Round + 1);
    for (size_t I = Card % Servers.size();
         I < Servers.size() && Result.size() < Size; ++I, ++Card)
      // A hand that spans two rounds may meet a card twice; it takes the next.
      if (std::find(Result.begin(), Result.end(), Order[I]) == Result.end())
        Result.push_back(Order[I]);
  }
  return Result;
}

} // namespace ragwort::routing
