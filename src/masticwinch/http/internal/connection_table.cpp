#include "masticwinch/http/internal/connection_table.hpp"

namespace masticwinch::internal {

void ConnectionTable::abandon(const PendingList &requests, bool callerGone) {
  for (const PendingEntry &it : requests) {
    if (const std::shared_ptr<PendingRequest> request = it.Pointer.lock()) {
      request->abandon(callerGone);
    }
  }
}

void ConnectionTable::closed(std::uint64_t connection) {
  PendingList requests;
  {
    const std::lock_guard<std::mutex> lock(Mutex);
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
                          const std::shared_ptr<PendingRequest> &request) {
  const std::lock_guard<std::mutex> lock(Mutex);
  Requests[connection].push_back({request.get(), request});
}

void ConnectionTable::remove(std::uint64_t connection,
                             const PendingRequest *request) {
  const std::lock_guard<std::mutex> lock(Mutex);
  const auto it = Requests.find(connection);
  if (it == Requests.end()) {
    return;
  }
  std::erase_if(it->second, [&](const PendingEntry &pending) {
    return pending.Identity == request;
  });
  if (it->second.empty()) {
    Requests.erase(it);
  }
}

void ConnectionTable::abandonAll() {
  std::map<std::uint64_t, PendingList> requests;
  {
    const std::lock_guard<std::mutex> lock(Mutex);
    requests.swap(Requests);
  }
  for (const auto &[connection, pending] : requests) {
    abandon(pending, false);
  }
}

std::shared_ptr<void> ConnectionTable::trackWrite(std::uint64_t connection) {
  const std::lock_guard<std::mutex> lock(Mutex);
  ++PendingWrites[connection];
  return std::shared_ptr<void>(
      this, [this, connection](void *) { finishWrite(connection); });
}

void ConnectionTable::finishWrite(std::uint64_t connection) {
  const std::lock_guard<std::mutex> lock(Mutex);
  const auto it = PendingWrites.find(connection);
  if (--it->second == 0) {
    PendingWrites.erase(it);
    WritesFinished.notify_all();
  }
}

void ConnectionTable::waitForWrites(Milliseconds limit) {
  std::unique_lock<std::mutex> lock(Mutex);
  WritesFinished.wait_for(lock, limit,
                          [this] { return PendingWrites.empty(); });
}

bool ConnectionTable::isIdle(std::uint64_t connection) const {
  const std::lock_guard<std::mutex> lock(Mutex);
  return !Requests.contains(connection) && !PendingWrites.contains(connection);
}

} // namespace masticwinch::internal
