"""Tests of requests with real entry, control and upstream processes."""

import argparse
import concurrent.futures
import signal
import time
import unittest

from requests_cell import Cell, wait_until

BUILD = None


class RequestsTest(unittest.TestCase):
    def test_every_reply_states_its_outcome(self):
        with Cell(BUILD, entries=1, runners=1) as cell:
            reply = cell.send(0, "billed", body="hello")
            self.assertEqual((reply.status, reply.outcome), (200, "answered"))
            self.assertEqual(reply.headers["masticwinch-attempts"], "1")
            self.assertIn("masticwinch-request-id", reply.headers)
            self.assertIn("hello", reply.body)
            unknown_profile = cell.send(0, "no-such-profile")
            self.assertEqual(
                (unknown_profile.status, unknown_profile.outcome), (404, "not_run")
            )
            invalid_deadline = cell.send(
                0, "billed", {"Masticwinch-Deadline-Ms": "soon"}
            )
            self.assertEqual(
                (invalid_deadline.status, invalid_deadline.outcome), (400, "not_run")
            )

    def test_a_resend_to_another_entry_never_runs_again(self):
        with Cell(BUILD) as cell:
            key = {"Idempotency-Key": "order-1"}
            first = cell.send(0, "billed", key, "body")
            resent = cell.send(1, "billed", key, "body")
            other = cell.send(1, "billed", key, "other body")
            self.assertEqual(first.outcome, "answered")
            self.assertEqual(resent.outcome, "answered")
            self.assertEqual(resent.body, first.body)
            self.assertEqual(other.status, 422)
            self.assertEqual(self.count_executions(cell, "order-1"), 1)

    def test_a_claim_outlives_the_entry_that_made_it(self):
        with Cell(BUILD) as cell:
            headers = {"Idempotency-Key": "k", "Stand-In-Behavior": "hang"}
            with concurrent.futures.ThreadPoolExecutor() as pool:
                pending = pool.submit(cell.send, 0, "billed", headers)
                wait_until(
                    lambda: self.count_executions(cell, "k") == 1,
                    "the request to be executed",
                )
                resent = cell.send(1, "billed", {"Idempotency-Key": "k"})
                cell.entries[0].kill()
                self.assertIsInstance(pending.exception(), Exception)
            self.assertEqual(resent.outcome, "unknown")
            after = cell.send(1, "billed", {"Idempotency-Key": "k"})
            self.assertEqual(after.outcome, "unknown")
            self.assertEqual(self.count_executions(cell, "k"), 1)

    def test_a_truncated_answer_is_unknown_and_not_repeated(self):
        with Cell(BUILD) as cell:
            reply = cell.send(
                0, "billed", {"Stand-In-Behavior": "truncate", "Idempotency-Key": "t"}
            )
            self.assertEqual((reply.status, reply.outcome), (502, "unknown"))
            self.assertEqual(self.count_executions(cell, "t"), 1)

    def test_an_upstream_that_refuses_leaves_the_request_not_run(self):
        with Cell(BUILD) as cell:
            reply = cell.send(
                0, "billed", {"Stand-In-Behavior": "refuse", "Idempotency-Key": "r"}
            )
            self.assertEqual(reply.outcome, "not_run")
            self.assertIn("retry-after", reply.headers)
            self.assertEqual(self.count_executions(cell, "r"), 0)
            self.assertEqual(
                cell.send(1, "billed", {"Idempotency-Key": "r"}).outcome, "answered"
            )

    def test_a_slow_upstream_ends_at_the_deadline(self):
        with Cell(BUILD, entries=1, runners=1) as cell:
            started = time.monotonic()
            reply = cell.send(
                0,
                "billed",
                {"Stand-In-Behavior": "hang", "Masticwinch-Deadline-Ms": "300"},
            )
            self.assertEqual((reply.status, reply.outcome), (504, "unknown"))
            self.assertGreaterEqual(time.monotonic() - started, 0.3)

    def test_a_paused_entry_answers_not_run_or_goes_on_when_it_wakes(self):
        with Cell(BUILD) as cell:
            cell.entries[0].send(signal.SIGSTOP)
            time.sleep(2)
            cell.entries[0].send(signal.SIGCONT)
            reply = cell.send(0, "billed", {"Idempotency-Key": "p"})
            runs = self.count_executions(cell, "p")
            self.assertEqual(runs, 1 if reply.outcome == "answered" else 0)

    def test_a_rolling_restart_interrupts_nothing(self):
        with Cell(BUILD, entries=3) as cell:
            stop = False
            replies = []

            def send_requests(number):
                n = 0
                while not stop:
                    for entry in range(len(cell.entries)):
                        key = f"roll-{number}-{n}"
                        n += 1
                        if not cell.is_healthy(cell.entries[entry]):
                            continue
                        headers = {
                            "Idempotency-Key": key,
                            "Stand-In-Behavior": "delay=20",
                        }
                        try:
                            replies.append((key, cell.send(entry, "billed", headers)))
                        except ConnectionRefusedError:
                            pass
                return True

            with concurrent.futures.ThreadPoolExecutor(4) as pool:
                running = [pool.submit(send_requests, n) for n in range(4)]
                for it in cell.entries:
                    self.assertEqual(it.terminate(), 0)
                    it.start()
                    wait_until(
                        lambda it=it: cell.is_healthy(it), f"{it.name} to be healthy"
                    )
                stop = True
                self.assertTrue(all(it.result() for it in running))
            runs = [it.get("idempotency_key") for it in cell.executions()]
            for key, reply in replies:
                self.assertIn(reply.outcome, ("answered", "not_run"), key)
                self.assertEqual(
                    runs.count(key), 1 if reply.outcome == "answered" else 0, key
                )
            self.assertTrue(any(it.outcome == "answered" for _, it in replies))

    @staticmethod
    def count_executions(cell, key):
        return sum(it.get("idempotency_key") == key for it in cell.executions())


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    arguments, rest = parser.parse_known_args()
    BUILD = arguments.build
    unittest.main(argv=["test_requests.py", *rest])
