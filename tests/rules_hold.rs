//! Property test: feeds the scheduler arbitrary legal events and checks every action against the rules. Nodes are not
//! modelled; outcomes are random.

mod common;
use claywinch::interface::*;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;

#[derive(Debug, Clone)]
enum Step {
    Ask { class: usize, plan: usize, key: u8, shard: Option<u32>, units: u8, life: Time, repeat: bool },
    End { pick: usize, ending: u8 },
    Gone { pick: usize },
    List { shard: u32, state: u8, fresh: bool },
    Wait(Time),
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    let shard = prop_oneof![Just(None), (0u32..4).prop_map(Some)];
    prop_oneof![
        8 => (0usize..4, 0usize..2, 0u8..3, shard, 1u8..=8, 20_000i64..2_000_000, any::<bool>()).prop_map(
            |(class, plan, key, shard, units, life, repeat)| Step::Ask { class, plan, key, shard, units, life, repeat }),
        8 => (any::<prop::sample::Index>(), 0u8..7).prop_map(|(i, ending)| Step::End { pick: i.index(1 << 20), ending }),
        1 => any::<prop::sample::Index>().prop_map(|i| Step::Gone { pick: i.index(1 << 20) }),
        1 => (0u32..4, 0u8..3, any::<bool>()).prop_map(|(shard, state, fresh)| Step::List { shard, state, fresh }),
        6 => (0i64..120_000).prop_map(Step::Wait),
        1 => Just(Step::Restart),
    ]
}

#[derive(Clone)]
struct Open {
    class: usize,
    plan: usize,
    key: u8,
    due: Time,
    units: f64,
    shard: Option<u32>,
    order: u64,
    /// Node, send time and ending of each attempt.
    tries: Vec<(NodeId, Time, Option<Ending>)>,
    over: bool,
}

/// The test's own record of the events that the scheduler got and the actions that it returned.
struct Audit {
    drive: Drive,
    set: Settings,
    open: BTreeMap<RequestId, Open>,
    next: u64,
    states: BTreeMap<NodeId, (u32, NodeState, Option<Time>)>,
    next_node: NodeId,
    key_cooldown: BTreeMap<u8, Time>,
    cold: Vec<(NodeId, Time, f64)>,
    store: f64,
    store_at: Time,
    taken: Vec<Time>,
    extra: Vec<Time>,
}

fn proves_not_run(e: Ending) -> bool {
    matches!(e, Ending::Full | Ending::Unreachable | Ending::NotSent)
}

impl Audit {
    fn new(set: Settings) -> Self {
        let drive = Drive::new(set.clone());
        let store_at = drive.now;
        let mut audit = Audit {
            drive,
            store: set.plans[0].limit.unwrap().burst,
            set,
            open: BTreeMap::new(),
            next: 0,
            states: (0..4).map(|s| (s, (s, NodeState::Up, None))).collect(),
            next_node: 4,
            key_cooldown: BTreeMap::new(),
            cold: Vec::new(),
            store_at,
            taken: Vec::new(),
            extra: Vec::new(),
        };
        audit.list(ListKind::Saved);
        audit
    }

    fn list(&mut self, kind: ListKind) {
        let entries =
            self.states.iter().map(|(n, (shard, state, at))| entry(*n, *shard, *state, *at)).collect();
        self.event(Event::Nodes(kind, entries));
    }

    fn event(&mut self, event: Event) {
        let acts = self.drive.event(event);
        for act in acts {
            match act {
                Action::Send { id, node, .. } => self.sent(id, node),
                Action::Refuse(id, after, _) => {
                    let open = &self.open[&id];
                    assert!(!open.over, "a second answer for {id}");
                    assert!((0..=self.set.max_retry_after).contains(&after));
                    let ran = open.tries.iter().any(|t| t.2.is_none_or(|e| !proves_not_run(e)));
                    let effect = self.set.classes[open.class].effect;
                    assert!(
                        !ran || matches!(effect, Effect::Safe | Effect::Keyed(Group::All)),
                        "refused {id} that may have run"
                    );
                    self.open.get_mut(&id).unwrap().over = true;
                }
                Action::Fail(id, _) => {
                    let open = self.open.get_mut(&id).unwrap();
                    assert!(!open.over, "a second answer for {id}");
                    open.over = true;
                }
                Action::Cancel(..) | Action::Probe(_) => panic!("these settings allow neither"),
                Action::Timer(after) => assert!(after > 0),
                Action::Subscribe | Action::Log(_) => {}
            }
        }
    }

    fn sent(&mut self, id: RequestId, node: NodeId) {
        let now = self.drive.now;
        let r = self.open[&id].clone();
        assert!(!r.over, "sent after its answer");
        assert!(r.tries.len() < 4, "too many attempts");
        assert!(r.tries.iter().all(|t| t.2.is_some()), "two attempts at once");
        let (shard, state, started) = self.states[&node];
        assert_eq!(state, NodeState::Up, "sent to a node that drains or is gone");
        assert!(r.shard.is_none_or(|s| s == shard), "sent to a node without its data");
        let class = &self.set.classes[r.class];
        for (to, at, ending) in &r.tries {
            if !ending.is_some_and(proves_not_run) {
                match class.effect {
                    Effect::Safe => {}
                    Effect::Keyed(group) => {
                        let first = self.states[to].0;
                        let same = match group {
                            Group::All => true,
                            Group::Zone => first % 2 == shard % 2,
                            Group::Shard => first == shard,
                        };
                        assert!(same, "keyed, outside its group");
                        assert!(now < at + class.window, "keyed, after its window");
                    }
                    Effect::Unsafe => panic!("unsafe work sent twice"),
                }
            }
        }
        if class.ordered {
            for o in self.open.values().filter(|o| self.set.classes[o.class].ordered && o.key == r.key) {
                let settled = o.over && o.tries.iter().all(|t| t.2.is_some());
                assert!(o.order >= r.order || settled, "ordered key: sent before an earlier request");
            }
            let rest = self.key_cooldown.get(&r.key).copied().unwrap_or(0);
            assert!(!r.tries.is_empty() || now >= rest, "sent before the cooldown of the key is over");
        }
        if let (true, Some(budget)) = (!r.tries.is_empty(), self.set.budget) {
            self.extra.push(now);
            let made = self.extra.iter().filter(|t| **t >= now - budget.span).count() as f64;
            let taken = self.taken.iter().filter(|t| **t > now - budget.span).count() as f64;
            assert!(made <= budget.free + budget.share * taken, "over the budget");
        }
        if let Some(at) = started.filter(|at| now - at < self.set.warmup_time) {
            self.cold.push((node, now, r.units));
            let window = self.cold.iter().filter(|c| c.0 == node && c.1 >= now - self.set.cold_window);
            let grown =
                1.0 + (1.0 / self.set.cold_fraction - 1.0) * (now - at) as f64 / self.set.warmup_time as f64;
            let part = self.set.cold_units / f64::from(self.set.hosts) * grown;
            assert!(window.map(|c| c.2).sum::<f64>() <= part, "too much load on a cold node");
        }
        if let (true, Some(limit)) = (r.tries.is_empty(), self.set.plans[r.plan].limit) {
            // This host's even part of the limit bucket, kept across restarts; its part of the slack may be used.
            let hosts = 2.0;
            self.store += (now - self.store_at) as f64 / 1e6 * limit.rate;
            self.store = self.store.min(limit.burst);
            self.store_at = now;
            self.store -= r.units * hosts;
            assert!(self.store >= -limit.slack - 1e-6, "limit exceeded: {}", self.store);
        }
        self.open.get_mut(&id).unwrap().tries.push((node, now, None));
    }

    fn end(&mut self, pick: usize, ending: Ending) {
        let out: Vec<(RequestId, usize)> = self
            .open
            .iter()
            .flat_map(|(id, o)| {
                o.tries.iter().enumerate().filter(|(_, t)| t.2.is_none()).map(|(i, _)| (*id, i))
            })
            .collect();
        let Some((id, attempt)) = (!out.is_empty()).then(|| out[pick % out.len()]) else { return };
        let now = self.drive.now;
        let open = self.open.get_mut(&id).unwrap();
        let (node, at, _) = open.tries[attempt];
        open.tries[attempt].2 = Some(ending);
        open.over |= ending == Ending::Served;
        let closed = open.over;
        if self.set.classes[open.class].ordered
            && matches!(ending, Ending::TimedOut | Ending::Reset | Ending::Cancelled)
        {
            self.key_cooldown.insert(open.key, now + self.set.key_cooldown);
        }
        self.event(outcome(id, attempt as u32, ending, closed, node, now - at));
    }

    fn play(&mut self, step: Step) {
        match step {
            Step::Ask { class, plan, key, shard, units, life, repeat } => {
                let id = self.next;
                self.next += 1;
                let due = self.drive.now + life;
                self.taken.push(self.drive.now);
                let units = f64::from(units);
                let tries = Vec::new();
                let over = false;
                self.open.insert(id, Open { class, plan, key, due, units, shard, order: id, tries, over });
                self.event(Event::Request(Arrival {
                    id,
                    class,
                    plan,
                    key: Some(format!("k{key}")),
                    due,
                    volume: format!("v{plan}"),
                    units,
                    shard,
                    volume_hosts: 2,
                    repeat,
                }));
            }
            Step::End { pick, ending } => {
                let all = [
                    Ending::Served,
                    Ending::Error,
                    Ending::Full,
                    Ending::TimedOut,
                    Ending::Unreachable,
                    Ending::Reset,
                    Ending::NotSent,
                ];
                self.end(pick, all[ending as usize]);
            }
            Step::Gone { pick } => {
                let live: Vec<_> = self.open.iter().filter(|(_, o)| !o.over).map(|(id, _)| *id).collect();
                if let Some(id) = (!live.is_empty()).then(|| live[pick % live.len()]) {
                    self.open.get_mut(&id).unwrap().over = true;
                    self.event(Event::ClientGone(id));
                }
            }
            Step::List { shard, state, fresh } => {
                let old: Vec<NodeId> =
                    self.states.iter().filter(|(_, s)| s.0 == shard).map(|(n, _)| *n).collect();
                let state = [NodeState::Up, NodeState::Draining, NodeState::Gone][state as usize];
                let started = Some(self.drive.now);
                if fresh {
                    for n in old {
                        self.states.get_mut(&n).unwrap().1 = NodeState::Gone;
                    }
                    self.states.insert(self.next_node, (shard, NodeState::Up, started));
                    self.next_node += 1;
                } else if let Some(last) = old.last() {
                    self.states.get_mut(last).unwrap().1 = state;
                }
                self.list(ListKind::Full);
            }
            Step::Wait(time) => {
                // The clock advances in small steps, so that no request may be open past its deadline.
                let until = self.drive.now + time;
                while self.drive.now < until {
                    self.drive.now = (self.drive.now + 4_000).min(until);
                    self.event(Event::Timer);
                    let now = self.drive.now;
                    let late = self.open.iter().find(|(_, o)| !o.over && o.due + 8_000 < now);
                    assert!(late.is_none(), "no answer in time: {:?}", late.map(|l| l.0));
                }
            }
            Step::Restart => {
                // The host is killed and restarts without its state; clients retry its open requests.
                let now = self.drive.now;
                self.drive = Drive::new(self.set.clone());
                self.drive.now = now + 2_000_000;
                let seed = now as u64;
                self.drive.scheduler =
                    claywinch::rules::Scheduler::new(self.set.clone(), seed, self.drive.now).unwrap();
                self.open.clear();
                self.key_cooldown.clear();
                self.taken.clear();
                self.extra.clear();
                self.list(ListKind::Saved);
            }
        }
    }
}

#[test]
fn arbitrary_events_break_no_rule() {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let cases = (prop::collection::vec(step(), 50..400), any::<bool>(), 0i64..2, 0usize..3);
    runner
        .run(&cases, |(steps, budget, rest, group)| {
            let mut set = settings();
            set.classes[1].effect = Effect::Keyed([Group::All, Group::Zone, Group::Shard][group]);
            let set = Settings {
                budget: set.budget.filter(|_| budget),
                key_cooldown: set.key_cooldown * rest,
                list_on_request: budget,
                ..set
            };
            let mut audit = Audit::new(set);
            for step in steps {
                audit.play(step);
            }
            Ok(())
        })
        .unwrap();
}
