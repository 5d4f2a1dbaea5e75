//===- Plot.cpp - Line plots as SVG ---------------------------------------===//
#include "Experiments.h"
#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>

namespace ragwort::experiments {

namespace {

// Sizes in pixels.
constexpr double Width = 640;
constexpr double Height = 380;
constexpr double LeftMargin = 70;
constexpr double RightMargin = 170;
constexpr double TopMargin = 40;
constexpr double BottomMargin = 50;
constexpr int TickCount = 5;
constexpr std::array<const char *, 7> Colours = {
    "#1b6ca8", "#c0392b", "#27ae60", "#8e44ad",
    "#d68910", "#16a085", "#555555"};

/// Range of the values on an axis.
struct Range {
  double Low = 1e300;
  double High = -1e300;
  void extendTo(double Value) {
    Low = std::min(Low, Value);
    High = std::max(High, Value);
  }
  /// Position of \p Value in the range, from 0 to 1.
  double relativePosition(double Value) const {
    return High > Low ? (Value - Low) / (High - Low) : 0.5;
  }
};

} // namespace

std::string formatFixed(double Value, int Digits) {
  std::array<char, 64> Text{};
  std::snprintf(Text.data(), Text.size(), "%.*f", Digits, Value);
  return Text.data();
}

void writePlot(const std::string &Path, const std::string &Title,
               const std::string &XLabel, const std::string &YLabel,
               const std::vector<Series> &Lines) {
  Range XRange;
  Range YRange;
  for (const Series &Line : Lines)
    for (size_t I = 0; I < Line.X.size(); ++I) {
      XRange.extendTo(Line.X[I]);
      YRange.extendTo(Line.Y[I]);
    }
  auto X = [&](double V) {
    return LeftMargin +
           XRange.relativePosition(V) * (Width - LeftMargin - RightMargin);
  };
  auto Y = [&](double V) {
    return Height - BottomMargin -
           YRange.relativePosition(V) * (Height - TopMargin - BottomMargin);
  };
  std::ofstream Out(Path);
  Out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << Width
      << "\" height=\"" << Height
      << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
      << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
      << "<text x=\"" << LeftMargin << "\" y=\"20\" font-size=\"15\">" << Title
      << "</text>\n"
      << "<text x=\"" << LeftMargin << "\" y=\"" << Height - 10 << "\">"
      << XLabel << "</text>\n<text x=\"10\" y=\"" << TopMargin - 6 << "\">"
      << YLabel << "</text>\n";
  for (int I = 0; I <= TickCount; ++I) {
    double XValue = XRange.Low + (XRange.High - XRange.Low) * I / TickCount;
    double YValue = YRange.Low + (YRange.High - YRange.Low) * I / TickCount;
    Out << "<line x1=\"" << LeftMargin << "\" y1=\"" << Y(YValue) << "\" x2=\""
        << Width - RightMargin << "\" y2=\"" << Y(YValue)
        << "\" stroke=\"#ddd\"/>\n"
        << "<text x=\"15\" y=\"" << Y(YValue) + 4 << "\">"
        << formatFixed(YValue, 2) << "</text>\n<text x=\"" << X(XValue) - 10
        << "\" y=\"" << Height - BottomMargin + 18 << "\">"
        << formatFixed(XValue, 1) << "</text>\n";
  }
  for (size_t L = 0; L < Lines.size(); ++L) {
    const char *Colour = Colours[L % Colours.size()];
    Out << "<polyline fill=\"none\" stroke=\"" << Colour
        << "\" stroke-width=\"2\" points=\"";
    for (size_t I = 0; I < Lines[L].X.size(); ++I)
      Out << X(Lines[L].X[I]) << ',' << Y(Lines[L].Y[I]) << ' ';
    double TextY = TopMargin + 18.0 * static_cast<double>(L + 1);
    Out << "\"/>\n<text x=\"" << Width - RightMargin + 12 << "\" y=\"" << TextY
        << "\" fill=\"" << Colour << "\">" << Lines[L].Name << "</text>\n";
  }
  Out << "</svg>\n";
}

} // namespace ragwort::experiments
