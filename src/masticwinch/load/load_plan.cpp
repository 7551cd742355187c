#include "masticwinch/load/load_plan.hpp"

#include "masticwinch/settings/settings_reader.hpp"

#include <algorithm>

namespace masticwinch {

namespace {

constexpr double SecondsPerMinute = 60;
constexpr SettingsRange RatePerMinute{0, 60'000'000};
constexpr SettingsRange PhaseMilliseconds{1, 86'400'000};
constexpr SettingsRange BodyBytes{0, 16 * 1024 * 1024};
constexpr SettingsRange TimeoutMilliseconds{1, 3'600'000};
constexpr SettingsRange ResendCount{0, 100};
constexpr std::int64_t DefaultBodyBytes = 200;
constexpr Milliseconds DefaultTimeout{5000};
constexpr Milliseconds DefaultResendAfter{100};

double readRate(SettingsReader &reader, const std::string &key) {
  return double(reader.requiredInteger(key, RatePerMinute)) / SecondsPerMinute;
}

ArrivalPhase readPhase(SettingsReader &reader) {
  constexpr double MillisPerSecond = 1000;
  ArrivalPhase phase;
  phase.Kind = reader.optionalEnum("arrivals", ArrivalKind::Poisson);
  phase.Seconds =
      double(reader.requiredInteger("milliseconds", PhaseMilliseconds)) /
      MillisPerSecond;
  phase.StartRate = readRate(reader, "from_per_minute");
  phase.EndRate = readRate(reader, "to_per_minute");
  return phase;
}

LoadStream readStream(SettingsReader &reader) {
  LoadStream stream;
  stream.Name = reader.requiredString("name");
  stream.Method = reader.optionalString("method", stream.Method);
  stream.Path = reader.requiredString("path");
  if (!stream.Path.empty() && stream.Path.front() != '/') {
    reader.report("path", "must begin with /");
  }
  reader.eachObject("headers", [&](SettingsReader &header) {
    std::string name = header.requiredString("name");
    stream.Headers.add(std::move(name), header.requiredString("value"));
  });
  stream.BodyBytes = static_cast<std::size_t>(
      reader.optionalInteger("body_bytes", BodyBytes, DefaultBodyBytes));
  stream.Timeout = reader.optionalMilliseconds(
      "timeout_ms", TimeoutMilliseconds, DefaultTimeout);
  stream.IdempotencyKey = reader.optionalBoolean("idempotency_key", false);
  stream.Resends = static_cast<std::uint32_t>(
      reader.optionalInteger("resends", ResendCount, 0));
  stream.ResendAfter = reader.optionalMilliseconds(
      "resend_after_ms", TimeoutMilliseconds, DefaultResendAfter);
  stream.FreshConnection = reader.optionalBoolean("fresh_connection", false);
  stream.ExpectEcho = reader.optionalBoolean("expect_echo", true);
  reader.eachObject("phases", [&](SettingsReader &phase) {
    stream.Phases.push_back(readPhase(phase));
  });
  if (stream.Phases.empty()) {
    reader.report("phases", "needs at least one phase");
  }
  return stream;
}

void readPlan(SettingsReader &reader, LoadPlan &plan) {
  constexpr SettingsRange Seeds{0, INT64_MAX};
  plan.Name = reader.requiredString("name");
  plan.Seed =
      static_cast<std::uint64_t>(reader.optionalInteger("seed", Seeds, 1));
  reader.eachObject("streams", [&](SettingsReader &stream) {
    plan.Streams.push_back(readStream(stream));
  });
  if (plan.Streams.empty()) {
    reader.report("streams", "needs at least one stream");
  }
}

} // namespace

void LoadPlan::scaleRates(double factor) {
  for (LoadStream &stream : Streams) {
    for (ArrivalPhase &it : stream.Phases) {
      it.StartRate *= factor;
      it.EndRate *= factor;
    }
  }
}

double LoadPlan::seconds() const {
  double longest = 0;
  for (const LoadStream &stream : Streams) {
    double total = 0;
    for (const ArrivalPhase &it : stream.Phases) {
      total += it.Seconds;
    }
    longest = std::max(longest, total);
  }
  return longest;
}

Result<LoadPlan> loadPlanFromFile(const std::string &file) {
  return readSettings<LoadPlan>(file, &readPlan);
}

} // namespace masticwinch
