#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace masticwinch::benchmarks {

enum class MessageKind : std::uint8_t { Submit, Status, StartAnswer, Report };

/// A message to the leader.
struct Message {
  MessageKind Kind = MessageKind::Submit;
  /// The job, run or runner that it is about.
  std::uint32_t Subject = 0;
  /// Number of the call, start or poll that it belongs to.
  std::uint32_t Number = 0;
  double SentAt = 0;
  /// Ended runs that a report lists.
  std::vector<std::uint32_t> Ended;

  bool isCall() const {
    return Kind == MessageKind::Submit || Kind == MessageKind::Status;
  }
};

/// Messages that wait for the leader: one queue, or answers of runners ahead of
/// calls.
class LeaderQueue {
public:
  LeaderQueue(bool runnersFirst, bool newestCallFirst)
      : RunnersFirst(runnersFirst), NewestCallFirst(newestCallFirst) {}

  void push(Message message) {
    const bool ahead = RunnersFirst && !message.isCall();
    (ahead ? Answers : Others).push_back(std::move(message));
    Largest = std::max(Largest, size());
  }

  std::optional<Message> pop() {
    if (!Answers.empty()) {
      return takeFirst(Answers);
    }
    if (Others.empty()) {
      return std::nullopt;
    }
    if (!NewestCallFirst) {
      return takeFirst(Others);
    }
    Message message = std::move(Others.back());
    Others.pop_back();
    return message;
  }

  std::size_t size() const { return Answers.size() + Others.size(); }
  std::size_t largest() const { return Largest; }

private:
  static Message takeFirst(std::deque<Message> &messages) {
    Message message = std::move(messages.front());
    messages.pop_front();
    return message;
  }

  bool RunnersFirst;
  bool NewestCallFirst;
  std::deque<Message> Answers;
  std::deque<Message> Others;
  std::size_t Largest = 0;
};

} // namespace masticwinch::benchmarks
