#pragma once

#include "masticwinch/protocol/workflow.pb.h"

#include <string>
#include <utility>

namespace masticwinch::workflow {

inline protocol::WorkflowAnswer answerOf(protocol::WorkflowVerdict verdict,
                                         std::string reason = {}) {
  protocol::WorkflowAnswer answer;
  answer.set_verdict(verdict);
  answer.set_reason(std::move(reason));
  return answer;
}

} // namespace masticwinch::workflow
