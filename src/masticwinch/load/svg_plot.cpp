#include "masticwinch/load/svg_plot.hpp"

#include "masticwinch/markup/escape_markup.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace masticwinch {

namespace {

constexpr double Width = 760;
constexpr double Height = 300;
constexpr double Left = 70;
constexpr double Right = 180;
constexpr double Top = 30;
constexpr double Bottom = 45;
constexpr int Ticks = 5;
constexpr std::array<const char *, 8> Colors{"#1f77b4", "#d62728", "#2ca02c",
                                             "#9467bd", "#ff7f0e", "#17becf",
                                             "#8c564b", "#e377c2"};

/// Rounds a value up to 1, 2, 5 or 10 times a power of ten.
double roundUp(double value) {
  if (value <= 0) {
    return 1;
  }
  const double unit = std::pow(10, std::floor(std::log10(value)));
  for (double factor : {1.0, 2.0, 5.0}) {
    if (factor * unit >= value) {
      return factor * unit;
    }
  }
  return 10 * unit;
}

/// Maps values to coordinates in the image.
struct Scale {
  explicit Scale(const Plot &plot) {
    for (const PlotSeries &series : plot.Series) {
      for (const PlotPoint &it : series.Points) {
        MaxX = std::max(MaxX, it.X);
        MaxY = std::max(MaxY, it.Y);
      }
    }
    MaxX = MaxX > 0 ? MaxX : 1;
    MaxY = roundUp(MaxY);
  }

  double x(double value) const {
    return Left + value / MaxX * (Width - Left - Right);
  }
  double y(double value) const {
    return Height - Bottom - value / MaxY * (Height - Top - Bottom);
  }

  double MaxX = 0;
  double MaxY = 0;
};

std::string text(double x, double y, const std::string &anchor,
                 const std::string &content) {
  return fmt::format("<text x=\"{:.1f}\" y=\"{:.1f}\" text-anchor=\"{}\">"
                     "{}</text>\n",
                     x, y, anchor, escapeMarkup(content));
}

std::string axes(const Plot &plot, const Scale &scale) {
  constexpr double LabelGap = 16;
  std::string out;
  for (int i = 0; i <= Ticks; ++i) {
    const double x = scale.MaxX * i / Ticks;
    const double y = scale.MaxY * i / Ticks;
    out += fmt::format("<path d=\"M{:.1f} {:.1f}H{:.1f}\" stroke=\"#ddd\"/>\n",
                       Left, scale.y(y), Width - Right);
    out += text(scale.x(x), Height - Bottom + LabelGap, "middle",
                fmt::format("{:.3g}", x));
    out += text(Left - LabelGap / 2, scale.y(y) + LabelGap / 4, "end",
                fmt::format("{:.3g}", y));
  }
  out += text((Left + Width - Right) / 2, Height - LabelGap / 2, "middle",
              plot.XLabel);
  out += text(Left - LabelGap, Top - LabelGap / 2, "middle", plot.YLabel);
  return out;
}

std::string line(const PlotSeries &series, const Scale &scale,
                 std::size_t index) {
  constexpr double LegendStep = 18;
  const char *color = Colors[index % Colors.size()];
  std::string points;
  for (const PlotPoint &it : series.Points) {
    points += fmt::format("{:.1f},{:.1f} ", scale.x(it.X), scale.y(it.Y));
  }
  const double y = Top + LegendStep * double(index + 1);
  return fmt::format("<polyline points=\"{}\" fill=\"none\" stroke=\"{}\" "
                     "stroke-width=\"1.5\"/>\n<g fill=\"{}\">",
                     points, color, color) +
         text(Width - Right + LegendStep, y, "start", series.Name) + "</g>\n";
}

} // namespace

std::string renderSvg(const Plot &plot) {
  const Scale scale(plot);
  std::string out = fmt::format(
      "<figure><figcaption>{}</figcaption>\n<svg viewBox=\"0 0 {} {}\" "
      "width=\"{}\" font-family=\"sans-serif\" font-size=\"11\">\n",
      escapeMarkup(plot.Title), Width, Height, Width);
  out += axes(plot, scale);
  for (std::size_t i = 0; i < plot.Series.size(); ++i) {
    out += line(plot.Series[i], scale, i);
  }
  return out + "</svg></figure>\n";
}

} // namespace masticwinch
