#pragma once

#include <string>
#include <vector>

namespace masticwinch {

struct PlotPoint {
  double X = 0;
  double Y = 0;
};

/// A line of a plot.
struct PlotSeries {
  std::string Name;
  std::vector<PlotPoint> Points;
};

/// A line plot with linear axes that start at zero.
struct Plot {
  std::string Title;
  std::string XLabel;
  std::string YLabel;
  std::vector<PlotSeries> Series;
};

/// Renders the plot as an SVG element in an HTML figure.
std::string renderSvg(const Plot &plot);

} // namespace masticwinch
