#pragma once

#include "masticwinch/protocol/cell.pb.h"

#include <map>
#include <string>

namespace masticwinch {

/// The entry VM that owns the slots of an upstream: the highest rendezvous hash
/// over the entry VMs that are not leaving, or over all if all are. Empty if
/// there is none.
std::string
ownerOf(const std::string &upstream,
        const std::map<std::string, protocol::EntryMember> &entries);

} // namespace masticwinch
