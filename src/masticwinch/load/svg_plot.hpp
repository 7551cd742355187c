#pragma once

#include <string>
#include <vector>

namespace masticwinch {

struct PlotPoint {
  double X = 0;
  double Y = 0;
};

/// One line of a plot.
struct PlotSeries {
  std::string Name;
  std::vector<PlotPoint> Points;
};

/// A plot of lines over linear axes that begin at zero.
struct Plot {
  std::string Title;
  std::string XLabel;
  std::string YLabel;
  std::vector<PlotSeries> Series;
};

/// The plot as an SVG element.
std::string renderSvg(const Plot &plot);

} // namespace masticwinch
