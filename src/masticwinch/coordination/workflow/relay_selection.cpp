#include "masticwinch/coordination/workflow/relay_selection.hpp"

#include <xxhash.h>

#include <algorithm>
#include <vector>

namespace masticwinch::workflow {

namespace {

/// Sum of the links, in kbit/s; 0 if one of them is not known.
template <class Relays> std::uint64_t sumOfLinks(const Relays &relays) {
  std::uint64_t sum = 0;
  for (const auto &[address, it] : relays) {
    if (it.LinkKbps == 0) {
      return 0;
    }
    sum += it.LinkKbps;
  }
  return sum;
}

/// The relay with the highest rendezvous hash: when one comes or goes, only the
/// runners that it relays for change theirs. Each change leaves connections to
/// the runner behind. `relays` are iterators; not empty.
template <class Iterator>
Iterator preferredFor(const std::string &runner,
                      const std::vector<Iterator> &relays) {
  const XXH64_hash_t seed = XXH3_64bits(runner.data(), runner.size());
  const auto rank = [&](const Iterator &it) {
    return XXH3_64bits_withSeed(it->first.data(), it->first.size(), seed);
  };
  return *std::max_element(
      relays.begin(), relays.end(),
      [&](const Iterator &a, const Iterator &b) { return rank(a) < rank(b); });
}

} // namespace

void RelaySelection::offered(const std::string &address, RelayRole role,
                             std::uint32_t linkKbps, SteadyTime now) {
  Relay &relay =
      role == RelayRole::EntryVm ? EntryVms[address] : ControlVms[address];
  relay.OfferedAt = now;
  relay.LinkKbps = linkKbps;
  relay.Unanswered = 0;
  if (role == RelayRole::EntryVm) {
    EntryLinks = sumOfLinks(EntryVms);
  }
}

void RelaySelection::expire(Relays &relays, SteadyTime oldest) {
  std::erase_if(relays,
                [&](const auto &it) { return it.second.OfferedAt < oldest; });
}

const std::string *RelaySelection::relayFor(const std::string &runner,
                                            SteadyTime now) {
  const std::size_t known = EntryVms.size();
  expire(EntryVms, now - Options.Timeout);
  if (EntryVms.size() != known) {
    EntryLinks = sumOfLinks(EntryVms);
  }
  if (EntryVms.empty()) {
    return nullptr;
  }
  std::vector<Relays::iterator> usable;
  for (auto it = EntryVms.begin(); it != EntryVms.end(); ++it) {
    usable.push_back(it);
  }
  return &preferredFor(runner, usable)->first;
}

bool RelaySelection::mayRelayStarts(const Relay &control,
                                    SteadyTime now) const {
  const bool counted = now - control.CountedSince < std::chrono::seconds(1);
  const std::uint64_t count = EntryVms.size();
  return EntryLinks > 0 && EntryLinks < Options.SmallLinkKbps * count &&
         control.LinkKbps * count >= EntryLinks * Options.LinkRatio &&
         now - control.OfferedAt <= Options.ControlTimeout &&
         control.Unanswered < Options.MaxUnanswered &&
         (!counted || control.Starts < Options.StartsPerSecond);
}

const std::string *RelaySelection::relayForStart(const std::string &runner,
                                                 SteadyTime now) {
  const std::string *entry = relayFor(runner, now);
  expire(ControlVms, now - Options.Timeout);
  std::vector<Relays::iterator> usable;
  for (auto it = ControlVms.begin(); it != ControlVms.end(); ++it) {
    if (entry && mayRelayStarts(it->second, now)) {
      usable.push_back(it);
    }
  }
  if (usable.empty()) {
    return entry;
  }
  const auto chosen = preferredFor(runner, usable);
  Relay &relay = chosen->second;
  if (now - relay.CountedSince >= std::chrono::seconds(1)) {
    relay.CountedSince = now;
    relay.Starts = 0;
  }
  ++relay.Starts;
  return &chosen->first;
}

void RelaySelection::startEnded(const std::string &address, bool answered) {
  if (const auto it = ControlVms.find(address); it != ControlVms.end()) {
    it->second.Unanswered = answered ? 0 : it->second.Unanswered + 1;
  }
}

} // namespace masticwinch::workflow
