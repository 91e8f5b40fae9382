//! Settings and a driver that the tests of the module share.
#![allow(dead_code)]

pub mod net;
pub mod parse;
pub mod paused_node;
pub mod site;

use claywinch::interface::*;
use claywinch::rules::Scheduler;

/// Four hosts; classes safe, keyed, unsafe, ordered; plans with a limit and with a reserve.
pub fn settings() -> Settings {
    let class = |value, effect, ordered| Class {
        aim: 300_000,
        value,
        late_value: 0.2,
        effect,
        window: 3_000_000,
        ordered,
        attempts: 4,
    };
    let plan = |reserve, limit| Plan { rate: 40.0, reserve, weight: 2.0, price: 1.0, limit };
    Settings {
        hosts: 4,
        number: 0,
        classes: vec![
            class(1.0, Effect::Safe, false),
            class(1.0, Effect::Keyed(Group::Shard), false),
            class(3.0, Effect::Unsafe, false),
            class(1.0, Effect::Safe, true),
        ],
        plans: vec![plan(0.0, Some(Limit { rate: 20.0, burst: 32.0, slack: 4.0 })), plan(1000.0, None)],
        mean_units: 2.0,
        max_units: 8.0,
        share_value: 0.4,
        spare_value: 0.1,
        meter_period: 0,
        reports_elsewhere: false,
        list_on_request: false,
        concurrent_attempts: false,
        cancel: false,
        probes: false,
        max_retry_after: 500_000,
        cold_units: 24.0,
        cold_fraction: 0.2,
        warmup_time: 10_000_000,
        cold_window: 2_000_000,
        key_cooldown: 100_000,
        budget: Some(Budget { free: 3.0, share: 0.1, span: 5_000_000 }),
    }
}

/// A request of a test; see [`ask`] for what it leaves out.
#[derive(Clone, Copy)]
pub struct Ask<'a> {
    pub id: RequestId,
    pub class: usize,
    pub plan: usize,
    pub key: &'a str,
    pub due: Time,
    pub units: f64,
    pub shard: Option<ShardId>,
    pub repeat: bool,
}

/// A safe request of one unit for shard 0 on the plan with a reserve, due in two seconds.
pub fn ask(id: RequestId) -> Ask<'static> {
    Ask { id, class: 0, plan: 1, key: "key", due: 0, units: 1.0, shard: Some(0), repeat: false }
}

/// A scheduler with a clock.
pub struct Drive {
    pub scheduler: Scheduler,
    pub now: Time,
    pub last_node: NodeId,
}

impl Drive {
    pub fn new(settings: Settings) -> Self {
        let now = 5_000_000;
        Drive { scheduler: Scheduler::new(settings, 7, now).expect("good settings"), now, last_node: 0 }
    }
    pub fn wait(&mut self, time: Time) {
        self.now += time;
    }
    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut acts = Vec::new();
        self.scheduler.handle(self.now, [event], &mut acts);
        if let Some((_, node)) = sends(&acts).last() {
            self.last_node = *node;
        }
        acts
    }
    pub fn nodes(&mut self, list: &[(NodeId, ShardId)]) -> Vec<Action> {
        let entry = |(node, shard): &(NodeId, ShardId)| entry(*node, *shard, NodeState::Up, None);
        self.event(Event::Nodes(ListKind::Full, list.iter().map(entry).collect()))
    }
    pub fn change(
        &mut self,
        node: NodeId,
        shard: ShardId,
        state: NodeState,
        at: Option<Time>,
    ) -> Vec<Action> {
        self.event(Event::Nodes(ListKind::Changes, vec![entry(node, shard, state, at)]))
    }
    /// The event of a request that comes now.
    pub fn arrival(&self, ask: Ask) -> Event {
        Event::Request(Arrival {
            id: ask.id,
            class: ask.class,
            plan: ask.plan,
            key: Some(ask.key.to_string()),
            due: if ask.due == 0 { self.now + 2_000_000 } else { ask.due },
            volume: format!("volume-{}", ask.plan),
            units: ask.units,
            shard: ask.shard,
            volume_hosts: 2,
            repeat: ask.repeat,
        })
    }
    pub fn request(&mut self, ask: Ask) -> Vec<Action> {
        self.event(self.arrival(ask))
    }
    pub fn ended(
        &mut self,
        id: RequestId,
        attempt: u32,
        node: NodeId,
        ending: Ending,
        elapsed: Time,
    ) -> Vec<Action> {
        let closed = ending == Ending::Served;
        self.event(outcome(id, attempt, ending, closed, node, elapsed))
    }
    pub fn served(&mut self, id: RequestId, attempt: u32, node: NodeId, elapsed: Time) -> Vec<Action> {
        self.ended(id, attempt, node, Ending::Served, elapsed)
    }
    pub fn gone(&mut self, id: RequestId) -> Vec<Action> {
        self.event(Event::ClientGone(id))
    }
    pub fn tick(&mut self, time: Time) -> Vec<Action> {
        self.wait(time);
        self.event(Event::Timer)
    }
}

pub fn entry(node: NodeId, shard: ShardId, state: NodeState, started: Option<Time>) -> NodeEntry {
    NodeEntry { node, zone: shard % 2, shard, state, started, size: 0 }
}

/// The sends among actions: request and node.
pub fn sends(acts: &[Action]) -> Vec<(RequestId, NodeId)> {
    let pick = |a: &Action| match a {
        Action::Send { id, node, .. } => Some((*id, *node)),
        _ => None,
    };
    acts.iter().filter_map(pick).collect()
}

/// The end of an attempt at a site that tells nothing of use or load.
pub fn outcome(
    id: RequestId,
    attempt: u32,
    ending: Ending,
    closed: bool,
    node: NodeId,
    elapsed: Time,
) -> Event {
    let (served_elsewhere, volume_use, util) = (0.0, None, None);
    Event::Outcome(Outcome { id, attempt, ending, closed, node, elapsed, served_elsewhere, volume_use, util })
}
