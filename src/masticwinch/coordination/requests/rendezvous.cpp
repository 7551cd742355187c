#include "masticwinch/coordination/requests/rendezvous.hpp"

#include <xxhash.h>

#include <utility>

namespace masticwinch {
namespace {

/// Preference of an entry VM as an owner: active members first, then members
/// that yielded because they were silent, then leaving members.
int ownershipRank(const protocol::EntryMember &member) {
  if (member.leaving()) {
    return 0;
  }
  return member.yielded() ? 1 : 2;
}

} // namespace

std::string
ownerOf(const std::string &upstream,
        const std::map<std::string, protocol::EntryMember> &entries) {
  std::string owner;
  std::pair<int, XXH64_hash_t> best;
  const XXH64_hash_t seed = XXH3_64bits(upstream.data(), upstream.size());
  for (const auto &[name, member] : entries) {
    const std::pair<int, XXH64_hash_t> rank{
        ownershipRank(member),
        XXH3_64bits_withSeed(name.data(), name.size(), seed)};
    if (owner.empty() || rank > best) {
      owner = name;
      best = rank;
    }
  }
  return owner;
}

} // namespace masticwinch
