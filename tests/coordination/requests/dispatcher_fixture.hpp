#pragma once

#include "masticwinch/common/manual_clock.hpp"
#include "masticwinch/coordination/requests/dispatcher.hpp"

#include <optional>
#include <string>
#include <vector>

namespace masticwinch::testing {

/// Builds the items of a configuration with profiles, entry VMs and upstreams,
/// with one revision each.
class ConfigBuilder {
public:
  ConfigBuilder &profile(const std::string &name,
                         const protocol::RequestPolicy &policy) {
    protocol::Profile &out = *next().mutable_profile();
    out.set_name(name);
    *out.mutable_spec()->mutable_requests() = policy;
    return *this;
  }

  ConfigBuilder &entry(const std::string &name, std::uint64_t incarnation = 1,
                       bool leaving = false) {
    protocol::EntryMember &out = *next().mutable_entry();
    out.set_name(name);
    out.set_incarnation(incarnation);
    out.set_leaving(leaving);
    out.set_data_center("x");
    return *this;
  }

  /// Marks the last added entry VM as having yielded its upstreams.
  ConfigBuilder &yield() {
    Items.back().mutable_entry()->set_yielded(true);
    return *this;
  }

  ConfigBuilder &upstream(const std::string &name, std::uint32_t slots,
                          std::uint64_t incarnation = 1,
                          const std::string &dataCenter = "x") {
    protocol::Upstream &out = *next().mutable_upstream();
    out.set_name(name);
    out.set_incarnation(incarnation);
    out.set_address(name + ":80");
    out.set_data_center(dataCenter);
    out.set_slots(slots);
    return *this;
  }

  ConfigBuilder &remove() {
    Items.back().set_removed(true);
    return *this;
  }

  std::vector<protocol::ConfigItem> take() { return std::exchange(Items, {}); }

  std::uint64_t Revision = 0;

private:
  protocol::ConfigItem &next() {
    Items.emplace_back().set_revision(++Revision);
    return Items.back();
  }

  std::vector<protocol::ConfigItem> Items;
};

inline protocol::RequestPolicy policyOf(protocol::WorkClass workClass,
                                        bool repeatable) {
  protocol::RequestPolicy policy;
  policy.set_work_class(workClass);
  policy.set_repeatable(repeatable);
  policy.set_deadline_ms(1000);
  return policy;
}

/// The dispatcher of a cell with a single entry VM.
class DispatcherFixture {
public:
  explicit DispatcherFixture(
      std::vector<std::pair<std::string, protocol::RequestPolicy>> profiles,
      std::uint32_t upstreams = 2, std::uint32_t slots = 1)
      : EntryDispatcher(
            DispatcherOptions{.Self = {"a", 1}, .DataCenter = "x"}) {
    Config.entry("a");
    for (auto &[name, policy] : profiles) {
      Config.profile(name, policy);
    }
    for (std::uint32_t i = 0; i < upstreams; ++i) {
      Config.upstream("u" + std::to_string(i), slots);
    }
    EntryDispatcher.configure(Config.take(), now());
    EntryDispatcher.serveUntil(now() + std::chrono::hours(1), now());
    EntryDispatcher.takeEffects();
  }

  SteadyTime now() const { return Clock.now(); }

  RequestNumber arrive(const std::string &profile,
                       const std::string &key = "") {
    RequestArrival arrival;
    arrival.Profile = profile;
    arrival.Caller = "caller";
    arrival.Key = key;
    const RequestNumber number = EntryDispatcher.requestArrived(arrival, now());
    collect();
    return number;
  }

  void end(DispatchNumber number, DispatchResult result,
           std::uint16_t status = 200) {
    AnswerPointer answer;
    if (result == DispatchResult::Answered) {
      answer = std::make_shared<const Answer>(Answer{status, "text", "body"});
    }
    EntryDispatcher.dispatchEnded(number, result, answer, now());
    collect();
  }

  void claim(RequestNumber request, protocol::ClaimVerdict verdict) {
    protocol::ClaimResult result;
    result.set_request(request);
    result.set_verdict(verdict);
    EntryDispatcher.claimAnswered(result, now());
    collect();
  }

  void advance(Milliseconds by) {
    Clock.advance(by);
    EntryDispatcher.tick(now());
    collect();
  }

  /// Collects the effects emitted since the last call by type.
  void collect() {
    for (RequestEffect &it : EntryDispatcher.takeEffects()) {
      if (const auto *reply = std::get_if<ReplyToCaller>(&it)) {
        Replies.push_back(*reply);
      } else if (const auto *start = std::get_if<StartDispatch>(&it)) {
        Starts.push_back(*start);
      } else if (const auto *cancel = std::get_if<CancelDispatch>(&it)) {
        Cancels.push_back(cancel->Number);
      } else if (const auto *change = std::get_if<ChangeClaim>(&it)) {
        Claims.push_back(change->Change);
      }
    }
  }

  ManualClock Clock;
  ConfigBuilder Config;
  Dispatcher EntryDispatcher;
  std::vector<ReplyToCaller> Replies;
  std::vector<StartDispatch> Starts;
  std::vector<DispatchNumber> Cancels;
  std::vector<protocol::ClaimChange> Claims;
};

} // namespace masticwinch::testing
