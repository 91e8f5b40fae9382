//! Bounds the work of the scheduler, counted in inspections instead of time: the work for one event must be the same with
//! 200 nodes as with 3,200, whether the nodes are warm or cold, and the work of one turn must be bounded.

mod common;

use claywinch::interface::*;
use common::*;
use std::collections::BTreeSet;

const S: Time = 1_000_000;
/// Number of nodes of a usual fleet and of a large one.
const SIZES: [u32; 2] = [200, 3_200];
/// Number of hosts, large enough that each host may send to a cold node only in its turns.
const HOSTS: u32 = 300;
/// Maximum inspections for a request: a few for each node of the key's group, and some to find the group.
const MOST_FOR_A_REQUEST: u64 = 200;
/// Maximum inspections in a turn: the bounds on agenda entries and queue heads, times the inspections for each.
const MOST_FOR_A_TURN: u64 = 3 * 256 * 100;

fn fleet(size: u32, cold: bool) -> Drive {
    let mut drive = Drive::new(Settings { hosts: HOSTS, cold_units: 13.0, ..settings() });
    drive.now = 100 * S;
    let started = cold.then_some(drive.now - S);
    let list = (0..size).map(|n| entry(n * 7919 + 13, n, NodeState::Up, started)).collect();
    drive.event(Event::Nodes(ListKind::Full, list));
    drive
}

fn node(n: u32) -> NodeId {
    n * 7919 + 13
}

/// Mean number of inspections per step of each kind.
#[derive(Debug)]
struct Work {
    new_object: u64,
    read: u64,
    answer: u64,
    change: u64,
    /// Total of the timers of one second while all requests of the steps above wait.
    second_of_waiting: u64,
    worst_turn: u64,
}

fn measure(size: u32, cold: bool) -> Work {
    let mut drive = fleet(size, cold);
    let (mut worst, mut sent) = (0, Vec::new());
    let mut step = |drive: &mut Drive, event: Event| {
        let before = drive.scheduler.work();
        let acts = drive.event(event);
        let work = drive.scheduler.work() - before;
        worst = worst.max(work);
        sent.extend(sends(&acts));
        work
    };
    const STEPS: u64 = 100;
    let (mut new_object, mut read, mut answer, mut change) = (0, 0, 0, 0);
    for i in 0..STEPS {
        let key = format!("{:016x}", i * 0x9e37_79b9);
        let ask = Ask { class: 2, key: &key, shard: None, due: drive.now + 9 * S, ..ask(2 * i) };
        let arrival = drive.arrival(ask);
        new_object += step(&mut drive, arrival);
        let shard = (i * 31) as u32 % size;
        let ask = Ask { shard: Some(shard), due: drive.now + 9 * S, ..common::ask(2 * i + 1) };
        let arrival = drive.arrival(ask);
        read += step(&mut drive, arrival);
        let started = Some(drive.now - S);
        let changed = entry(node(shard), shard, NodeState::Up, started.filter(|_| cold));
        change += step(&mut drive, Event::Nodes(ListKind::Changes, vec![changed]));
        drive.wait(1_000);
    }
    let mut second_of_waiting = 0;
    for _ in 0..100 {
        drive.wait(10_000);
        second_of_waiting += step(&mut drive, Event::Timer);
    }
    let served: Vec<_> = std::mem::take(&mut sent);
    let step = |drive: &mut Drive, event: Event| {
        let before = drive.scheduler.work();
        drive.event(event);
        drive.scheduler.work() - before
    };
    for (id, to) in &served {
        answer += step(&mut drive, outcome(*id, 0, Ending::Served, true, *to, 20_000));
    }
    Work {
        new_object: new_object / STEPS,
        read: read / STEPS,
        answer: answer / (served.len() as u64).max(1),
        change: change / STEPS,
        second_of_waiting,
        worst_turn: worst,
    }
}

/// Guards against the cause of incident 8e9ef3: work for one event that grows with the fleet.
#[test]
fn work_for_an_event_does_not_grow_with_the_fleet() {
    for cold in [false, true] {
        let [usual, large] = SIZES.map(|size| measure(size, cold));
        println!("cold {cold}: at 200 {usual:?}\n            at 3,200 {large:?}");
        let pairs = [
            ("a new object", usual.new_object, large.new_object),
            ("a read", usual.read, large.read),
            ("an answer", usual.answer, large.answer),
            ("a change of the list", usual.change, large.change),
            ("a second of waiting", usual.second_of_waiting, large.second_of_waiting),
        ];
        for (what, usual, large) in pairs {
            assert!(large <= usual + usual / 4 + 16, "{what}, cold {cold}: {usual} at 200, {large} at 3,200");
        }
        // Requests that wait for a cold node are inspected in each turn, up to the bound of a turn.
        assert!(cold || large.new_object <= MOST_FOR_A_REQUEST, "{large:?}");
        assert!(large.worst_turn <= MOST_FOR_A_TURN, "{large:?}");
    }
}

/// Guards against a burst of requests that makes one turn as long as the burst: each turn inspects only a part of the
/// waiting requests, and every request still gets its final answer.
#[test]
fn a_turn_is_bounded_whatever_waits_and_every_request_is_answered() {
    const FLOOD: u64 = 6_000;
    let mut drive = fleet(3_200, true);
    let events: Vec<Event> = (0..FLOOD)
        .map(|i| {
            let shard = if i % 2 == 0 { Some((i % 3_200) as u32) } else { None };
            let key = format!("{i:016x}");
            let ask = Ask { class: 0, key: &key, shard, due: drive.now + 2 * S, ..ask(i) };
            drive.arrival(ask)
        })
        .collect();
    let (mut worst, mut answered): (u64, BTreeSet<RequestId>) = (0, BTreeSet::new());
    let mut count = |acts: &[Action], before: u64, drive: &Drive| {
        worst = worst.max(drive.scheduler.work() - before);
        for act in acts {
            match act {
                Action::Refuse(id, ..) | Action::Fail(id, _) | Action::Send { id, .. } => {
                    answered.insert(*id)
                }
                _ => false,
            };
        }
    };
    for chunk in events.chunks(256) {
        let before = drive.scheduler.work();
        let mut acts = Vec::new();
        drive.scheduler.handle(drive.now, chunk.to_vec(), &mut acts);
        count(&acts, before, &drive);
    }
    for _ in 0..2_000 {
        drive.wait(1_000);
        let before = drive.scheduler.work();
        let acts = drive.event(Event::Timer);
        count(&acts, before, &drive);
    }
    println!("worst turn {worst}, {} answered or sent of {FLOOD}", answered.len());
    assert!(worst <= MOST_FOR_A_TURN, "{worst}");
    assert_eq!(answered.len(), FLOOD as usize, "requests answered or sent when all deadlines have passed");
}
