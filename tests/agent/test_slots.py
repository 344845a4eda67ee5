"""Check the allocation of an endpoint's slots, credits and preemption."""

from __future__ import annotations

import pytest

from basilroad.agent.run import Run
from basilroad.agent.slots import Slots, SlotSettings
from basilroad.coordination.fairpolicy import FairSettings
from basilroad.peers.wire import peer_pb2 as wire

MODEL = "spec-llm"
URGENT, STANDARD, BATCH = 0, 1, 2


class FakeLink:
    """Records the credits that the agent sends to one entry."""

    def __init__(self, name: str = "entry") -> None:
        self.name = name
        self.credits: list[wire.Credit] = []

    def send(self, message: wire.AgentMessage) -> None:
        self.credits.append(message.credit)


def _demand(*backlogs: tuple[int, str, int], whole: bool = True, model: str = MODEL) -> wire.Demand:
    messages = [
        wire.Backlog(rank=rank, workspace="w", caller=caller, waiting=waiting, tokens=10)
        for rank, caller, waiting in backlogs
    ]
    return wire.Demand(model=model, whole=whole, backlogs=messages)


def _run(rank: int, caller: str = "c", cost: int = 10) -> Run:
    start = wire.StartGeneration(rank=rank, workspace="w", caller=caller, cost=cost)
    return Run(start, [])


def _slots(total: int = 4, **settings: object) -> Slots:
    return Slots("engine", total, SlotSettings(**settings))  # type: ignore[arg-type]


def test_free_slots_are_granted_to_the_most_urgent_rank_first() -> None:
    slots, link = _slots(), FakeLink()
    slots.report(link, _demand((BATCH, "b", 9), (URGENT, "u", 1), (STANDARD, "s", 9)), MODEL)
    slots.grant()
    assert [credit.caller for credit in link.credits[:1]] == ["u"]
    assert len(link.credits) == 4
    assert slots.free == 0


def test_partial_demand_leaves_other_flows_unchanged() -> None:
    slots, link = _slots(2), FakeLink()
    slots.report(link, _demand((STANDARD, "a", 1), (STANDARD, "b", 1)), MODEL)
    slots.report(link, _demand((STANDARD, "a", 0), whole=False), MODEL)
    slots.report(link, _demand((URGENT, "c", 5), model="other"), MODEL)
    slots.grant()
    assert [credit.caller for credit in link.credits] == ["b"]


def test_slot_of_an_expired_credit_is_granted_to_another_entry(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    slots, expired, active = _slots(1), FakeLink("expired"), FakeLink("active")
    slots.report(expired, _demand((URGENT, "a", 1)), MODEL)
    slots.report(active, _demand((STANDARD, "b", 1)), MODEL)
    slots.grant()
    assert not slots.expire()
    monkeypatch.setattr("basilroad.agent.slots.time.monotonic", lambda: 1e12)
    assert slots.expire()
    slots.grant()
    assert [credit.caller for credit in active.credits] == ["b"]
    assert not slots.use_credit(expired.credits[0].credit)


def test_returned_credit_is_not_charged() -> None:
    slots, link = _slots(2), FakeLink()
    slots.occupy(_run(STANDARD, "b", cost=5), credited=False)
    slots.report(link, _demand((STANDARD, "a", 2), (STANDARD, "b", 2)), MODEL)
    for _ in range(2):
        slots.grant()
        assert link.credits[-1].caller == "a"
        assert slots.return_credit(link.credits[-1].credit)
        assert not slots.return_credit(link.credits[-1].credit)


def test_urgent_work_does_not_bypass_a_rank_below_its_floor() -> None:
    slots, link = _slots(2), FakeLink()
    slots.report(link, _demand((BATCH, "b", 5)), MODEL)
    assert slots.may_start(URGENT)
    assert not slots.may_start(BATCH)
    slots.occupy(_run(URGENT, cost=100), credited=False)
    assert not slots.may_start(URGENT)


@pytest.mark.parametrize(
    ("floor", "running", "preempted"), [(0.1, 1, False), (0.1, 2, True), (0.0, 1, True)]
)
def test_preemption_respects_the_floor_of_a_rank(
    floor: float, running: int, preempted: bool
) -> None:
    slots = _slots()
    slots.configure(SlotSettings(FairSettings(floors={BATCH: floor})))
    runs = [_run(BATCH) for _ in range(running)]
    for run in runs:
        slots.occupy(run, credited=False)
    assert slots.find_victim(_run(URGENT).start) is (runs[-1] if preempted else None)
    assert slots.find_victim(_run(BATCH).start) is None


def test_nothing_is_preempted_when_preemption_is_off() -> None:
    slots = _slots(preemption=False)
    for _ in range(4):
        slots.occupy(_run(BATCH), credited=False)
    assert slots.find_victim(_run(URGENT).start) is None


def test_preempted_work_is_charged_for_decoded_tokens_only() -> None:
    slots, link = _slots(2), FakeLink()
    cut, other = _run(STANDARD, "cut", cost=100), _run(STANDARD, "other", cost=100)
    for run in (cut, other):
        slots.occupy(run, credited=False)
    cut.tokens.extend(["t"] * 10)
    slots.release(cut)
    slots.report(link, _demand((STANDARD, "other", 1), (STANDARD, "cut", 1)), MODEL)
    slots.grant()
    assert [credit.caller for credit in link.credits] == ["cut"]


def _fill(slots: Slots, callers: str) -> list[Run]:
    runs = [_run(STANDARD, caller) for caller in callers]
    for run in runs:
        slots.occupy(run, credited=False)
    return runs


def test_smaller_caller_preempts_the_newest_run_without_tokens() -> None:
    slots = _slots()
    runs = _fill(slots, "llsl")
    assert slots.count_starting()[STANDARD] == 4
    assert slots.find_victim(_run(STANDARD, "new").start) is runs[3]
    runs[3].tokens.append("t")
    assert slots.find_victim(_run(STANDARD, "new").start) is runs[1]
    runs[1].start.attempt = 2
    runs[0].tokens.append("t")
    assert slots.find_victim(_run(STANDARD, "new").start) is None


def test_caller_does_not_preempt_callers_of_equal_size() -> None:
    slots = _slots()
    _fill(slots, "aabb")
    assert slots.find_victim(_run(STANDARD, "a").start) is None
    slots.configure(SlotSettings(preemption=False))
    assert slots.find_victim(_run(STANDARD, "new").start) is None


def test_workspace_with_a_larger_weight_keeps_its_share() -> None:
    slots = _slots(6)
    slots.configure(SlotSettings(FairSettings(weights={"w": 3.0})))
    _fill(slots, "lllll")
    new = wire.StartGeneration(rank=STANDARD, workspace="light", caller="c")
    assert slots.find_victim(new) is not None
    slots.configure(SlotSettings(FairSettings(weights={"w": 5.0})))
    assert slots.find_victim(new) is None
