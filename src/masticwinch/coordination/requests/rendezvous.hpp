#pragma once

#include "masticwinch/protocol/cell.pb.h"

#include <map>
#include <string>

namespace masticwinch {

/// The entry VM that owns the slots of an upstream: the highest rendezvous hash
/// over the entry VMs that neither yielded nor are leaving. If there are none,
/// over those that yielded, then over those that are leaving. Empty without
/// any.
std::string
ownerOf(const std::string &upstream,
        const std::map<std::string, protocol::EntryMember> &entries);

} // namespace masticwinch
