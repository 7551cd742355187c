#include "masticwinch/coordination/requests/request_config.hpp"

#include <algorithm>

namespace masticwinch {
namespace {

std::string itemName(const protocol::ConfigItem &item) {
  switch (item.item_case()) {
  case protocol::ConfigItem::kProfile:
    return "profile/" + item.profile().name();
  case protocol::ConfigItem::kUpstream:
    return "upstream/" + item.upstream().name();
  case protocol::ConfigItem::kEntry:
    return "entry/" + item.entry().name();
  default:
    return {};
  }
}

} // namespace

void RequestConfig::apply(const protocol::ConfigItem &item) {
  Revision = std::max(Revision, item.revision());
  const std::string name = itemName(item);
  if (name.empty()) {
    return;
  }
  std::uint64_t &known = ItemRevisions[name];
  if (item.revision() <= known) {
    return;
  }
  known = item.revision();
  if (item.has_profile()) {
    applyProfile(item);
  } else if (item.has_upstream()) {
    applyUpstream(item);
  } else {
    applyEntry(item);
  }
}

void RequestConfig::applyProfile(const protocol::ConfigItem &item) {
  const protocol::Profile &profile = item.profile();
  if (item.removed() || profile.retired()) {
    Policies.erase(profile.name());
    Retired.insert(profile.name());
  } else {
    Retired.erase(profile.name());
    Policies[profile.name()] = profile.spec().requests();
  }
  updateProfileTotals();
}

void RequestConfig::updateProfileTotals() {
  UrgentProfiles = 0;
  LongestDeadline = Milliseconds(0);
  for (const auto &[name, policy] : Policies) {
    const RequestRules rules = rulesOf(policy, 1);
    UrgentProfiles += rules.Urgent ? 1 : 0;
    LongestDeadline = std::max(LongestDeadline, rules.Deadline);
  }
}

void RequestConfig::applyUpstream(const protocol::ConfigItem &item) {
  const protocol::Upstream &upstream = item.upstream();
  if (item.removed() || upstream.leaving()) {
    Upstreams.erase(upstream.name());
    return;
  }
  UpstreamEntry &entry = Upstreams[upstream.name()];
  if (entry.Upstream.incarnation() != upstream.incarnation() ||
      entry.Revision == 0) {
    entry.Revision = item.revision();
  }
  entry.Upstream = upstream;
}

void RequestConfig::applyEntry(const protocol::ConfigItem &item) {
  EntriesRevision = std::max(EntriesRevision, item.revision());
  Departure &departure = Departures[item.entry().name()];
  if (item.entry().leaving() &&
      departure.Incarnation != item.entry().incarnation()) {
    departure = {item.entry().incarnation(), item.revision()};
  }
  if (item.removed()) {
    Entries.erase(item.entry().name());
  } else {
    Entries[item.entry().name()] = item.entry();
  }
}

const protocol::RequestPolicy *
RequestConfig::findPolicy(const std::string &profile) const {
  const auto found = Policies.find(profile);
  return found == Policies.end() ? nullptr : &found->second;
}

RequestRules
RequestConfig::rulesFor(const protocol::RequestPolicy &policy) const {
  const auto serving =
      std::count_if(Entries.begin(), Entries.end(),
                    [](const auto &it) { return !it.second.leaving(); });
  return rulesOf(policy, static_cast<std::size_t>(serving));
}

std::vector<std::string>
RequestConfig::departuresSince(std::uint64_t revision) const {
  std::vector<std::string> names;
  for (const auto &[name, departure] : Departures) {
    if (departure.Revision > revision) {
      names.push_back(name);
    }
  }
  return names;
}

Milliseconds RequestConfig::longestDeadline() const { return LongestDeadline; }

} // namespace masticwinch
