#include "masticwinch/coordination/cell/command_result_cache.hpp"

namespace masticwinch::cell {

const protocol::RememberedResult *
CommandResultCache::find(const RequestKey &key) const {
  const auto it = Positions.find(key);
  return it == Positions.end() ? nullptr : &Results[it->second - EvictedCount];
}

void CommandResultCache::store(protocol::RememberedResult result) {
  evictOld(result.at_unix_ms());
  Positions[{result.author(), result.request_id()}] =
      EvictedCount + Results.size();
  Results.push_back(std::move(result));
}

void CommandResultCache::evictOld(std::uint64_t nowMs) {
  while (!Results.empty() &&
         (Results.size() >= MaxResults ||
          Results.front().at_unix_ms() + RetentionMs < nowMs)) {
    const protocol::RememberedResult &oldest = Results.front();
    Positions.erase({oldest.author(), oldest.request_id()});
    Results.pop_front();
    ++EvictedCount;
  }
}

} // namespace masticwinch::cell
