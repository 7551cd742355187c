#pragma once

#include <cstdint>
#include <queue>
#include <vector>

namespace masticwinch::benchmarks {

enum class BurstEventKind : std::uint8_t {
  /// A job of a queue arrives at a caller.
  Arrival,
  CallerSends,
  EntryResends,
  CallerGivesUp,
  AnswerOk,
  AnswerRefused,
  StatusDue,
  MessageArrives,
  LeaderFree,
  PassDue,
  AcceptStored,
  RunBegins,
  RunEnds,
  RunStops,
  StartExpires,
  PollDue,
  PollArrives,
  PollWaitOver,
  PollExpires,
};

/// Something that happens at a simulated time, in seconds.
struct BurstEvent {
  double At = 0;
  /// Events at the same time happen in the order in which they were added.
  std::uint64_t Order = 0;
  BurstEventKind Kind = BurstEventKind::Arrival;
  std::uint32_t Subject = 0;
  std::uint32_t Number = 0;
  double Value = 0;

  bool operator<(const BurstEvent &other) const {
    return At != other.At ? At > other.At : Order > other.Order;
  }
};

/// Events by time.
class BurstEvents {
public:
  void add(double at, BurstEventKind kind, std::uint32_t subject = 0,
           std::uint32_t number = 0, double value = 0) {
    Queue.push({at, Next++, kind, subject, number, value});
  }
  bool isEmpty() const { return Queue.empty(); }
  BurstEvent take() {
    const BurstEvent event = Queue.top();
    Queue.pop();
    return event;
  }

private:
  std::priority_queue<BurstEvent> Queue;
  std::uint64_t Next = 0;
};

} // namespace masticwinch::benchmarks
