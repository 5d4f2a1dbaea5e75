//===- Experiments.h - Measurements of the decision libraries -------------===//
//
// Each experiment drives the libraries that the daemons use with a small model
// of the load, prints Markdown tables and writes SVG plots. Seeds are fixed.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_TESTING_EXPERIMENTS_H
#define RAGWORT_TESTING_EXPERIMENTS_H

#include <ostream>
#include <string>
#include <vector>

namespace ragwort::experiments {

/// Placement and rebalancing over a day; plots go to \p PlotFolder.
void runPlacement(std::ostream &Out, const std::string &PlotFolder);
/// Routing policies with lagging load reports.
void runRouting(std::ostream &Out, const std::string &PlotFolder);
/// Shares of capacity under saturation, and overload.
void runShares(std::ostream &Out, const std::string &PlotFolder);

/// Times and sizes of single decisions at several sizes.
void runCapacity(std::ostream &Out, const std::string &PlotFolder);

/// One line of a plot.
struct Series {
  std::string Name;
  std::vector<double> X;
  std::vector<double> Y;
};

/// Writes a line plot as SVG.
void writePlot(const std::string &Path, const std::string &Title,
               const std::string &XLabel, const std::string &YLabel,
               const std::vector<Series> &Lines);

/// \p Value with \p Digits digits behind the point.
std::string fixedText(double Value, int Digits);

} // namespace ragwort::experiments

#endif
