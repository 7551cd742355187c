#pragma once

#include "masticwinch/coordination/requests/claim_table.hpp"
#include "masticwinch/protocol/requests.pb.h"

#include "benchmarks/capacity_measure.hpp"
#include <stdexcept>
#include <string>
#include <vector>

namespace masticwinch::capacity {

/// Bytes of the messages that claim and complete all keys.
struct ClaimTraffic {
  double ClaimBytes = 0;
  double CompleteBytes = 0;
};

inline protocol::ClaimId claimId(std::size_t number) {
  protocol::ClaimId id;
  id.set_caller(fmt::format("caller-{}", number % 100));
  id.set_key(fmt::format("key-{:032}", number));
  return id;
}

/// Claims and completes keys in batches, with answers of the given size.
inline ClaimTraffic fillClaims(ClaimTable &table, std::size_t count,
                               std::size_t batchSize, std::size_t answerBytes) {
  ClaimTraffic traffic;
  const auto isMember = [](const protocol::ClaimOwner &) { return true; };
  std::uint64_t number = 0;
  const auto newBatch = [&number] {
    protocol::ClaimBatch batch;
    batch.set_entry("entry-1");
    batch.set_incarnation(1);
    batch.set_number(++number);
    return batch;
  };
  for (std::size_t first = 0; first < count; first += batchSize) {
    protocol::ClaimBatch claims = newBatch();
    protocol::ClaimBatch completions = newBatch();
    for (std::size_t i = first; i < first + batchSize; ++i) {
      protocol::ClaimKey &claim = *claims.add_changes()->mutable_claim();
      *claim.mutable_id() = claimId(i);
      claim.mutable_owner()->set_entry("entry-1");
      claim.mutable_owner()->set_incarnation(1);
      claim.mutable_owner()->set_request(i);
      claim.set_body_hash(~i);
      protocol::CompleteKey &complete =
          *completions.add_changes()->mutable_complete();
      *complete.mutable_id() = claim.id();
      *complete.mutable_owner() = claim.owner();
      complete.mutable_answer()->set_status(200);
      complete.mutable_answer()->set_body(std::string(answerBytes, 'a'));
    }
    traffic.ClaimBytes += double(claims.ByteSizeLong());
    traffic.CompleteBytes += double(completions.ByteSizeLong());
    table.apply(claims, 1000, isMember);
    table.apply(completions, 1000, isMember);
  }
  if (table.size() != count) {
    throw std::runtime_error("the claim table does not hold all claims");
  }
  return traffic;
}

/// Measures memory, processor time and message bytes of idempotency claims
/// whose stored answers have 200 bytes.
inline void measureClaims() {
  constexpr std::size_t BatchSize = 50;
  constexpr std::size_t AnswerBytes = 200;
  std::vector<Sample> memory;
  std::vector<Sample> time;
  std::vector<Sample> bytes;
  for (std::size_t count : {10'000U, 40'000U, 160'000U}) {
    const double heapBefore = heapBytes();
    const double begin = processorMicroseconds();
    ClaimTable table;
    const ClaimTraffic traffic =
        fillClaims(table, count, BatchSize, AnswerBytes);
    time.push_back({double(count), processorMicroseconds() - begin});
    memory.push_back({double(count), heapBytes() - heapBefore});
    bytes.push_back(
        {double(count), traffic.ClaimBytes + traffic.CompleteBytes});
  }
  printSamples("claim_memory", memory, "bytes", "claim");
  printSamples("claim_time", time, "us", "claim");
  printSamples("claim_messages", bytes, "bytes", "claim");
}

} // namespace masticwinch::capacity
