#include <catch2/catch.hpp>

#include "fuzzing/workflow/workflow_simulator.hpp"

using namespace masticwinch::fuzzing;

using Kind = WorkflowActionKind;

TEST_CASE("A start that its runner's next life carries out after the runner "
          "left does not run twice",
          "[workflow][fuzzing]") {
  CHECK_NOTHROW(runSession({{Kind::StoreBatch, 0, 0},
                            {Kind::StoreBatch, 0, 0},
                            {Kind::AdvanceTime, 0, 0},
                            {Kind::RunnerReborn, 0, 0},
                            {Kind::RunnerCrashes, 0, 0},
                            {Kind::Submit, 0, 0},
                            {Kind::DeliverOrder, 3, 0},
                            {Kind::StoreBatch, 0, 0},
                            {Kind::AdvanceTime, 0, 0},
                            {Kind::StoreBatch, 0, 0},
                            {Kind::RunnerLeaves, 0, 0},
                            {Kind::RunnerLeaves, 0, 0},
                            {Kind::RunnerReborn, 3, 1},
                            {Kind::AdvanceTime, 246, 0},
                            {Kind::AdvanceTime, 148, 0},
                            {Kind::AdvanceTime, 39, 0}}));
}

TEST_CASE("An answer that comes late does not let ends of the runner's next "
          "life be dropped",
          "[workflow][fuzzing]") {
  CHECK_NOTHROW(
      runSession({{Kind::EndRun, 0, 0},         {Kind::StoreBatch, 0, 0},
                  {Kind::Submit, 0, 0},         {Kind::AdvanceTime, 0, 0},
                  {Kind::DeliverOrder, 0, 0},   {Kind::DeliverOrder, 0, 0},
                  {Kind::ChangeLeader, 1, 0},   {Kind::AdvanceTime, 0, 0},
                  {Kind::Submit, 0, 0},         {Kind::DeliverOrder, 2, 0},
                  {Kind::DeliverOrder, 0, 0},   {Kind::AdvanceTime, 0, 0},
                  {Kind::StoreBatch, 0, 0},     {Kind::StoreBatch, 0, 0},
                  {Kind::DeliverOrder, 0, 0},   {Kind::DeliverOrder, 0, 0},
                  {Kind::DeliverOrder, 0, 0},   {Kind::AdvanceTime, 120, 0},
                  {Kind::StoreBatch, 0, 0},     {Kind::DeliverOrder, 0, 0},
                  {Kind::DeliverOrder, 0, 0},   {Kind::AdvanceTime, 250, 0},
                  {Kind::DeliverOrder, 109, 0}, {Kind::DeliverOrder, 88, 0},
                  {Kind::AdvanceTime, 238, 0},  {Kind::AdvanceTime, 17, 0},
                  {Kind::DeliverOrder, 0, 0},   {Kind::AdvanceTime, 240, 0},
                  {Kind::AdvanceTime, 63, 0},   {Kind::DeliverOrder, 0, 0},
                  {Kind::DeliverOrder, 0, 0},   {Kind::AdvanceTime, 250, 0},
                  {Kind::DeliverOrder, 0, 0},   {Kind::RunnerCrashes, 1, 0},
                  {Kind::DeliverOrder, 0, 0},   {Kind::StoreBatch, 0, 0},
                  {Kind::DeliverOrder, 0, 0},   {Kind::DeliverOrder, 0, 0},
                  {Kind::AdvanceTime, 1, 0},    {Kind::HoldAnswer, 0, 0},
                  {Kind::RunnerReborn, 0, 1},   {Kind::AdvanceTime, 119, 0},
                  {Kind::AdvanceTime, 189, 0},  {Kind::StoreBatch, 0, 0},
                  {Kind::StoreBatch, 0, 0},     {Kind::DeliverOrder, 2, 0},
                  {Kind::EndRun, 0, 0},         {Kind::DeliverAnswer, 0, 0},
                  {Kind::AdvanceTime, 0, 0}}));
}

TEST_CASE("A new leader waits for the lease that a former life's order gave "
          "the next life",
          "[workflow][fuzzing]") {
  CHECK_NOTHROW(
      runSession({{Kind::RunnerStarts, 0, 0},   {Kind::StoreBatch, 0, 0},
                  {Kind::AdvanceTime, 0, 0},    {Kind::DeliverOrder, 0, 0},
                  {Kind::DeliverOrder, 3, 0},   {Kind::Submit, 0, 0},
                  {Kind::RunnerReborn, 14, 0},  {Kind::AdvanceTime, 22, 0},
                  {Kind::StoreBatch, 0, 0},     {Kind::AdvanceTime, 220, 0},
                  {Kind::Submit, 71, 0},        {Kind::StoreBatch, 0, 0},
                  {Kind::DeliverOrder, 0, 0},   {Kind::DeliverOrder, 0, 0},
                  {Kind::DeliverOrder, 0, 0},   {Kind::DeliverOrder, 0, 0},
                  {Kind::LoseAnswer, 0, 0},     {Kind::DeliverOrder, 0, 0},
                  {Kind::DeliverOrder, 0, 0},   {Kind::EndRun, 0, 0},
                  {Kind::AdvanceTime, 0, 0},    {Kind::StoreBatch, 0, 0},
                  {Kind::DeliverOrder, 0, 0},   {Kind::DeliverOrder, 0, 0},
                  {Kind::RunnerStarts, 0, 0},   {Kind::RunnerReborn, 3, 0},
                  {Kind::StoreBatch, 0, 0},     {Kind::StoreBatch, 0, 0},
                  {Kind::ChangeLeader, 0, 0},   {Kind::DeliverOrder, 0, 0},
                  {Kind::DeliverOrder, 0, 0},   {Kind::DeliverOrder, 0, 0},
                  {Kind::DeliverOrder, 0, 0},   {Kind::AdvanceTime, 0, 0},
                  {Kind::DeliverOrder, 3, 0},   {Kind::DeliverOrder, 3, 0},
                  {Kind::Submit, 1, 0},         {Kind::StoreBatch, 0, 0},
                  {Kind::AdvanceTime, 185, 0},  {Kind::StoreBatch, 0, 0},
                  {Kind::DeliverOrder, 0, 0},   {Kind::ChangeLeader, 0, 0},
                  {Kind::AdvanceTime, 0, 0},    {Kind::AdvanceTime, 223, 0},
                  {Kind::DeliverOrder, 0, 0},   {Kind::DeliverOrder, 0, 0},
                  {Kind::DeliverOrder, 0, 0},   {Kind::DeliverOrder, 0, 0},
                  {Kind::AdvanceTime, 14, 0},   {Kind::AdvanceTime, 210, 0},
                  {Kind::DeliverOrder, 0, 0},   {Kind::AdvanceTime, 84, 0},
                  {Kind::DeliverOrder, 0, 0},   {Kind::DeliverOrder, 0, 0},
                  {Kind::DeliverOrder, 0, 0},   {Kind::HoldAnswer, 0, 0},
                  {Kind::AdvanceTime, 59, 0},   {Kind::DeliverOrder, 0, 0},
                  {Kind::HoldAnswer, 1, 0},     {Kind::Submit, 0, 0},
                  {Kind::HoldAnswer, 1, 0},     {Kind::AdvanceTime, 250, 0},
                  {Kind::AdvanceTime, 127, 0},  {Kind::DeliverOrder, 0, 0},
                  {Kind::AdvanceTime, 171, 0},  {Kind::DeliverOrder, 0, 0},
                  {Kind::Submit, 0, 0},         {Kind::AdvanceTime, 145, 0},
                  {Kind::AdvanceTime, 0, 0},    {Kind::Cancel, 0, 0},
                  {Kind::DeliverOrder, 0, 0},   {Kind::StoreBatch, 0, 0},
                  {Kind::ChangeLeader, 236, 0}, {Kind::DeliverOrder, 0, 0},
                  {Kind::AdvanceTime, 0, 0},    {Kind::DeliverOrder, 2, 0},
                  {Kind::AdvanceTime, 0, 0}}));
}

TEST_CASE(
    "A session in which a task failed on the only runner left comes to rest",
    "[workflow][fuzzing]") {
  CHECK_NOTHROW(runSession({{Kind::QueryState, 0, 0},
                            {Kind::StoreBatch, 0, 0},
                            {Kind::RunnerDrains, 0, 0},
                            {Kind::RunnerLeaves, 43, 63},
                            {Kind::RunnerCrashes, 64, 0},
                            {Kind::AdvanceTime, 0, 0},
                            {Kind::HoldAnswer, 0, 0},
                            {Kind::StoreBatch, 0, 0},
                            {Kind::Submit, 0, 0},
                            {Kind::StoreBatch, 0, 0},
                            {Kind::DeliverOrder, 4, 0},
                            {Kind::AdvanceTime, 0, 0},
                            {Kind::StoreBatch, 0, 0},
                            {Kind::DeliverOrder, 13, 0},
                            {Kind::EndRun, 3, 0}}));
}

TEST_CASE("A gang that failed on a runner which it can't do without starts "
          "there again",
          "[workflow][fuzzing]") {
  CHECK_NOTHROW(
      runSession({{Kind::Submit, 0, 0},        {Kind::ChangeLeader, 1, 0},
                  {Kind::RunnerStarts, 0, 0},  {Kind::RunnerCrashes, 0, 0},
                  {Kind::Submit, 2, 0},        {Kind::AdvanceTime, 0, 0},
                  {Kind::StoreBatch, 0, 0},    {Kind::DeliverOrder, 1, 0},
                  {Kind::DeliverOrder, 1, 0},  {Kind::StoreBatch, 0, 0},
                  {Kind::AdvanceTime, 0, 0},   {Kind::DeliverOrder, 0, 0},
                  {Kind::StoreBatch, 0, 0},    {Kind::DeliverOrder, 0, 0},
                  {Kind::DeliverOrder, 3, 0},  {Kind::DeliverOrder, 3, 0},
                  {Kind::DeliverOrder, 3, 0},  {Kind::EndRun, 0, 0},
                  {Kind::RunnerCrashes, 1, 0}, {Kind::RunnerCrashes, 1, 0}}));
}
