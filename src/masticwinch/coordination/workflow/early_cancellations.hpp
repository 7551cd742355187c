#pragma once

#include "masticwinch/common/clock.hpp"

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

namespace masticwinch::workflow {

struct EarlyCancellationsOptions {
  /// Maximum number of ids; less than 1 MB with ids of the length that is
  /// valid.
  std::size_t MaxIds = 4096;
  /// How long a submission may be on its way. Bytes that a partition holds up
  /// arrive with TCP's next retransmission, whose delay doubles each time.
  Milliseconds Retention{60'000};
};

/// Cancellations of workflows that aren't known. The submission may still be on
/// its way through another entry VM; it must not be accepted once its caller
/// has been told that there is no such workflow. State machine without I/O;
/// bounded by `MaxIds`.
class EarlyCancellations {
public:
  explicit EarlyCancellations(EarlyCancellationsOptions options = {})
      : Options(options) {}

  /// Records that a caller of the account has cancelled the id.
  void add(const std::string &id, const std::string &account, SteadyTime now);

  /// Whether a caller of the account has cancelled the id lately.
  bool contains(const std::string &id, const std::string &account,
                SteadyTime now) const;

  std::size_t size() const { return Cancelled.size(); }

private:
  struct Cancellation {
    std::string Account;
    SteadyTime At{};
  };

  void expire(SteadyTime now);

  EarlyCancellationsOptions Options;
  std::unordered_map<std::string, Cancellation> Cancelled;
  /// In the order of their times; an id that was cancelled again is in it once
  /// for each time.
  std::deque<std::pair<SteadyTime, std::string>> ByTime;
};

} // namespace masticwinch::workflow
