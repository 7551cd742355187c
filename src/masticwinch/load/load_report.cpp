#include "masticwinch/load/load_report.hpp"

#include "masticwinch/load/load_result.hpp"
#include "masticwinch/load/svg_plot.hpp"
#include "masticwinch/markup/escape_markup.hpp"

#include <fmt/format.h>

namespace masticwinch {

namespace {

constexpr double MillisPerSecond = 1000;

const char *const PageStart = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Load report</title><style>
body { font: 14px sans-serif; margin: 1em 2em; }
table { border-collapse: collapse; }
td, th { padding: 2px 8px; border: 1px solid #ccc; text-align: right; }
figure { margin: 1em 0; }
figcaption { font-weight: 600; }
</style></head><body>
)";

std::string cell(double value) { return fmt::format("<td>{:.4g}</td>", value); }

std::string tableHead() {
  std::string out = "<table><tr><th>stream</th><th>sent</th><th>resends</th>";
  for (const auto &it : EnumNames<LoadOutcome>::Table) {
    out += fmt::format("<th>{}</th>", it.Name);
  }
  return out + "<th>p50 ms</th><th>p99 ms</th><th>p99.9 ms</th>"
               "<th>generator lag ms</th></tr>\n";
}

std::string tableRow(const LoadStreamResult &stream) {
  std::string out =
      fmt::format("<tr><td>{}</td><td>{}</td><td>{}</td>",
                  escapeMarkup(stream.name()), stream.sent(), stream.resends());
  for (const auto &it : EnumNames<LoadOutcome>::Table) {
    out += fmt::format("<td>{}</td>", stream.ended(it.Value));
  }
  for (double share : {0.5, 0.99, 0.999}) {
    out += cell(stream.latency().quantile(share) * MillisPerSecond);
  }
  return out + cell(stream.maxLag() * MillisPerSecond) + "</tr>\n";
}

Plot ratePlot(const LoadResult &result) {
  Plot plot{
      "Requests by intended send time", "second of the run", "requests/s", {}};
  for (const auto &stream : result.Streams) {
    PlotSeries intended{stream->name() + " sent", {}};
    PlotSeries answered{stream->name() + " answered", {}};
    double second = 0;
    for (const LoadInterval &it : stream->intervals()) {
      intended.Points.push_back({second, double(it.Intended)});
      answered.Points.push_back({second, double(it.Answered)});
      ++second;
    }
    plot.Series.push_back(std::move(intended));
    plot.Series.push_back(std::move(answered));
  }
  return plot;
}

Plot latencyPlot(const LoadResult &result) {
  Plot plot{"Latency by intended send time", "second of the run", "ms", {}};
  for (const auto &stream : result.Streams) {
    for (double share : {0.5, 0.99}) {
      PlotSeries series{fmt::format("{} p{:.0f}", stream->name(), share * 100),
                        {}};
      double second = 0;
      for (const LoadInterval &it : stream->intervals()) {
        const double seconds = it.Latency->quantile(share);
        series.Points.push_back({second++, seconds * MillisPerSecond});
      }
      plot.Series.push_back(std::move(series));
    }
  }
  return plot;
}

Plot percentilePlot(const LoadResult &result) {
  constexpr int Steps = 200;
  Plot plot{"Latency by percentile", "percentile", "ms", {}};
  for (const auto &stream : result.Streams) {
    PlotSeries series{stream->name(), {}};
    for (int i = 1; i < Steps; ++i) {
      const double share = double(i) / Steps;
      const double seconds = stream->latency().quantile(share);
      series.Points.push_back({share * 100, seconds * MillisPerSecond});
    }
    plot.Series.push_back(std::move(series));
  }
  return plot;
}

} // namespace

std::string renderLoadReport(const LoadResult &result) {
  std::string page = PageStart;
  page += fmt::format("<h1>{}</h1><p>Seed {}, {:.1f} s of arrivals, {} "
                      "targets. Latency counts from the intended send time."
                      "</p>\n",
                      escapeMarkup(result.Plan), result.Seed, result.Seconds,
                      result.Targets.size());
  page += tableHead();
  for (const auto &it : result.Streams) {
    page += tableRow(*it);
  }
  page += "</table>\n" + renderSvg(ratePlot(result)) +
          renderSvg(latencyPlot(result)) + renderSvg(percentilePlot(result));
  return page + "</body></html>\n";
}

} // namespace masticwinch
