#include "masticwinch/load/load_result.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace masticwinch {

namespace {

using Json = nlohmann::ordered_json;

/// Latency buckets from 10 microseconds to 100 seconds, 8 % apart.
constexpr HistogramRange LatencyRange{0.00001, 100, 210};

Json quantiles(const Histogram &latency) {
  Json json;
  json["p50"] = latency.quantile(0.5);
  json["p90"] = latency.quantile(0.9);
  json["p99"] = latency.quantile(0.99);
  json["p999"] = latency.quantile(0.999);
  json["max"] = latency.quantile(1);
  return json;
}

Json intervalJson(const LoadInterval &interval) {
  return {{"intended", interval.Intended},
          {"answered", interval.Answered},
          {"p50_seconds", interval.Latency->quantile(0.5)},
          {"p99_seconds", interval.Latency->quantile(0.99)}};
}

Json streamJson(const LoadStreamResult &stream, double seconds) {
  Json json;
  json["name"] = stream.name();
  json["sent"] = stream.sent();
  json["resends"] = stream.resends();
  for (const auto &it : EnumNames<LoadOutcome>::Table) {
    json[std::string(it.Name)] = stream.ended(it.Value);
  }
  json["answered_per_second"] =
      seconds > 0 ? double(stream.ended(LoadOutcome::Answered)) / seconds : 0;
  json["max_generator_lag_seconds"] = stream.maxLag();
  json["latency_seconds"] = quantiles(stream.latency());
  json["intervals"] = Json::array();
  for (const LoadInterval &it : stream.intervals()) {
    json["intervals"].push_back(intervalJson(it));
  }
  return json;
}

} // namespace

LoadStreamResult::LoadStreamResult(std::string name)
    : Name(std::move(name)),
      Latency(std::make_unique<Histogram>(LatencyRange)) {}

void LoadStreamResult::recordSent(double intendedAt, double lagSeconds) {
  ++SentCount;
  ++intervalAt(intendedAt).Intended;
  MaxLagSeconds = std::max(MaxLagSeconds, lagSeconds);
}

void LoadStreamResult::recordEnd(double intendedAt, LoadOutcome outcome,
                                 double latencySeconds) {
  ++Ends[static_cast<std::size_t>(outcome)];
  if (outcome == LoadOutcome::Answered) {
    LoadInterval &interval = intervalAt(intendedAt);
    ++interval.Answered;
    interval.Latency->record(latencySeconds);
    Latency->record(latencySeconds);
  }
}

std::uint64_t LoadStreamResult::ended(LoadOutcome outcome) const {
  return Ends[static_cast<std::size_t>(outcome)];
}

LoadInterval &LoadStreamResult::intervalAt(double seconds) {
  const auto index = static_cast<std::size_t>(seconds);
  while (Intervals.size() <= index) {
    Intervals.push_back({0, 0, std::make_unique<Histogram>(LatencyRange)});
  }
  return Intervals[index];
}

Json LoadResult::json() const {
  Json json;
  json["plan"] = Plan;
  json["seed"] = Seed;
  json["targets"] = Targets;
  json["seconds"] = Seconds;
  json["streams"] = Json::array();
  for (const auto &it : Streams) {
    json["streams"].push_back(streamJson(*it, Seconds));
  }
  return json;
}

} // namespace masticwinch
