#include "masticwinch/timeline/event_merge.hpp"

#include <tuple>

namespace masticwinch {

EventMerge::EventMerge(const std::vector<EventFileChain> &chains) {
  for (const EventFileChain &it : chains) {
    Readers.push_back(std::make_unique<EventReader>(it));
    refill(Readers.size() - 1);
  }
}

bool EventMerge::isLater(const Head &a, const Head &b) {
  return std::tie(a.Stamp, a.Record.Process, a.Reader) >
         std::tie(b.Stamp, b.Record.Process, b.Reader);
}

void EventMerge::refill(std::size_t reader) {
  if (std::optional<EventRecord> record = Readers[reader]->next()) {
    Heads.push_back(
        {Readers[reader]->mergeStamp(), std::move(*record), reader});
    std::push_heap(Heads.begin(), Heads.end(), isLater);
  }
}

std::optional<EventRecord> EventMerge::next() {
  if (Heads.empty()) {
    return std::nullopt;
  }
  std::pop_heap(Heads.begin(), Heads.end(), isLater);
  Head head = std::move(Heads.back());
  Heads.pop_back();
  refill(head.Reader);
  return std::move(head.Record);
}

EventReadProblems EventMerge::problems() const {
  EventReadProblems total;
  for (const auto &it : Readers) {
    total += it->problems();
  }
  return total;
}

} // namespace masticwinch
