#pragma once

#include "masticwinch/protocol/cell.pb.h"

#include <cstdint>
#include <string>

namespace masticwinch::tests {

/// Command that sets a profile's weight, based on an expected version.
inline protocol::Command putProfile(const std::string &name,
                                    std::uint64_t expect,
                                    std::uint32_t weight = 1) {
  protocol::Command command;
  protocol::PutProfile *put = command.mutable_put_profile();
  put->set_name(name);
  put->set_expect_version(expect);
  put->mutable_spec()->mutable_requests()->set_weight(weight);
  return command;
}

/// Command that retires a profile, based on an expected version.
inline protocol::Command retireProfile(const std::string &name,
                                       std::uint64_t expect) {
  protocol::Command command;
  command.mutable_retire_profile()->set_name(name);
  command.mutable_retire_profile()->set_expect_version(expect);
  return command;
}

/// Returns the command with an author and a request id.
inline protocol::Command from(protocol::Command command,
                              const std::string &author,
                              const std::string &id) {
  command.set_author(author);
  command.set_request_id(id);
  return command;
}

inline protocol::Command announce(const std::string &name,
                                  std::uint64_t incarnation) {
  protocol::Command command;
  protocol::Upstream *upstream =
      command.mutable_announce_upstream()->mutable_upstream();
  upstream->set_name(name);
  upstream->set_incarnation(incarnation);
  return command;
}

inline protocol::Command leave(const std::string &name,
                               std::uint64_t incarnation, bool lapsed = false) {
  protocol::Command command;
  command.mutable_leave_upstream()->set_name(name);
  command.mutable_leave_upstream()->set_incarnation(incarnation);
  command.mutable_leave_upstream()->set_lapsed(lapsed);
  return command;
}

inline protocol::Command joinEntry(const std::string &name,
                                   std::uint64_t incarnation) {
  protocol::Command command;
  command.mutable_join_entry()->mutable_entry()->set_name(name);
  command.mutable_join_entry()->mutable_entry()->set_incarnation(incarnation);
  return command;
}

} // namespace masticwinch::tests
