#include "masticwinch/coordination/workflow/advice_tracker.hpp"

#include <algorithm>

namespace masticwinch::workflow {

Milliseconds AdviceTracker::costOf(const protocol::AdviceTerms &terms,
                                   std::size_t runners) {
  const std::uint64_t micros =
      terms.decision_us() + std::uint64_t(terms.per_runner_us()) * runners;
  return Milliseconds(micros / 1000 + 1);
}

void AdviceTracker::agentSeen(const std::string &address, SteadyTime now) {
  Agents[address].LastSeen = now;
}

void AdviceTracker::open(const StepKey &step, const std::string &queue,
                         const protocol::AdviceTerms &terms) {
  const auto [it, added] = Steps.try_emplace(step);
  if (added) {
    it->second.Terms = terms;
    it->second.Queue = queue;
  }
}

const AdviceTracker::Tickets *
AdviceTracker::ticketsOf(const StepKey &step) const {
  const auto found = Steps.find(step);
  return found == Steps.end() ? nullptr : &found->second.Approved;
}

std::size_t AdviceTracker::callSize(const StepKey &step,
                                    std::size_t tasks) const {
  const StepAdvice &advice = Steps.at(step);
  const auto it = Shares.find(advice.Queue);
  const std::uint64_t asked = it == Shares.end() ? 2 : it->second.Asked + 2;
  const std::uint64_t approved =
      it == Shares.end() ? 1 : it->second.Approved + 1;
  const std::uint64_t cheap =
      advice.Terms.decision_us() /
      std::max<std::uint64_t>(advice.Terms.per_runner_us(), 1);
  return std::clamp<std::size_t>(std::max(2 * tasks * asked / approved, cheap),
                                 Options.FewestPerCall, Options.RunnersPerCall);
}

void AdviceTracker::close(const StepKey &step) { Steps.erase(step); }

/// The agent with the least to do. Slow calls leave the first agents alone.
const std::string *AdviceTracker::freeAgent(bool slow, SteadyTime now) const {
  std::size_t kept =
      slow ? (Agents.size() * Options.FastAgentsPermille + 999) / 1000 : 0;
  auto best = Agents.end();
  for (auto it = Agents.begin(); it != Agents.end(); ++it) {
    const bool fresh = now - it->second.LastSeen < Options.AgentFreshFor;
    if (fresh && kept > 0 && Agents.size() > 1) {
      --kept;
      continue;
    }
    const bool idle = it->second.BusyUntil < now + Options.AgentBacklog;
    if (fresh && idle &&
        (best == Agents.end() ||
         it->second.BusyUntil < best->second.BusyUntil)) {
      best = it;
    }
  }
  return best == Agents.end() ? nullptr : &best->first;
}

bool AdviceTracker::isSlowCall(const StepAdvice &advice,
                               std::size_t runners) const {
  return costOf(advice.Terms, runners) + Options.TransferTime >=
         Options.SlowCall;
}

void AdviceTracker::call(const StepKey &step, StepAdvice &advice,
                         std::vector<std::string> runners, bool renewal,
                         SteadyTime now) {
  if (runners.size() > Options.RunnersPerCall) {
    runners.resize(Options.RunnersPerCall);
  }
  const std::string *found = freeAgent(isSlowCall(advice, runners.size()), now);
  if (runners.empty() || !found) {
    return;
  }
  const auto agent = Agents.find(*found);
  const Milliseconds cost =
      costOf(advice.Terms, runners.size()) + Options.TransferTime;
  agent->second.BusyUntil = std::max(agent->second.BusyUntil, now) + cost;
  AdviceCall made;
  made.Order = NextOrder++;
  made.Agent = agent->first;
  made.Step = step;
  made.Runners = runners;
  made.Timeout =
      std::chrono::duration_cast<Milliseconds>(agent->second.BusyUntil - now) +
      Options.CallSlack;
  advice.CallOut = true;
  Open[made.Order] = {step, agent->first, std::move(runners),
                      now + made.Timeout + Options.CallSlack, renewal};
  Calls.push_back(std::move(made));
}

bool AdviceTracker::wantsToAsk(const StepAdvice &advice, SteadyTime now) const {
  return !advice.CallOut && now >= advice.NotBefore &&
         (!advice.Known || now >= advice.AskFurtherAt);
}

bool AdviceTracker::mayAsk(const StepKey &step, std::size_t runners,
                           SteadyTime now) const {
  const auto found = Steps.find(step);
  return found != Steps.end() && wantsToAsk(found->second, now) &&
         freeAgent(isSlowCall(found->second, runners), now) != nullptr;
}

void AdviceTracker::ask(const StepKey &step,
                        const std::vector<std::string> &candidates,
                        SteadyTime now) {
  const auto found = Steps.find(step);
  if (found == Steps.end() || !wantsToAsk(found->second, now)) {
    return;
  }
  StepAdvice &advice = found->second;
  std::vector<std::string> unasked;
  std::copy_if(
      candidates.begin(), candidates.end(), std::back_inserter(unasked),
      [&](const std::string &it) { return !advice.Asked.contains(it); });
  call(step, advice, std::move(unasked), false, now);
}

bool AdviceTracker::renew(const StepKey &step,
                          const std::vector<std::string> &runners,
                          SteadyTime now) {
  const auto found = Steps.find(step);
  if (found == Steps.end()) {
    return false;
  }
  StepAdvice &advice = found->second;
  const SteadyTime soon = now + Options.TicketMargin + Options.TransferTime +
                          costOf(advice.Terms, runners.size());
  const bool due =
      std::any_of(runners.begin(), runners.end(), [&](const std::string &it) {
        const auto approved = advice.Approved.find(it);
        return approved != advice.Approved.end() &&
               approved->second.Until <= soon;
      });
  if (due && !advice.CallOut && now >= advice.NotBefore) {
    call(step, advice, runners, true, now);
  }
  return advice.CallOut;
}

bool AdviceTracker::isSlow(const StepKey &step) const {
  const auto found = Steps.find(step);
  return found != Steps.end() &&
         costOf(found->second.Terms, found->second.Approved.size()) >=
             Options.SlowCall;
}

std::vector<std::string>
AdviceTracker::approvedRunners(const StepKey &step) const {
  std::vector<std::string> runners;
  const auto found = Steps.find(step);
  if (found != Steps.end()) {
    for (const auto &[runner, ticket] : found->second.Approved) {
      runners.push_back(runner);
    }
  }
  return runners;
}

void AdviceTracker::answered(
    std::uint64_t order, bool succeeded,
    const std::vector<std::pair<std::string, std::string>> &approved,
    Milliseconds validity, SteadyTime now) {
  const auto call = Open.extract(order);
  if (call.empty()) {
    return;
  }
  const auto agent = Agents.find(call.mapped().Agent);
  const auto found = Steps.find(call.mapped().Step);
  if (found == Steps.end()) {
    return;
  }
  StepAdvice &advice = found->second;
  advice.CallOut = false;
  if (!succeeded) {
    advice.NotBefore = now + Options.RetryPause;
    if (agent != Agents.end()) {
      // Others come first until this one is heard from again.
      agent->second.LastSeen = {};
    }
    return;
  }
  const bool firstAsk = !advice.Known;
  advice.Known = true;
  if (firstAsk || !call.mapped().Renewal) {
    advice.AskFurtherAt = now + Options.AskFurtherAfter;
  }
  advice.Asked.insert(call.mapped().Runners.begin(),
                      call.mapped().Runners.end());
  const Milliseconds valid = validity.count() > 0
                                 ? validity
                                 : Milliseconds(advice.Terms.validity_ms());
  if (firstAsk) {
    Share &share = Shares[advice.Queue];
    share.Asked += call.mapped().Runners.size();
    share.Approved += approved.size();
  }
  for (const auto &[runner, ticket] : approved) {
    advice.Approved[runner] = {ticket, now - Options.TransferTime + valid};
  }
}

void AdviceTracker::expire(SteadyTime now) {
  std::vector<std::uint64_t> over;
  for (const auto &[order, it] : Open) {
    if (now >= it.Deadline) {
      over.push_back(order);
    }
  }
  for (std::uint64_t it : over) {
    answered(it, false, {}, Milliseconds(0), now);
  }
}

const std::string *AdviceTracker::ticket(const StepKey &step,
                                         const std::string &runner,
                                         SteadyTime now) const {
  const auto found = Steps.find(step);
  if (found == Steps.end()) {
    return nullptr;
  }
  const auto it = found->second.Approved.find(runner);
  if (it == found->second.Approved.end() || !isFresh(it->second, now)) {
    return nullptr;
  }
  return &it->second.Text;
}

const std::set<std::string> *AdviceTracker::askedOf(const StepKey &step) const {
  const auto found = Steps.find(step);
  return found == Steps.end() ? nullptr : &found->second.Asked;
}

bool AdviceTracker::isKnown(const StepKey &step) const {
  const auto found = Steps.find(step);
  return found != Steps.end() && found->second.Known;
}

void AdviceTracker::ticketRefused(const StepKey &step,
                                  const std::string &runner) {
  const auto found = Steps.find(step);
  if (found == Steps.end()) {
    return;
  }
  const auto it = found->second.Approved.find(runner);
  if (it != found->second.Approved.end()) {
    it->second.Until = {};
  }
}

} // namespace masticwinch::workflow
