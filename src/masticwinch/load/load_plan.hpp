#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/common/result.hpp"
#include "masticwinch/http/http_message.hpp"
#include "masticwinch/load/arrivals.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace masticwinch {

/// Requests of one kind with a separate arrival process.
struct LoadStream {
  std::string Name;
  std::string Method = "POST";
  std::string Path;
  /// Headers of every request, such as the one that names the profile.
  HttpHeaders Headers;
  std::size_t BodyBytes = 0;
  /// Timeout of a single attempt.
  Milliseconds Timeout{0};
  /// Whether each request has a unique idempotency key.
  bool IdempotencyKey = false;
  /// Maximum number of resends of a request without a final answer. A resend
  /// goes to the next target with the same key.
  std::uint32_t Resends = 0;
  Milliseconds ResendAfter{0};
  /// Whether each attempt uses a new connection, which prevents the HTTP
  /// library from sending a request twice.
  bool FreshConnection = false;
  /// Whether the answer must repeat the request's body.
  bool ExpectEcho = true;
  std::vector<ArrivalPhase> Phases;
};

/// Description of the load of a run, read from a JSON file.
struct LoadPlan {
  std::string Name;
  std::uint64_t Seed = 0;
  std::vector<LoadStream> Streams;

  /// Multiplies all rates by `factor`.
  void scaleRates(double factor);

  /// Returns the time in seconds until the last phase of all streams ends.
  double seconds() const;
};

/// Reads and validates a plan. Errors: `SettingsError`.
Result<LoadPlan> loadPlanFromFile(const std::string &file);

} // namespace masticwinch
