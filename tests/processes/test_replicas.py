#!/usr/bin/env python3
"""Three control VMs of which some die, pause, restart or lose their disk."""

import shutil
import signal

import support
from support import CellTest, call, wait_until


class ReplicasTest(CellTest):
    SIZE = support.CellSize(controls=3, entries=2, runners=1, workers=0)

    def members(self):
        """What the leader says of the control VMs; empty without a leader."""
        for entry in self.entries:
            answer = call("GET", f"{entry.urls['operators']}/v1/members")
            if answer.status == 200:
                return answer.json()["members"]
        return []

    def leader(self):
        """The control process that leads."""
        found = []

        def known():
            found[:] = [it["member"]["name"] for it in self.members()
                        if it.get("leader")]
            return bool(found)

        wait_until(known, "a control VM leads")
        return self.cell.named(found[0])

    def put(self, number):
        self.put_profile(f"profile-{number}", support.LOOKUP_PROFILE)

    def assert_kept(self, count):
        """Every profile that was accepted is there."""
        url = f"{self.entries[0].urls['operators']}/v1/profiles"
        for number in range(count):
            wait_until(lambda: call("GET", f"{url}/profile-{number}").status == 200,
                       f"profile-{number} is known")

    def test_accepted_changes_survive_deaths_of_leaders(self):
        for number in range(4):
            self.put(number)
            leader = self.leader()
            leader.kill()
            self.assert_kept(number + 1)
            self.cell.start_again(leader.name)
        self.assert_kept(4)

    def test_paused_leader_is_replaced_and_follows_on_return(self):
        self.put(0)
        paused = self.leader()
        paused.send(signal.SIGSTOP)
        self.put(1)
        self.assertNotEqual(paused.name, self.leader().name)
        paused.send(signal.SIGCONT)
        self.put(2)
        self.assert_kept(3)

    def test_wiped_control_joins_anew_and_a_second_loss_keeps_all(self):
        self.put(0)
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
        wait_until(self.settled, "the new replica has replaced the old one")
        other.kill()
        self.put(1)
        self.assert_kept(2)

    def settled(self):
        """True if the membership has three voters and nobody waits."""
        members = self.members()
        return len(members) == 3 and not any(
            it.get("waiting") or it["member"].get("learner") for it in members)


if __name__ == "__main__":
    support.main()
