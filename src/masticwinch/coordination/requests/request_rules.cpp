#include "masticwinch/coordination/requests/request_rules.hpp"

#include <algorithm>

namespace masticwinch {
namespace {

constexpr unsigned DefaultWeight = 1;
constexpr std::size_t DefaultQueueLength = 1000;
constexpr Milliseconds DefaultDeadline{10'000};
constexpr unsigned DefaultMaxAttempts = 3;
constexpr std::size_t UnlimitedConcurrency = 1'000'000;

template <class Value>
Value valueOr(const Value &value, const Value &fallback) {
  return value == Value{} ? fallback : value;
}

std::size_t perEntryShare(std::size_t whole, std::size_t entries) {
  return (whole + entries - 1) / entries;
}

} // namespace

RequestRules rulesOf(const protocol::RequestPolicy &policy,
                     std::size_t entries) {
  const std::size_t parts = std::max<std::size_t>(entries, 1);
  RequestRules rules;
  rules.Urgent = policy.work_class() == protocol::URGENT;
  rules.Weight = valueOr(policy.weight(), DefaultWeight);
  rules.Concurrency = perEntryShare(
      valueOr<std::size_t>(policy.concurrency(), UnlimitedConcurrency), parts);
  rules.RatePerSecond = static_cast<double>(policy.rate_per_second()) /
                        static_cast<double>(parts);
  rules.QueueLength = perEntryShare(
      valueOr<std::size_t>(policy.queue_length(), DefaultQueueLength), parts);
  rules.Deadline =
      std::min(valueOr(Milliseconds(policy.deadline_ms()), DefaultDeadline),
               MaxRequestDeadline);
  rules.QueueTime =
      std::min(valueOr(Milliseconds(policy.queue_time_ms()), rules.Deadline),
               rules.Deadline);
  rules.MaxAttempts = valueOr(policy.max_attempts(), DefaultMaxAttempts);
  rules.Repeatable = policy.repeatable();
  rules.HedgeAfter = Milliseconds(policy.hedge_after_ms());
  return rules;
}

} // namespace masticwinch
