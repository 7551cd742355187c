#!/usr/bin/env python3
"""Tests of three control VMs of which some are killed, paused, restarted or lose
their data."""

import json
import shutil
import signal
import threading
import uuid

import support
from support import CellTest, call, wait_until


class ReplicasTest(CellTest):
    SIZE = support.CellSize(controls=3, entries=2, runners=1, workers=0)

    def members(self):
        """Returns the leader's list of control VMs; empty if there is no leader."""
        for entry in self.entries:
            answer = call("GET", f"{entry.urls['operators']}/v1/members")
            if answer.status == 200:
                return answer.json()["members"]
        return []

    def leader(self):
        """Waits for a leader and returns its control process."""
        leader_names = []

        def has_leader():
            leader_names[:] = [it["member"]["name"] for it in self.members()
                               if it.get("leader")]
            return bool(leader_names)

        wait_until(has_leader, "a control VM leads")
        return self.cell.named(leader_names[0])

    def put_numbered_profile(self, number):
        self.put_profile(f"profile-{number}", support.LOOKUP_PROFILE)

    def assert_stored(self, count):
        """Checks that the first `count` profiles are stored."""
        url = f"{self.entries[0].urls['operators']}/v1/profiles"
        for number in range(count):
            wait_until(lambda: call("GET", f"{url}/profile-{number}").status == 200,
                       f"profile-{number} is stored")

    def test_accepted_changes_survive_deaths_of_leaders(self):
        for number in range(4):
            self.put_numbered_profile(number)
            leader = self.leader()
            leader.kill()
            self.assert_stored(number + 1)
            self.cell.start_again(leader.name)
        self.assert_stored(4)

    def test_paused_leader_is_replaced_and_follows_on_return(self):
        self.put_numbered_profile(0)
        paused = self.leader()
        paused.send(signal.SIGSTOP)
        self.put_numbered_profile(1)
        self.assertNotEqual(paused.name, self.leader().name)
        paused.send(signal.SIGCONT)
        self.put_numbered_profile(2)
        self.assert_stored(3)

    def test_wiped_control_joins_anew_and_a_second_loss_keeps_all(self):
        self.put_numbered_profile(0)
        leader = self.leader()
        wiped, other = [it for it in self.cell.of_role("control")
                        if it.name != leader.name]
        wiped.kill()
        data = self.folder / "data" / wiped.name
        shutil.rmtree(data)
        data.mkdir()
        self.cell.start_again(wiped.name)
        wait_until(lambda: any(it.get("waiting") for it in self.members()),
                   "the wiped control VM asks to join")
        url = f"{self.entries[0].urls['operators']}/v1/members/{wiped.name}"
        self.assertEqual(200, call("PUT", url).status)
        wait_until(self.membership_is_complete,
                   "the new replica has replaced the old one")
        other.kill()
        self.put_numbered_profile(1)
        self.assert_stored(2)

    def test_racing_operators_agree_on_versions_while_leaders_fail(self):
        accepted = [[], []]
        stopping = threading.Event()
        operators = [
            threading.Thread(target=self.change_repeatedly,
                             args=(i, accepted[i], stopping))
            for i in range(2)]
        for it in operators:
            it.start()
        for fault in (self.kill_and_restart, self.pause_and_resume) * 2:
            before = sum(map(len, accepted))
            wait_until(lambda before=before:
                       sum(map(len, accepted)) >= before + 20,
                       "20 more changes are accepted")
            fault(self.leader())
        stopping.set()
        for it in operators:
            it.join()
        versions = accepted[0] + accepted[1]
        self.assertEqual(len(versions), len(set(versions)),
                         "two changes got the same version")
        self.assertEqual(max(versions), self.version_of("raced"))

    def kill_and_restart(self, leader):
        leader.kill()
        self.cell.start_again(leader.name)

    def pause_and_resume(self, leader):
        """Pauses the leader until another control VM leads."""
        leader.send(signal.SIGSTOP)
        wait_until(lambda: self.leader().name != leader.name,
                   "another control VM leads")
        leader.send(signal.SIGCONT)

    def change_repeatedly(self, number, accepted, stopping):
        """Changes a profile repeatedly, each time based on the version that was
        read, and records the accepted versions. A change without an answer is
        sent again with the same request id until it is settled."""
        while not stopping.is_set():
            expected = self.version_of("raced")
            url = (f"{self.entries[number].urls['operators']}/v1/profiles/raced"
                   f"?expect_version={expected}")
            headers = {"Masticwinch-Request-Id": uuid.uuid4().hex,
                       "Masticwinch-Operator": f"operator-{number}"}
            body = json.dumps(support.LOOKUP_PROFILE).encode()
            answer = self.put_until_settled(url, body, headers)
            if answer.status == 200:
                accepted.append(int(answer.json()["version"]))
                self.assertEqual(expected + 1, accepted[-1])

    def put_until_settled(self, url, body, headers):
        """Repeats a change until an answer says whether it was accepted, and
        returns that answer."""
        answers = []

        def settled():
            answers.append(call("PUT", url, body, headers))
            return answers[-1].status in (200, 409)

        wait_until(settled, "the change is accepted or refused")
        return answers[-1]

    def version_of(self, name):
        """Returns the version of a profile according to the cell's leader, or 0 if
        there is no such profile."""
        url = f"{self.entries[0].urls['operators']}/v1/profiles/{name}"
        answers = []

        def answered():
            answers.append(call("GET", url))
            return answers[-1].status in (200, 404)

        wait_until(answered, f"the version of {name} is read")
        if answers[-1].status == 404:
            return 0
        return int(answers[-1].json()["items"][0]["profile"]["version"])

    def membership_is_complete(self):
        """Whether the membership has three voters and no control VM waits to join."""
        members = self.members()
        return len(members) == 3 and not any(
            it.get("waiting") or it["member"].get("learner") for it in members)


if __name__ == "__main__":
    support.main()
