#pragma once

#include "masticwinch/common/clock.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace masticwinch::workflow {

/// Measures what the control thread spends its time on while it leads, and how
/// long messages wait for it.
class HandlerLoad {
public:
  /// Interval between two reports.
  static constexpr Milliseconds ReportInterval{1000};

  /// Records how long a handler took. `handler` must outlive the object.
  void record(std::string_view handler, SteadyTime::duration took) {
    Entry &entry = Entries[handler];
    entry.Count += 1;
    entry.Total += took;
  }

  /// Records how long a message waited for the control thread.
  void recordDelay(SteadyTime::duration delay) {
    LongestDelay = std::max(LongestDelay, delay);
  }

  /// Measurements since the last report.
  struct Report {
    Milliseconds Interval{0};
    Milliseconds LongestDelay{0};
    /// For each handler its name, calls and milliseconds, as "call:900/130".
    std::string Handlers;
  };

  /// Returns a report if the interval has passed since the last one.
  std::optional<Report> report(SteadyTime now) {
    if (now < NextReport) {
      return std::nullopt;
    }
    const auto inMilliseconds = [](SteadyTime::duration it) {
      return std::chrono::duration_cast<Milliseconds>(it);
    };
    Report out{
        inMilliseconds(now - LastReport), inMilliseconds(LongestDelay), {}};
    for (const auto &[handler, it] : Entries) {
      out.Handlers +=
          fmt::format("{}{}:{}/{}", out.Handlers.empty() ? "" : " ", handler,
                      it.Count, inMilliseconds(it.Total).count());
    }
    const bool first = LastReport == SteadyTime{};
    LastReport = now;
    NextReport = now + ReportInterval;
    Entries.clear();
    LongestDelay = {};
    return first ? std::nullopt : std::optional(out);
  }

private:
  struct Entry {
    std::uint64_t Count = 0;
    SteadyTime::duration Total{};
  };

  std::map<std::string_view, Entry> Entries;
  SteadyTime::duration LongestDelay{};
  SteadyTime LastReport{};
  SteadyTime NextReport{};
};

} // namespace masticwinch::workflow
