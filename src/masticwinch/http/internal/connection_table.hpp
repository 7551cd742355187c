#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/http/http_server.hpp"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace masticwinch::internal {

/// A request that waits for its answer and can be told that none will be taken.
class WaitingRequest {
public:
  virtual ~WaitingRequest() = default;

  /// The connection closed or the server stops.
  virtual void abandon(bool callerGone) = 0;
};

/// What a server knows of its connections: how many there are, which requests
/// wait for answers and which answers are being written. Safe to use from
/// several threads; calls no request while it holds its lock.
class ConnectionTable {
public:
  void opened();

  /// Takes a connection off and abandons its requests.
  void closed(std::uint64_t connection);

  void add(std::uint64_t connection,
           const std::shared_ptr<WaitingRequest> &request);
  void remove(std::uint64_t connection, const WaitingRequest *request);

  /// Abandons all requests, whose callers are not gone.
  void abandonAll();

  /// Counts an answer as being written until the result is destroyed, which has
  /// to be before the table is.
  std::shared_ptr<void> countWriting(std::uint64_t connection);

  /// Waits until no answer is being written, or the time is over.
  void waitForWrites(Milliseconds limit);

  /// Whether no request of the connection waits for its answer.
  bool isIdle(std::uint64_t connection) const;

  HttpConnectionCounts counts() const;

private:
  struct Waiting {
    /// Only for comparison.
    const WaitingRequest *Identity;
    std::weak_ptr<WaitingRequest> Pointer;
  };
  using WaitingList = std::vector<Waiting>;

  static void abandon(const WaitingList &requests, bool callerGone);
  void answerWritten(std::uint64_t connection);

  mutable std::mutex Mutex;
  std::condition_variable Written;
  HttpConnectionCounts Counts;
  /// Answers that are handed over and not yet written, by connection.
  std::map<std::uint64_t, std::size_t> Writing;
  std::map<std::uint64_t, WaitingList> Requests;
};

} // namespace masticwinch::internal
