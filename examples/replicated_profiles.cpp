// Uses only the coordination library: two replicas of the cell's state apply
// the same commands, and an entry VM's copy is kept up to date by deltas.

#include "masticwinch/coordination/cell/cell_state.hpp"

#include <cstdio>
#include <string>

using namespace masticwinch;

namespace {

protocol::Command putProfile(const std::string &name, std::uint64_t expect) {
  protocol::Command command;
  command.set_author("coulee");
  command.set_request_id(name + "-" + std::to_string(expect));
  protocol::PutProfile *put = command.mutable_put_profile();
  put->set_name(name);
  put->set_expect_version(expect);
  put->mutable_spec()->mutable_requests()->set_work_class(protocol::URGENT);
  return command;
}

/// Sends the items that have changed since the receiver's revision.
void sendDelta(const cell::Configuration &from, cell::Configuration &to) {
  std::vector<protocol::ConfigItem> items;
  for (const protocol::ConfigItem *it : from.changesSince(to.revision())) {
    items.push_back(*it);
  }
  to.merge(items, to.revision(), from.revision());
}

} // namespace

int main() {
  cell::CellState leader;
  cell::CellState follower;
  cell::Configuration entry;
  for (const protocol::Command &it :
       {putProfile("lookup", 0), putProfile("sheet", 0),
        putProfile("lookup", 1), putProfile("lookup", 1)}) {
    const protocol::CommandResult result = leader.apply(it);
    follower.apply(it);
    sendDelta(leader.configuration(), entry);
    std::printf("%s: %s, version %llu\n", it.put_profile().name().c_str(),
                protocol::ResultCode_Name(result.code()).c_str(),
                static_cast<unsigned long long>(result.version()));
  }
  const bool equal = leader.snapshot().SerializeAsString() ==
                     follower.snapshot().SerializeAsString();
  std::printf("replicas are equal: %s, entry VM is at revision %llu\n",
              equal ? "yes" : "no",
              static_cast<unsigned long long>(entry.revision()));
  return equal && entry.revision() == leader.configuration().revision() ? 0 : 1;
}
