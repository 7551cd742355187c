#include "masticwinch/common/held_bytes.hpp"

#include <algorithm>
#include <numeric>

namespace masticwinch {

std::size_t HeldBytes::Entry::sum() const {
  return std::accumulate(Whole.begin(), Whole.end(), Unfinished + Responses);
}

void HeldBytes::add(std::size_t bytes) {
  Total += bytes;
  Peak = std::max(Peak, Total);
}

/// Lists the connection if it can give bytes up, and drops an entry without
/// bytes.
void HeldBytes::update(std::map<Id, Entry>::iterator entry, SteadyTime now) {
  Entry &it = entry->second;
  const bool holds = it.Unfinished + it.Responses > 0;
  if (holds && !it.Since) {
    it.Since = now;
    BySince.emplace(now, entry->first);
  } else if (!holds && it.Since) {
    BySince.erase({*it.Since, entry->first});
    it.Since.reset();
  }
  if (it.sum() == 0) {
    Entries.erase(entry);
  }
}

void HeldBytes::received(Id connection, std::size_t unfinished,
                         const std::vector<std::size_t> &whole,
                         SteadyTime now) {
  const auto entry = Entries.try_emplace(connection).first;
  Entry &it = entry->second;
  Total -= it.Unfinished;
  it.Unfinished = unfinished;
  it.Whole.insert(it.Whole.end(), whole.begin(), whole.end());
  add(std::accumulate(whole.begin(), whole.end(), unfinished));
  update(entry, now);
}

std::size_t HeldBytes::take(Id connection) {
  const auto entry = Entries.find(connection);
  if (entry == Entries.end() || entry->second.Whole.empty()) {
    return 0;
  }
  const std::size_t bytes = entry->second.Whole.front();
  entry->second.Whole.pop_front();
  update(entry, entry->second.Since.value_or(SteadyTime{}));
  return bytes;
}

void HeldBytes::release(std::size_t bytes) { Total -= bytes; }

void HeldBytes::responseBegan(Id connection, std::size_t bytes,
                              SteadyTime now) {
  const auto entry = Entries.try_emplace(connection).first;
  entry->second.Responses += bytes;
  add(bytes);
  update(entry, now);
}

void HeldBytes::responseEnded(Id connection, std::size_t bytes) {
  const auto entry = Entries.find(connection);
  if (entry == Entries.end()) {
    return;
  }
  const std::size_t ended = std::min(bytes, entry->second.Responses);
  entry->second.Responses -= ended;
  Total -= ended;
  update(entry, entry->second.Since.value_or(SteadyTime{}));
}

bool HeldBytes::forget(Id connection) {
  const auto entry = Entries.find(connection);
  if (entry == Entries.end()) {
    return false;
  }
  Total -= entry->second.sum();
  if (entry->second.Since) {
    BySince.erase({*entry->second.Since, connection});
  }
  Entries.erase(entry);
  return true;
}

bool HeldBytes::exceedsAlone(Id connection) const {
  const auto entry = Entries.find(connection);
  if (entry == Entries.end()) {
    return false;
  }
  const std::deque<std::size_t> &whole = entry->second.Whole;
  return entry->second.Unfinished > Limit ||
         (!whole.empty() && whole.back() > Limit);
}

std::optional<HeldBytes::Id>
HeldBytes::longestHolding(const std::function<bool(Id)> &condition) const {
  const auto found =
      std::find_if(BySince.begin(), BySince.end(),
                   [&](const auto &it) { return condition(it.second); });
  return found == BySince.end() ? std::nullopt : std::optional(found->second);
}

} // namespace masticwinch
