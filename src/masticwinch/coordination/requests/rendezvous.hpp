#pragma once

#include "masticwinch/protocol/cell.pb.h"

#include <map>
#include <string>

namespace masticwinch {

/// Returns the entry VM that owns the slots of an upstream: the one with the
/// highest rendezvous hash among those that neither yielded nor are leaving. If
/// there are none, those that yielded are considered, then those that are
/// leaving. Returns an empty string if there are no entry VMs.
std::string
ownerOf(const std::string &upstream,
        const std::map<std::string, protocol::EntryMember> &entries);

} // namespace masticwinch
