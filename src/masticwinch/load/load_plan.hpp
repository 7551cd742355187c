#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/common/result.hpp"
#include "masticwinch/http/http_message.hpp"
#include "masticwinch/load/arrivals.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace masticwinch {

/// Requests of one kind with arrivals of their own.
struct LoadStream {
  std::string Name;
  std::string Method = "POST";
  std::string Path;
  /// Headers of every request, such as the profile.
  HttpHeaders Headers;
  std::size_t BodyBytes = 0;
  /// Limit for one attempt.
  Milliseconds Timeout{0};
  /// Sends each request with an idempotency key of its own.
  bool IdempotencyKey = false;
  /// How often a request without a final answer is sent again, to the next
  /// target and with the same key.
  std::uint32_t Resends = 0;
  Milliseconds ResendAfter{0};
  /// A connection for each attempt; the HTTP library never sends twice then.
  bool FreshConnection = false;
  /// The answer must repeat the request's body.
  bool ExpectEcho = true;
  std::vector<ArrivalPhase> Phases;
};

/// What a load run sends, read from a JSON file.
struct LoadPlan {
  std::string Name;
  std::uint64_t Seed = 0;
  std::vector<LoadStream> Streams;

  /// Multiplies all rates.
  void scaleRates(double factor);

  /// Seconds until the last phase of all streams ends.
  double seconds() const;
};

/// Reads and checks a plan. Errors: `SettingsError`.
Result<LoadPlan> loadPlanFromFile(const std::string &file);

} // namespace masticwinch
