//! A broker process whose discovery fails to deliver that nodes drain: the broker sends nothing to these nodes once the
//! change counts as delivered, and continues to serve from the others.

mod common;

use common::net::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant};

/// A change missed by a silent watch counts as delivered this long after the watch fell silent (protocol).
const SILENCE: Duration = Duration::from_secs(6);
/// The grace for draining nodes. Where lists are pushed, it starts as soon as the agent has the change.
const GRACE: Duration = Duration::from_secs(1);
/// Tolerance of the operators on each limit.
const SLACK: Duration = Duration::from_millis(50);
/// How long a client waits for an answer.
const DEADLINE_MS: u64 = 400;

fn settings(mode: &str) -> String {
    r#"{"balancers":1,"localities":["a"],"registry_mode":"MODE",
        "bounds":{"most_tries":4,"second_copies":false,"cancel":true,"probes":false,"retry_after":true,
          "max_retry_after_s":2.0,"conn_idle_s":15.0,"connect_timeout_s":0.25,"multiplex":100},
        "contracts":[{"name":"standard","base_rate":500.0,"parts":1.0,"price":1.0,"floor_rate":400.0}],
        "extra":{"usual_units":2.0,"largest":16,"fair_worth":0.4,"spare_worth":0.05,"young_limit":7.0},
        "rules":{"start_capacity":0.15,"cold_s":1.0,"tip_after_s":1.0,"ask_every_s":10.0,
          "stop_sending_within_s":1.0},
        "services":[{"name":"read","promise_s":0.2,"deadline_s":0.4,"credit":2.0,"late_worth":0.2,"effect":"free"}]}"#
        .replace("MODE", mode)
}

/// A broker, its discovery and two nodes with one shard each.
struct World {
    broker: Broker,
    discovery: Discovery,
    nodes: [(Shared, String); 2],
}

impl World {
    fn new(name: &str, mode: &str) -> Self {
        let nodes = [resp_node(), resp_node()];
        let (discovery, address) = Discovery::start("");
        let world = World { broker: Broker::start(name, &settings(mode), &address, None), discovery, nodes };
        world.list(["ready", "ready"]);
        until("both shards are served", || (0..2).all(|shard| world.ask(shard)));
        world
    }

    /// Sets the phases of both nodes in the list of discovery.
    fn list(&self, phases: [&str; 2]) {
        let member = |shard: usize| {
            let (address, phase) = (&self.nodes[shard].1, phases[shard]);
            format!(
                r#"{{"id":"s-0000000{shard}","host_port":"{address}","locality":"a","cell":{shard},
                    "phase":"{phase}"}}"#
            )
        };
        self.discovery.set(&format!("{},{}", member(0), member(1)));
    }

    /// Sends a request for a shard and returns whether it was served.
    fn ask(&self, shard: usize) -> bool {
        self.ask_on(&mut connect(&self.broker.listen), shard)
    }

    fn ask_on(&self, stream: &mut TcpStream, shard: usize) -> bool {
        static IDS: AtomicU64 = AtomicU64::new(1);
        let id = format!("{:016x}", IDS.fetch_add(1, Relaxed));
        let fields = format!(
            "c=read,t=standard,d={DEADLINE_MS},volume=00000003b4d60021,units=2,shard={shard},hosts=1"
        );
        let length = fields.len();
        let command = format!(
            "*4\r\n$7\r\nOBJ.GET\r\n$16\r\n7f3a9c21e0b4d655\r\n$16\r\n{id}\r\n${length}\r\n{fields}\r\n"
        );
        stream.write_all(command.as_bytes()).expect("the request is sent");
        let first = line(stream).expect("an answer");
        // The value follows its length.
        first.starts_with('$') && exact(stream, 7).is_ok()
    }

    /// Sends requests for both shards for a while. Returns how often each was served and when the first node last
    /// received a request.
    fn load(&self, duration: Duration) -> ([usize; 2], Option<Instant>) {
        let end = Instant::now() + duration;
        let mut served = [0; 2];
        thread::scope(|scope| {
            for (shard, served) in served.iter_mut().enumerate() {
                scope.spawn(move || {
                    let mut stream = connect(&self.broker.listen);
                    while Instant::now() < end {
                        *served += usize::from(self.ask_on(&mut stream, shard));
                        thread::sleep(Duration::from_millis(5));
                    }
                });
            }
        });
        (served, self.nodes[0].0.lock().expect("the script").last)
    }

    /// Asserts that the first node received nothing after the grace that follows `delivered`.
    fn assert_first_not_sent_after(&self, delivered: Instant, last: Option<Instant>) {
        let last = last.expect("the first node received requests");
        assert!(
            last < delivered + GRACE + SLACK,
            "{:?} after the change counted as delivered",
            last - delivered
        );
    }
}

/// Guards against a fault seen in operation: all watches fall silent, a node begins to drain right after, and the broker
/// sent to it until it noticed the silence and had called discovery again. Discovery answers new calls.
#[test]
fn a_node_that_drains_behind_a_silent_watch_gets_no_requests_and_others_do() {
    for after_ms in [0, 700] {
        let world = World::new(&format!("silent-{after_ms}"), "on_request");
        let silent = Instant::now();
        world.discovery.fall_silent(false);
        thread::sleep(Duration::from_millis(after_ms));
        world.list(["draining", "ready"]);
        let (served, last) = world.load(SILENCE + Duration::from_secs(3));
        world.assert_first_not_sent_after(silent + SILENCE, last);
        assert!(served[1] > 300, "{served:?}");
        assert!(!world.broker.log().contains("held=true"));
    }
}

/// Guards against a broker that keeps using its old list because it cannot get a new one, and against one that does not
/// resume when discovery returns.
#[test]
fn a_broker_without_a_valid_list_sends_nothing_until_it_gets_one() {
    let world = World::new("unknown", "on_request");
    let silent = Instant::now();
    world.discovery.fall_silent(true);
    world.list(["draining", "ready"]);
    let (served, last) = world.load(SILENCE + Duration::from_secs(3));
    world.assert_first_not_sent_after(silent + SILENCE, last);
    assert!(served[0] > 0 && served[1] > 0, "both were served while the list was valid: {served:?}");
    assert!(world.broker.log().contains("held=true"));
    assert!(!world.ask(1) && !world.ask(0));
    world.discovery.refuse(false);
    until("the ready node is served again", || world.ask(1));
    assert!(!world.ask(0), "the draining node is not");
    // The draining node is ready again.
    world.list(["ready", "ready"]);
    until("both are served", || world.ask(0) && world.ask(1));
}

/// Guards against a broker that obeys the rule by not sending at all: discovery resets its watches and rejects calls for
/// longer than the silence limit.
#[test]
fn rejected_calls_do_not_stop_sending_and_the_end_of_the_outage_is_noticed() {
    let world = World::new("outage", "on_request");
    world.discovery.refuse(true);
    world.discovery.reset();
    let before = world.discovery.calls();
    let (served, _) = world.load(SILENCE + Duration::from_secs(2));
    assert!(served.iter().all(|n| *n > 300), "{served:?}");
    assert!(!world.broker.log().contains("held=true"));
    let calls = world.discovery.calls() - before;
    assert!((2..12).contains(&calls), "calls during the outage: {calls}");
    world.list(["draining", "ready"]);
    let back = Instant::now();
    world.discovery.refuse(false);
    // After failed calls the change counts as delivered six seconds after discovery is reachable again, even if the
    // settings allow more.
    let (served, last) = world.load(Duration::from_secs(13));
    world.assert_first_not_sent_after(back + SILENCE, last);
    assert!(served[1] > 300, "{served:?}");
}

/// Guards against a broker that keeps no watch where lists are pushed, and against one that trusts its old list after its
/// start although its agent has a newer one.
#[test]
fn where_lists_are_pushed_a_change_counts_as_delivered_once_the_agent_has_it() {
    let world = World::new("pushed", "pushed");
    world.list(["draining", "ready"]);
    let delivered = Instant::now();
    let (served, last) = world.load(Duration::from_secs(2));
    world.assert_first_not_sent_after(delivered, last);
    assert!(served[1] > 50, "{served:?}");
    // The agent rejects the call. A change that it has counts as delivered whether or not a watch is open.
    world.discovery.refuse(true);
    world.discovery.reset();
    world.list(["draining", "draining"]);
    thread::sleep(GRACE);
    let seen = world.nodes[1].0.lock().expect("the script").seen;
    assert!(!world.ask(1));
    assert_eq!(world.nodes[1].0.lock().expect("the script").seen, seen);
}
