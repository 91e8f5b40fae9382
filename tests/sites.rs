//! The module under the settings of two unlike deployments, several hosts at once before simulated nodes: the rules are
//! audited over all hosts together, from the outside.

mod common;
use claywinch::interface::*;
use claywinch::rules::Scheduler;
use common::entry;
use std::collections::BTreeMap;

const MS: Time = 1000;
const S: Time = 1_000_000;

fn class(aim: Time, value: f64, effect: Effect, window: Time, attempts: u32) -> Class {
    Class { aim, value, late_value: 0.2, effect, window, ordered: false, attempts }
}

fn plan(rate: f64, reserve: f64, weight: f64, limit: Option<Limit>) -> Plan {
    Plan { rate, reserve, weight, price: 1.0, limit }
}

/// Writes that must not run twice, no limits, one attempt out at a time, short aims, nodes that tell use by host.
fn guarded_writes() -> (Settings, [Time; 3]) {
    let set = Settings {
        hosts: 4,
        number: 0,
        classes: vec![
            class(150 * MS, 2.0, Effect::Safe, 0, 4),
            class(220 * MS, 3.0, Effect::Unsafe, 0, 4),
            class(S, 1.0, Effect::Safe, 0, 4),
        ],
        plans: vec![plan(12.0, 6.0, 1.0, None), plan(25.0, 20.0, 1.0, None)],
        reports_elsewhere: true,
        concurrent_attempts: false,
        cancel: false,
        cold_units: 24.0,
        cold_fraction: 0.15,
        cold_window: 1_500 * MS,
        ..common::settings()
    };
    (Settings { budget: None, ..set }, [900 * MS, 1_100 * MS, 4 * S])
}

/// Keyed writes, a plan with a limit over all hosts, second copies and cancels, longer aims, nodes that tell use in all.
fn capped_plans() -> (Settings, [Time; 3]) {
    let limit = Limit { rate: 28.0, burst: 40.0, slack: 4.0 };
    let keyed = Effect::Keyed(Group::Shard);
    let set = Settings {
        hosts: 4,
        number: 0,
        classes: vec![
            class(300 * MS, 3.0, Effect::Safe, 0, 3),
            class(500 * MS, 2.0, keyed, 100 * MS, 3),
            class(2 * S, 1.0, Effect::Safe, 0, 3),
        ],
        plans: vec![plan(7.0, 2.0, 1.0, Some(limit)), plan(18.0, 15.0, 4.0, None)],
        meter_period: S,
        reports_elsewhere: false,
        concurrent_attempts: true,
        cancel: true,
        cold_units: 16.0,
        cold_fraction: 0.21,
        cold_window: 2 * S,
        ..common::settings()
    };
    (Settings { budget: None, ..set }, [1_500 * MS, 2_500 * MS, 6 * S])
}

/// What is due at a moment.
enum Due {
    Timer(usize),
    End(usize, RequestId, u32, Ending),
    Told(usize, NodeId, NodeState, Option<Time>),
}

struct Open {
    arrival: Arrival,
    over: bool,
    /// Node, send, and ending of each attempt.
    tries: Vec<(NodeId, Time, Option<Ending>)>,
}

struct World {
    set: Settings,
    hosts: Vec<Scheduler>,
    now: Time,
    due: BTreeMap<(Time, u64), Due>,
    seq: u64,
    open: BTreeMap<(usize, RequestId), Open>,
    /// As each host was told.
    told: BTreeMap<(usize, NodeId), (ShardId, NodeState, Option<Time>)>,
    shards: BTreeMap<NodeId, ShardId>,
    /// Until when a node answers nothing, and when its work ends.
    silent: BTreeMap<NodeId, Time>,
    busy: BTreeMap<NodeId, Time>,
    cold: BTreeMap<NodeId, Vec<(Time, f64)>>,
    started: BTreeMap<NodeId, Time>,
    /// Stores of limits by volume, over all hosts.
    stores: BTreeMap<String, (Time, f64)>,
    /// The lowest that any went, the refusals and what was served.
    least: f64,
    refused: usize,
    served: usize,
    repeats: usize,
    draw: u64,
}

impl World {
    fn new(set: Settings, seed: u64) -> Self {
        let now = 100 * S;
        let hosts =
            (0..set.hosts).map(|h| Scheduler::new(set.clone(), seed + u64::from(h), now).expect("settings"));
        let mut world = World {
            hosts: hosts.collect(),
            set,
            now,
            due: BTreeMap::new(),
            seq: 0,
            open: BTreeMap::new(),
            told: BTreeMap::new(),
            shards: (0..6).map(|n| (n, n)).collect(),
            silent: BTreeMap::new(),
            busy: BTreeMap::new(),
            cold: BTreeMap::new(),
            started: BTreeMap::new(),
            stores: BTreeMap::new(),
            least: f64::MAX,
            refused: 0,
            served: 0,
            repeats: 0,
            draw: seed,
        };
        for host in 0..world.hosts.len() {
            let list: Vec<NodeEntry> = (0..6).map(|n| entry(n, n, NodeState::Up, None)).collect();
            world.told.extend((0..6).map(|n| ((host, n), (n, NodeState::Up, None))));
            world.event(host, Event::Nodes(ListKind::Saved, list));
        }
        world
    }

    fn rand(&mut self, n: u64) -> u64 {
        self.draw = self.draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.draw >> 33) % n
    }

    fn at(&mut self, time: Time, due: Due) {
        self.seq += 1;
        self.due.insert((time, self.seq), due);
    }

    fn event(&mut self, host: usize, event: Event) {
        let mut acts = Vec::new();
        self.hosts[host].handle(self.now, [event], &mut acts);
        for act in acts {
            match act {
                Action::Send { id, node, until, .. } => self.sent(host, id, node, until),
                Action::Refuse(id, after, _) => {
                    assert!((0..=self.set.max_retry_after).contains(&after));
                    self.refused += 1;
                    let open = &self.open[&(host, id)];
                    let ran = open.tries.iter().any(|t| t.2.is_none_or(may_have_run));
                    let effect = self.set.classes[open.arrival.class].effect;
                    assert!(!ran || effect == Effect::Safe, "refused {id} that may have run");
                    self.answered(host, id);
                }
                Action::Fail(id, _) => self.answered(host, id),
                Action::Cancel(id, attempt) => {
                    assert!(self.set.cancel);
                    self.ended(host, id, attempt, Ending::Cancelled);
                }
                Action::Timer(after) => self.at(self.now + after, Due::Timer(host)),
                Action::Probe(_) | Action::Subscribe | Action::Log(_) => {}
            }
        }
    }

    fn answered(&mut self, host: usize, id: RequestId) {
        let open = self.open.get_mut(&(host, id)).expect("it was asked");
        assert!(!open.over, "a second final answer for {id}");
        assert!(self.now <= open.arrival.due + 2 * MS, "{id} answered late");
        open.over = true;
    }

    fn sent(&mut self, host: usize, id: RequestId, node: NodeId, until: Time) {
        let now = self.now;
        let open = &self.open[&(host, id)];
        let (arrival, tries) = (&open.arrival, &open.tries);
        let (shard, state, _) = self.told[&(host, node)];
        assert!(!open.over, "sent after its answer");
        assert_eq!(state, NodeState::Up, "new work for a node that drains or is gone");
        assert!(arrival.shard.is_none_or(|s| s == shard), "sent where its data is not");
        let class = &self.set.classes[arrival.class];
        assert!(tries.len() < class.attempts as usize, "too many attempts");
        assert!(self.set.concurrent_attempts || tries.iter().all(|t| t.2.is_some()), "two attempts out");
        if let Some((first, at, _)) = tries.iter().find(|t| t.2.is_none_or(may_have_run)) {
            match class.effect {
                Effect::Safe => {}
                Effect::Unsafe => panic!("{id} may run twice"),
                Effect::Keyed(_) => {
                    assert_eq!(self.shards[first], shard, "a repeat outside of the group");
                    assert!(now < at + class.window, "a repeat after the window");
                }
            }
        }
        self.repeats += usize::from(!tries.is_empty());
        if let (true, Some(limit)) = (tries.is_empty(), self.set.plans[arrival.plan].limit) {
            let (at, level) = self.stores.get(&arrival.volume).copied().unwrap_or((now, limit.burst));
            let level = (level + (now - at) as f64 / S as f64 * limit.rate).min(limit.burst) - arrival.units;
            assert!(level >= -limit.slack - 1e-6, "the limit of {} passed: {level}", arrival.volume);
            self.least = self.least.min(level);
            self.stores.insert(arrival.volume.clone(), (now, level));
        }
        if let Some(started) = self.started.get(&node).filter(|s| now - **s < self.set.warmup_time) {
            let sends = self.cold.entry(node).or_default();
            sends.push((now, arrival.units));
            let window: f64 = sends.iter().filter(|s| s.0 >= now - self.set.cold_window).map(|s| s.1).sum();
            let grown = 1.0
                + (1.0 / self.set.cold_fraction - 1.0) * (now - started) as f64 / self.set.warmup_time as f64;
            assert!(window <= self.set.cold_units * grown, "a cold node pushed by all hosts: {window}");
        }
        // A node works in turn of arrival, a little unevenly, and fails now and then.
        let units = arrival.units;
        let attempt = tries.len() as u32;
        let work = (units * 8_000.0) as Time + self.rand(10_000) as Time;
        let busy = self.busy.entry(node).or_insert(now);
        *busy = (*busy).max(now) + work;
        let done = *busy;
        let (ending, at) = match self.rand(60) {
            _ if self.silent.get(&node).is_some_and(|s| now < *s) || done > until => {
                (Ending::TimedOut, until)
            }
            0 => (Ending::Error, done),
            1 => (Ending::Reset, done),
            2 => (Ending::Full, now + MS),
            _ => (Ending::Served, done),
        };
        let open = self.open.get_mut(&(host, id)).expect("it was asked");
        open.tries.push((node, now, None));
        self.at(at, Due::End(host, id, attempt, ending));
    }

    fn ended(&mut self, host: usize, id: RequestId, attempt: u32, ending: Ending) {
        let open = self.open.get_mut(&(host, id)).expect("it was asked");
        let Some((node, sent, None)) = open.tries.get(attempt as usize).copied() else { return };
        open.tries[attempt as usize].2 = Some(ending);
        if ending == Ending::Served && !open.over {
            (self.served, open.over) = (self.served + 1, true);
        }
        let volume_use = (self.set.meter_period > 0).then_some(1.2);
        let (closed, elapsed) = (open.over, self.now - sent);
        let served_elsewhere = if self.set.reports_elsewhere { 2.0 } else { 0.0 };
        let util = None;
        let end = Outcome { id, attempt, ending, closed, node, elapsed, served_elsewhere, volume_use, util };
        self.event(host, Event::Outcome(end));
    }

    /// Goes on to a moment.
    fn until(&mut self, time: Time) {
        while let Some(entry) = self.due.first_entry().filter(|e| e.key().0 <= time) {
            let ((at, _), due) = entry.remove_entry();
            self.now = self.now.max(at);
            match due {
                Due::Timer(host) => self.event(host, Event::Timer),
                Due::End(host, id, attempt, ending) => self.ended(host, id, attempt, ending),
                Due::Told(host, node, state, started) => {
                    let shard = self.shards[&node];
                    self.told.insert((host, node), (shard, state, started));
                    let list = vec![entry_of(node, shard, state, started)];
                    self.event(host, Event::Nodes(ListKind::Changes, list));
                }
            }
        }
        self.now = time;
    }

    /// A node stops; another with its data starts, cold. Hosts learn of both at times of their own.
    fn replace(&mut self, old: NodeId) {
        let (new, shard) = (self.shards.len() as NodeId, self.shards[&old]);
        self.shards.insert(new, shard);
        self.started.insert(new, self.now);
        for host in 0..self.hosts.len() {
            let late = self.now + 300 * MS + self.rand(900_000) as Time;
            self.at(late, Due::Told(host, old, NodeState::Draining, None));
            self.at(late + 100 * MS, Due::Told(host, new, NodeState::Up, Some(self.now)));
        }
    }

    /// A day of load: the lead among hosts changes, one volume surges, a node falls silent, one is replaced.
    fn play(&mut self, deadlines: [Time; 3]) {
        let start = self.now;
        let mut id = 0;
        while self.now < start + 24 * S {
            let step = 2 * MS + self.rand(6_000) as Time;
            self.until(self.now + step);
            let second = (self.now - start) / S;
            if id == 900 {
                self.silent.insert(2, self.now + 5 * S);
            }
            if id == 1_600 {
                self.replace(4);
            }
            id += 1;
            let class = [0, 0, 0, 1, 1, 2][self.rand(6) as usize];
            let surge = (6..14).contains(&second);
            let plan = usize::from(self.rand(if surge { 4 } else { 2 }) == 0);
            let volume = if surge && plan == 0 { 0 } else { self.rand(5) };
            // Most of a volume's requests come through one of its two hosts, which changes.
            let lead = (volume + second as u64 / 5) % 2;
            let other = u64::from(self.rand(if surge { 2 } else { 5 }) == 0);
            let host = ((volume + (lead + other) % 2) % self.hosts.len() as u64) as usize;
            let shard = (class != 1).then(|| self.rand(6) as ShardId);
            let (key, units) = (format!("{:x}", self.rand(500)), 1.0 + self.rand(4) as f64);
            let arrival = Arrival {
                id,
                class,
                plan,
                key: Some(key),
                due: self.now + deadlines[class],
                volume: format!("{plan}-{volume}"),
                units,
                shard,
                volume_hosts: 2,
                repeat: false,
            };
            self.open.insert((host, id), Open { arrival: arrival.clone(), over: false, tries: Vec::new() });
            self.event(host, Event::Request(arrival));
        }
        self.until(self.now + 10 * S);
        let open: Vec<RequestId> =
            self.open.iter().filter(|(_, o)| !o.over).map(|((_, id), _)| *id).collect();
        assert!(open.is_empty(), "never answered: {open:?}");
    }
}

fn entry_of(node: NodeId, shard: ShardId, state: NodeState, started: Option<Time>) -> NodeEntry {
    NodeEntry { size: 1000, ..entry(node, shard, state, started) }
}

fn may_have_run(ending: Ending) -> bool {
    !matches!(ending, Ending::Full | Ending::Unreachable | Ending::NotSent)
}

/// Guards against a rule that holds under the settings of one deployment only.
#[test]
fn every_rule_holds_over_all_hosts_under_unlike_settings() {
    for (name, site) in [("guarded writes", guarded_writes()), ("capped plans", capped_plans())] {
        for seed in 1..9 {
            let (set, deadlines) = site.clone();
            let limited = set.plans[0].limit.is_some();
            let mut world = World::new(set, seed);
            world.play(deadlines);
            let World { served, refused, repeats, least, .. } = world;
            assert!(served > 2_000, "{name}, seed {seed}: {served} served, {refused} refused");
            assert!(repeats > 20, "{name}, seed {seed}: {repeats} repeats");
            assert!(!limited || least < 12.0, "{name}, seed {seed}: the limit never bound, {least}");
        }
    }
}

/// Proof of the audit: a host that believes it is alone spends a limit twice, which must be seen.
#[test]
#[should_panic(expected = "the limit of")]
fn the_audit_sees_a_limit_that_two_hosts_spend_whole() {
    let (set, deadlines) = capped_plans();
    let mut world = World::new(set, 3);
    for host in &mut world.hosts {
        let wide = world.set.plans.iter().map(|p| {
            let limit = p.limit.map(|l| Limit { rate: 2.0 * l.rate, burst: 2.0 * l.burst, ..l });
            Plan { limit, ..p.clone() }
        });
        let set = Settings { plans: wide.collect(), ..world.set.clone() };
        host.handle(world.now, [Event::Settings(Box::new(set))], &mut Vec::new());
    }
    world.play(deadlines);
}
