#include "masticwinch/coordination/workflow/task_key.hpp"

#include "masticwinch/protocol/workflow.pb.h"

#include <fmt/format.h>

namespace masticwinch::workflow {

TaskKey taskKeyOf(const protocol::TaskRef &ref) {
  return {{ref.workflow(), ref.occurrence(), ref.step()}, ref.index()};
}

protocol::TaskRef refOf(const TaskKey &key) {
  protocol::TaskRef ref = refOf(key.Step);
  ref.set_index(key.Index);
  return ref;
}

protocol::TaskRef refOf(const StepKey &key) {
  protocol::TaskRef ref;
  ref.set_workflow(key.Workflow);
  ref.set_occurrence(key.Occurrence);
  ref.set_step(key.Step);
  return ref;
}

std::string textOf(const TaskKey &key) {
  return fmt::format("{}.{}", textOf(key.Step), key.Index);
}

std::string textOf(const StepKey &key) {
  return fmt::format("{}.{}.{}", key.Workflow, key.Occurrence, key.Step);
}

} // namespace masticwinch::workflow
