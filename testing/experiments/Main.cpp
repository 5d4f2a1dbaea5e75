//===- Main.cpp - Entry point of ragwort-experiments ----------------------===//
//
// Runs one of the experiments whose results the design documents quote.
//
//===----------------------------------------------------------------------===//
#include "Experiments.h"
#include <fstream>
#include <iostream>
#include <string>

int main(int Argc, char **Argv) {
  using namespace ragwort::experiments;
  if (Argc != 3) {
    std::cerr << "usage: ragwort-experiments "
                 "placement|routing|shares|capacity OUTPUT-FOLDER\n";
    return 2;
  }
  std::string Name = Argv[1];
  std::string Folder = Argv[2];
  std::ofstream Out(Folder + "/" + Name + ".md");
  if (!Out) {
    std::cerr << "cannot write to " << Folder << "\n";
    return 1;
  }
  Out << "<!-- Written by make experiments. -->\n";
  if (Name == "placement")
    runPlacement(Out, Folder);
  else if (Name == "routing")
    runRouting(Out, Folder);
  else if (Name == "shares")
    runShares(Out, Folder);
  else if (Name == "capacity")
    runCapacity(Out, Folder);
  else
    return 2;
  return 0;
}
