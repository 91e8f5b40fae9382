//! The decision module, what is kept of nodes, and discovery's list, with as many nodes as a fleet may have.

use super::{status_kb, time, time_with, Row};
use bytes::BytesMut;
use claywinch::interface::*;
use claywinch::rules::Scheduler;
use claywinch::state::maintenance::Maintenance;
use claywinch::wire::discovery::{decode, NodeNumbers, Response};
use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::time::Duration;

/// How long each is timed for.
const LENGTH: Duration = Duration::from_millis(150);
/// How often what changes its surroundings is timed.
const CALLS: usize = 15;
/// Brokers of the fleet.
const HOSTS: u32 = 1_700;
/// Requests a second at one broker: the fleet's 1.8 million over its brokers.
const REQUESTS: Time = 1_060;
/// How long a node takes to answer, in microseconds.
const ANSWER: Time = 4_000;
/// Schedulers that are made to weigh one.
const WEIGHED: usize = 6;

fn settings() -> Settings {
    let class = |effect| Class {
        aim: 300_000,
        value: 1.0,
        late_value: 0.2,
        effect,
        window: 3_000_000,
        ordered: false,
        attempts: 4,
    };
    Settings {
        hosts: HOSTS,
        number: 17,
        classes: vec![class(Effect::Safe), class(Effect::Unsafe)],
        plans: vec![Plan { rate: 40.0, reserve: 1000.0, weight: 2.0, price: 1.0, limit: None }],
        mean_units: 2.0,
        max_units: 8.0,
        share_value: 0.4,
        spare_value: 0.1,
        max_retry_after: 500_000,
        cold_units: 13.0,
        cold_fraction: 0.15,
        warmup_time: 15_000_000,
        cold_window: 1_500_000,
        key_cooldown: 100_000,
        budget: Some(Budget { free: 3.0, share: 0.1, span: 5_000_000 }),
        ..Settings::default()
    }
}

fn entry(node: u32, state: NodeState) -> NodeEntry {
    NodeEntry { node: node * 7919 + 13, zone: node % 17, shard: node, state, started: None, size: 1000 }
}

/// A scheduler and its clock.
struct Drive {
    scheduler: Scheduler,
    now: Time,
    nodes: u32,
    next: RequestId,
    acts: Vec<Action>,
    refused: u64,
}

impl Drive {
    fn new(nodes: u32) -> Result<Drive, String> {
        let now = 5_000_000;
        let scheduler = Scheduler::new(settings(), 7, now).map_err(|e| e.to_string())?;
        let mut drive = Drive { scheduler, now, nodes, next: 0, acts: Vec::new(), refused: 0 };
        let list = (0..nodes).map(|n| entry(n, NodeState::Up)).collect();
        drive.event(Event::Nodes(ListKind::Full, list));
        Ok(drive)
    }

    fn event(&mut self, event: Event) {
        self.acts.clear();
        self.scheduler.handle(self.now, [event], &mut self.acts);
    }

    /// A request for the shard of one node after another, and its answer; at the pace of a broker.
    fn ask(&mut self) {
        self.next += 1;
        self.now += 1_000_000 / REQUESTS;
        let node = (self.next.wrapping_mul(2_654_435_761) % u64::from(self.nodes)) as u32;
        self.event(Event::Request(Arrival {
            id: self.next,
            class: 0,
            plan: 0,
            key: Some("00000000000000aa".to_string()),
            due: self.now + 1_000_000,
            volume: format!("{:016x}", self.next % 64),
            units: 1.0,
            shard: Some(node),
            volume_hosts: HOSTS,
            repeat: false,
        }));
        let sent = self.acts.iter().find_map(|a| match a {
            Action::Send { node, .. } => Some(*node),
            _ => None,
        });
        let Some(node) = sent else {
            self.refused += 1;
            return self.event(Event::ClientGone(self.next));
        };
        self.event(Event::Outcome(Outcome {
            id: self.next,
            attempt: 0,
            ending: Ending::Served,
            closed: true,
            node,
            elapsed: ANSWER,
            served_elsewhere: 0.0,
            volume_use: None,
            util: None,
        }));
    }
}

/// A list as discovery sends it.
fn listing(nodes: u32, complete: bool) -> String {
    let mut members = String::new();
    for n in 0..nodes {
        let comma = if n > 0 { "," } else { "" };
        // Writing to a text cannot fail.
        let _ = write!(
            members,
            r#"{comma}{{"id":"d-{:08x}","host_port":"10.{}.{}.{}:6400","locality":"zone-{:02}","cell":{n},"phase":"ready","up_since_ms":1790000000000,"size":1.0}}"#,
            n * 7919 + 13,
            100 + n % 17,
            n / 250,
            n % 250,
            n % 17
        );
    }
    let body = format!(r#"{{"revision":77,"complete":{complete},"members":[{members}]}}"#);
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// What so many nodes cost a broker.
pub fn measure(nodes: u32, run: u64) -> Result<Vec<Row>, String> {
    let (of, mut rows) = (("data", u64::from(nodes), run), Vec::new());
    let mut row = |quantity: &str, unit: &str, value: f64| rows.push(Row::new(of, quantity, unit, value));
    let own = std::process::id();
    let before = status_kb(own, "VmRSS");
    let mut weighed = (0..WEIGHED).map(|_| Drive::new(nodes)).collect::<Result<Vec<_>, _>>()?;
    let listed = status_kb(own, "VmRSS");
    row("listed-memory", "KiB", listed.saturating_sub(before) as f64 / WEIGHED as f64);
    weighed.iter_mut().for_each(|d| (0..3 * nodes).for_each(|_| d.ask()));
    let used = status_kb(own, "VmRSS");
    row("used-memory", "KiB", used.saturating_sub(before) as f64 / WEIGHED as f64);
    drop(weighed);
    let mut drive = Drive::new(nodes)?;
    (0..3 * nodes).for_each(|_| drive.ask());
    drive.refused = 0;
    let begin = drive.next;
    row("request", "ns", time(LENGTH, || drive.ask()));
    row("request-refused", "part", drive.refused as f64 / (drive.next - begin).max(1) as f64);
    row(
        "timer",
        "ns",
        time(LENGTH, || {
            drive.now += 1_000;
            drive.event(Event::Timer);
        }),
    );
    let full: Vec<NodeEntry> = (0..nodes).map(|n| entry(n, NodeState::Up)).collect();
    let whole = time_with(
        CALLS,
        || full.clone(),
        |list| {
            drive.now += 1_000;
            drive.event(Event::Nodes(ListKind::Full, list));
        },
    );
    row("full-list", "us", whole / 1e3);
    let mut up = true;
    let change = time(LENGTH, || {
        up = !up;
        drive.now += 1_000;
        let state = if up { NodeState::Up } else { NodeState::Draining };
        drive.event(Event::Nodes(ListKind::Changes, vec![entry(3, state)]));
    });
    row("change", "us", change / 1e3);
    for (what, count, complete) in [("list", nodes, true), ("list-change", 1, false)] {
        let text = listing(count, complete);
        row(&format!("{what}-length"), "B", text.len() as f64);
        let parse = || decode(&mut BytesMut::from(text.as_bytes())).is_ok_and(|d| d.is_some());
        if !parse() {
            return Err("a list that was made here is not read".to_string());
        }
        row(&format!("{what}-parse"), "us", time(LENGTH, parse) / 1e3);
    }
    let Ok(Some((Response::Listing(list), _))) = decode(&mut BytesMut::from(listing(nodes, true).as_bytes()))
    else {
        return Err("a list that was made here is not read".to_string());
    };
    let zones: Vec<String> = (0..17).map(|z| format!("zone-{z:02}")).collect();
    let mut numbers = NodeNumbers::default();
    let made = time_with(CALLS, || list.clone(), |list| list.into_listed(&mut numbers, &zones));
    row("list-numbered", "us", made / 1e3);
    // A drain that the cluster agreed on, taken into the broker's table.
    let mut maintenance = Maintenance::default();
    maintenance.apply_list(0, ListKind::Full, list.into_listed(&mut numbers, &zones));
    let (mut at, mut out) = (1_000, false);
    let drained = BTreeSet::from([format!("d-{:08x}", 3 * 7919 + 13)]);
    let share = time(LENGTH, || {
        (at, out) = (at + 1_000, !out);
        maintenance.set_shared(at, if out { drained.clone() } else { BTreeSet::new() })
    });
    row("drain-taken", "us", share / 1e3);
    Ok(rows)
}
