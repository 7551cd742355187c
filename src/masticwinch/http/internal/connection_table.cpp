#include "masticwinch/http/internal/connection_table.hpp"

#include <algorithm>

namespace masticwinch::internal {

void ConnectionTable::abandon(const WaitingList &requests, bool callerGone) {
  for (const Waiting &it : requests) {
    if (const std::shared_ptr<WaitingRequest> request = it.Pointer.lock()) {
      request->abandon(callerGone);
    }
  }
}

void ConnectionTable::opened() {
  const std::lock_guard<std::mutex> lock(Mutex);
  ++Counts.Open;
  Counts.Peak = std::max(Counts.Peak, Counts.Open);
}

void ConnectionTable::closed(std::uint64_t connection) {
  WaitingList requests;
  {
    const std::lock_guard<std::mutex> lock(Mutex);
    --Counts.Open;
    const auto it = Requests.find(connection);
    if (it == Requests.end()) {
      return;
    }
    requests = std::move(it->second);
    Requests.erase(it);
  }
  abandon(requests, true);
}

void ConnectionTable::add(std::uint64_t connection,
                          const std::shared_ptr<WaitingRequest> &request) {
  const std::lock_guard<std::mutex> lock(Mutex);
  Requests[connection].push_back({request.get(), request});
}

void ConnectionTable::remove(std::uint64_t connection,
                             const WaitingRequest *request) {
  const std::lock_guard<std::mutex> lock(Mutex);
  const auto it = Requests.find(connection);
  if (it == Requests.end()) {
    return;
  }
  std::erase_if(it->second, [&](const Waiting &waiting) {
    return waiting.Identity == request;
  });
  if (it->second.empty()) {
    Requests.erase(it);
  }
}

void ConnectionTable::abandonAll() {
  std::map<std::uint64_t, WaitingList> requests;
  {
    const std::lock_guard<std::mutex> lock(Mutex);
    requests.swap(Requests);
  }
  for (const auto &[connection, waiting] : requests) {
    abandon(waiting, false);
  }
}

std::shared_ptr<void> ConnectionTable::countWriting(std::uint64_t connection) {
  const std::lock_guard<std::mutex> lock(Mutex);
  ++Writing[connection];
  return std::shared_ptr<void>(
      this, [this, connection](void *) { answerWritten(connection); });
}

void ConnectionTable::answerWritten(std::uint64_t connection) {
  const std::lock_guard<std::mutex> lock(Mutex);
  const auto it = Writing.find(connection);
  if (--it->second == 0) {
    Writing.erase(it);
    Written.notify_all();
  }
}

void ConnectionTable::waitForWrites(Milliseconds limit) {
  std::unique_lock<std::mutex> lock(Mutex);
  Written.wait_for(lock, limit, [this] { return Writing.empty(); });
}

bool ConnectionTable::isIdle(std::uint64_t connection) const {
  const std::lock_guard<std::mutex> lock(Mutex);
  return !Requests.contains(connection) && !Writing.contains(connection);
}

HttpConnectionCounts ConnectionTable::counts() const {
  const std::lock_guard<std::mutex> lock(Mutex);
  return Counts;
}

} // namespace masticwinch::internal
