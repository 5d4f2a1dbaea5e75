//===- Experiments.h - Experiments with the decision libraries ------------===//
//
// Each experiment runs the decision libraries of the daemons against a small
// load model, prints Markdown tables and may write SVG plots. Seeds are fixed.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_TESTING_EXPERIMENTS_H
#define RAGWORT_TESTING_EXPERIMENTS_H

#include <ostream>
#include <string>
#include <vector>

namespace ragwort::experiments {

/// Expert placement and rebalancing over a simulated day. This and the other
/// experiments write tables to \p Out and plots to \p PlotFolder.
void runPlacement(std::ostream &Out, const std::string &PlotFolder);
/// Routing policies with delayed load reports.
void runRouting(std::ostream &Out, const std::string &PlotFolder);
/// Capacity shares of organisations under saturation, and goodput under
/// overload.
void runShares(std::ostream &Out, const std::string &PlotFolder);

/// CPU times and sizes of single operations for several input sizes. Writes no
/// plots.
void runCapacity(std::ostream &Out, const std::string &PlotFolder);

/// One line of a plot, through the points (X[I], Y[I]).
struct Series {
  std::string Name;
  std::vector<double> X;
  std::vector<double> Y;
};

/// Writes a line plot to the SVG file \p Path.
void writePlot(const std::string &Path, const std::string &Title,
               const std::string &XLabel, const std::string &YLabel,
               const std::vector<Series> &Lines);

/// \p Value with \p Digits digits after the decimal point.
std::string formatFixed(double Value, int Digits);

} // namespace ragwort::experiments

#endif
