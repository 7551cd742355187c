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

/// Sends a plan's requests at their intended times, however slowly answers
/// come: an open-loop load. Targets take turns, as behind a balancer; a resend
/// goes to the next one.
class LoadGenerator {
public:
  /// All requests run on the event loop; `targets` are base URLs without a
  /// path and must not be empty.
  LoadGenerator(asio::io_context &context, const Clock &clock, LoadPlan plan,
                std::vector<std::string> targets);
  ~LoadGenerator();
  LoadGenerator(const LoadGenerator &) = delete;
  LoadGenerator &operator=(const LoadGenerator &) = delete;

  /// Starts the arrivals; the loop runs out of work when all have ended.
  void start();

  /// The outcome, once the loop has run out of work.
  LoadResult takeResult();

private:
  struct Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace masticwinch
