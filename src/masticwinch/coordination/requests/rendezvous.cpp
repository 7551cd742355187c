#include "masticwinch/coordination/requests/rendezvous.hpp"

#include <xxhash.h>

namespace masticwinch {
namespace {

std::string
highestHash(const std::string &upstream,
            const std::map<std::string, protocol::EntryMember> &entries,
            bool leaving) {
  std::string owner;
  XXH64_hash_t best = 0;
  const XXH64_hash_t seed = XXH3_64bits(upstream.data(), upstream.size());
  for (const auto &[name, member] : entries) {
    if (member.leaving() != leaving) {
      continue;
    }
    const XXH64_hash_t hash =
        XXH3_64bits_withSeed(name.data(), name.size(), seed);
    if (owner.empty() || hash > best) {
      owner = name;
      best = hash;
    }
  }
  return owner;
}

} // namespace

std::string
ownerOf(const std::string &upstream,
        const std::map<std::string, protocol::EntryMember> &entries) {
  const std::string owner = highestHash(upstream, entries, false);
  return owner.empty() ? highestHash(upstream, entries, true) : owner;
}

} // namespace masticwinch
