#pragma once

#include "masticwinch/load/load_plan.hpp"
#include "masticwinch/load/load_result.hpp"

#include <memory>
#include <string>
#include <vector>

namespace asio {
class io_context;
}

namespace masticwinch {

/// Open-loop load generator: sends a plan's requests at their intended times,
/// regardless of how fast answers arrive. Targets are used round-robin, as
/// behind a load balancer; a resend goes to the next target.
class LoadGenerator {
public:
  /// All requests run on the event loop. `targets` are base URLs without a
  /// path; there must be at least one.
  LoadGenerator(asio::io_context &context, const Clock &clock, LoadPlan plan,
                std::vector<std::string> targets);
  ~LoadGenerator();
  LoadGenerator(const LoadGenerator &) = delete;
  LoadGenerator &operator=(const LoadGenerator &) = delete;

  /// Schedules the arrivals. The event loop runs out of work when all requests
  /// have ended.
  void start();

  /// Returns the result. Call it after the event loop has run out of work.
  LoadResult takeResult();

private:
  struct Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace masticwinch
