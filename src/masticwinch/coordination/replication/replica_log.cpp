#include "masticwinch/coordination/replication/replica_log.hpp"

#include <algorithm>

namespace masticwinch::replication {

ReplicaLog::ReplicaLog(const RecoveredState &recovered)
    : BaseIndex(recovered.BaseIndex), BaseTerm(recovered.BaseTerm) {
  if (recovered.LastSnapshot) {
    Memberships.push_back(
        {recovered.LastSnapshot->Index, recovered.LastSnapshot->Members});
  } else {
    Memberships.push_back({});
  }
  for (const protocol::LogEntry &it : recovered.Entries) {
    append(it);
  }
}

std::uint64_t ReplicaLog::lastTerm() const {
  return Entries.empty() ? BaseTerm : Entries.back().term();
}

std::optional<std::uint64_t> ReplicaLog::termAt(std::uint64_t index) const {
  if (index == BaseIndex) {
    return BaseTerm;
  }
  if (index < BaseIndex || index > lastIndex()) {
    return std::nullopt;
  }
  return at(index).term();
}

const protocol::LogEntry &ReplicaLog::at(std::uint64_t index) const {
  return Entries[index - BaseIndex - 1];
}

std::uint64_t ReplicaLog::firstIndexOfTerm(std::uint64_t index) const {
  const std::uint64_t term = at(index).term();
  while (index > firstIndex() && at(index - 1).term() == term) {
    --index;
  }
  return index;
}

void ReplicaLog::append(protocol::LogEntry entry) {
  noteMembership(entry);
  Entries.push_back(std::move(entry));
}

void ReplicaLog::noteMembership(const protocol::LogEntry &entry) {
  if (entry.kind() != protocol::MEMBERSHIP ||
      entry.index() <= Memberships.back().Index) {
    return;
  }
  if (const auto membership = Membership::parse(entry.data())) {
    Memberships.push_back({entry.index(), *membership});
  }
}

void ReplicaLog::truncateFrom(std::uint64_t index) {
  Entries.erase(Entries.begin() +
                    static_cast<std::ptrdiff_t>(index - firstIndex()),
                Entries.end());
  while (Memberships.size() > 1 && Memberships.back().Index >= index) {
    Memberships.pop_back();
  }
}

void ReplicaLog::discardThrough(std::uint64_t index) {
  const std::uint64_t last = std::min(index, lastIndex());
  while (BaseIndex < last) {
    BaseTerm = Entries.front().term();
    Entries.pop_front();
    ++BaseIndex;
  }
  while (Memberships.size() > 1 && Memberships[1].Index <= BaseIndex) {
    Memberships.erase(Memberships.begin());
  }
}

void ReplicaLog::resetTo(const Snapshot &snapshot) {
  Entries.clear();
  BaseIndex = snapshot.Index;
  BaseTerm = snapshot.Term;
  Memberships.assign(1, {snapshot.Index, snapshot.Members});
}

const Membership &ReplicaLog::membershipAt(std::uint64_t index) const {
  auto it = Memberships.rbegin();
  while (it + 1 != Memberships.rend() && it->Index > index) {
    ++it;
  }
  return it->Value;
}

} // namespace masticwinch::replication
