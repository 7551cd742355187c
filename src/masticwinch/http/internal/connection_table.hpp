#pragma once

#include "masticwinch/common/clock.hpp"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace masticwinch::internal {

/// A request without a response yet, which can be abandoned.
class PendingRequest {
public:
  virtual ~PendingRequest() = default;

  /// Called when the connection closed (`callerGone`) or the server stops.
  virtual void abandon(bool callerGone) = 0;
};

/// Tracks the pending requests of a server's connections and the responses that
/// are being written. Thread-safe; never calls a request
/// while holding the lock.
class ConnectionTable {
public:
  /// Removes a connection and abandons its requests.
  void closed(std::uint64_t connection);

  void add(std::uint64_t connection,
           const std::shared_ptr<PendingRequest> &request);
  void remove(std::uint64_t connection, const PendingRequest *request);

  /// Abandons all requests without reporting their callers as gone.
  void abandonAll();

  /// Counts a response as being written until the returned token is destroyed.
  /// The table must outlive the token.
  std::shared_ptr<void> trackWrite(std::uint64_t connection);

  /// Waits until no response is being written, at most for `limit`.
  void waitForWrites(Milliseconds limit);

  /// Whether the connection has neither a pending request nor a pending write.
  bool isIdle(std::uint64_t connection) const;

private:
  struct PendingEntry {
    /// For comparison only.
    const PendingRequest *Identity;
    std::weak_ptr<PendingRequest> Pointer;
  };
  using PendingList = std::vector<PendingEntry>;

  static void abandon(const PendingList &requests, bool callerGone);
  void finishWrite(std::uint64_t connection);

  mutable std::mutex Mutex;
  std::condition_variable WritesFinished;
  /// Number of responses that are not yet fully written, by connection.
  std::map<std::uint64_t, std::size_t> PendingWrites;
  std::map<std::uint64_t, PendingList> Requests;
};

} // namespace masticwinch::internal
