//! A simulated clock and network around the program's own membership modules: one thread, seeded, so that a run
//! plays again exactly. Faults are put between brokers, and every view that any of them adopts is noted.

use crate::layout::Layout;
use crate::meter::{kind, Counted, Spread, Traffic};
use claywinch::interface::Time;
use claywinch::state::membership::drains::Decided;
use claywinch::state::membership::lease::over_after;
use claywinch::state::membership::node::{Node, Output, Packet, Phase};
use claywinch::state::membership::{Settings, View};
use claywinch::wire::cluster::encode;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// One second, in the unit of [`Time`].
pub const SECOND: Time = 1_000_000;
/// How long a lease lasts.
pub const LEASE: Time = 3 * SECOND;
/// Between two turns of a broker that nothing reaches.
const TURN: Time = 100_000;
/// Packets that wait at a paused broker; more are lost, as at a full socket.
const MOST_WAITING: usize = 512;

/// What one direction between two brokers does to packets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Link {
    /// Part that is lost; 1 is a cut.
    pub loss: f64,
    /// Least and most time on the way, in microseconds: a spread reorders.
    pub delay: (Time, Time),
    /// Part that arrives twice.
    pub twice: f64,
}

impl Default for Link {
    fn default() -> Self {
        Link { loss: 0.0, delay: (100, 600), twice: 0.0 }
    }
}

impl Link {
    /// Nothing passes.
    pub const CUT: Link = Link { loss: 1.0, delay: (0, 1), twice: 0.0 };
}

/// A broker's host: the process may come and go, what was kept stays.
#[derive(Default)]
pub struct Host {
    /// The process, if it runs.
    pub node: Option<Node>,
    /// What it kept last.
    pub kept: Option<Vec<u8>>,
    /// Until when it stands still.
    pub paused: Time,
    /// Every packet waits so long before it is read.
    pub slow: Time,
    /// Dies after so many more things done: in the middle of a turn.
    pub dies_after: Option<usize>,
    /// Its clock is so much ahead of the others'.
    pub ahead: Time,
    /// Its disk takes nothing more.
    pub full: bool,
    /// The nodes that are out here.
    pub out: BTreeSet<String>,
    /// What became of operators' calls that were made here.
    pub decided: Vec<Decided>,
    /// Packets sent, and their bytes as encoded.
    pub sent: (u64, u64),
    /// What it did since the last mark.
    pub counted: Counted,
    /// The highest view of this life.
    seen: u64,
    waiting: Vec<Packet>,
    starts: u64,
    turn: u64,
}

/// What broke, with the time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Broken(pub Time, pub String);

/// All that the checkers look at.
#[derive(Debug, Default)]
pub struct History {
    views: BTreeMap<u64, (View, Time)>,
    /// The nodes that are out by the last view, and since when that is known. Ends with the view that puts them back.
    drained: BTreeMap<String, Time>,
    /// Who was left out of a view, and when that was first adopted.
    pub removed: Vec<(Time, String, u64)>,
    /// What broke.
    pub broken: Vec<Broken>,
}

impl History {
    /// Takes a view that a broker has adopted after `seen`: there is one of each number, numbers go up, and
    /// incarnations, too.
    pub fn adopted(&mut self, now: Time, by: &str, seen: u64, view: &View) {
        let mut broke = |what: String| self.broken.push(Broken(now, what));
        if view.number <= seen {
            broke(format!("{by} goes back from view {seen} to {}", view.number));
        }
        match self.views.get(&view.number) {
            Some((other, _)) if other != view => {
                broke(format!(
                    "view {} splits: {by} has {:?}, another {:?}",
                    view.number,
                    names(view),
                    names(other)
                ));
            }
            Some(_) => {}
            None => {
                for m in view.members.iter().filter(|m| m.incarnation > view.number) {
                    broke(format!("{} has an incarnation of a later view", m.name));
                }
                let before = self.views.range(..view.number).next_back().map(|(_, (v, _))| v);
                for old in before.map(|v| v.members.as_slice()).unwrap_or_default() {
                    match view.member(&old.name) {
                        None => self.removed.push((now, old.name.clone(), view.number)),
                        Some(new) if new.incarnation < old.incarnation => {
                            broke(format!("{} comes back as incarnation {}", old.name, new.incarnation));
                        }
                        Some(_) => {}
                    }
                }
                if self.last().is_none_or(|last| last.number < view.number) {
                    self.drained.retain(|node, _| view.drains.contains(node));
                    for node in &view.drains {
                        self.drained.entry(node.clone()).or_insert(now);
                    }
                }
                self.views.insert(view.number, (view.clone(), now));
            }
        }
    }

    /// Takes that a broker may send now to all nodes but these: none may to a node that was taken out long enough ago.
    pub fn sends(&mut self, now: Time, by: &str, out: &BTreeSet<String>) {
        for (node, at) in &self.drained {
            if now > at + over_after(LEASE) && !out.contains(node) {
                self.broken.push(Broken(now, format!("{by} may send to {node}, long taken out")));
            }
        }
    }

    /// The last view that anyone adopted.
    pub fn last(&self) -> Option<&View> {
        self.views.values().next_back().map(|(v, _)| v)
    }

    /// The first view after one of that number that has a node out, or not: its number, and when it was first adopted.
    pub fn first_with(&self, after: u64, node: &str, out: bool) -> Option<(u64, Time)> {
        let mut later = self.views.range(after + 1..);
        later.find(|(_, (v, _))| v.drains.contains(node) == out).map(|(number, (_, at))| (*number, *at))
    }

    /// The first view after one of that number that holds none of these names: its number, and when it was first adopted.
    pub fn first_without(&self, after: u64, names: &BTreeSet<String>) -> Option<(u64, Time)> {
        let mut later = self.views.range(after + 1..);
        let none = |v: &View| names.iter().all(|n| v.member(n).is_none());
        later.find(|(_, (v, _))| none(v)).map(|(number, (_, at))| (*number, *at))
    }

    /// When a view was first adopted.
    pub fn first_of(&self, number: u64) -> Option<Time> {
        self.views.get(&number).map(|(_, at)| *at)
    }
}

fn names(view: &View) -> Vec<String> {
    view.members.iter().map(|m| format!("{}/{}", m.name, m.incarnation)).collect()
}

enum Event {
    Turn(usize, u64),
    Arrive(usize, Packet, Traffic),
}

/// Brokers, links and the time.
pub struct World {
    /// The time, in microseconds.
    pub now: Time,
    /// The brokers' hosts, by number.
    pub hosts: Vec<Host>,
    /// Links that are not as the others; from, to.
    pub links: BTreeMap<(usize, usize), Link>,
    /// All others, where there is no layout.
    pub link: Link,
    /// Where brokers stand; what `links` does not say of a link follows from it.
    pub layout: Option<Layout>,
    /// What was seen.
    pub history: History,
    /// For chance; schedules may draw from it, too.
    pub chance: StdRng,
    /// A planted fault: leases that are taken to end so much later.
    pub forged: Time,
    /// Counts bytes of packets, which costs time. With a layout they are counted always.
    pub weighs: bool,
    voters: usize,
    silence: Time,
    /// Packets that wait at a paused broker; more are lost.
    waits: usize,
    /// All are near one another, whatever the layout says.
    near: bool,
    queue: BinaryHeap<Reverse<(Time, u64, usize)>>,
    events: Vec<Option<Event>>,
    free: Vec<usize>,
    number: u64,
}

/// A host's name.
pub fn name(host: usize) -> String {
    format!("b{host:03}")
}

impl World {
    /// So many hosts, none of which runs, with this many seeds.
    pub fn new(seed: u64, hosts: usize, voters: usize) -> World {
        World {
            now: 0,
            hosts: (0..hosts).map(|_| Host::default()).collect(),
            links: BTreeMap::new(),
            link: Link::default(),
            layout: None,
            history: History::default(),
            chance: StdRng::seed_from_u64(seed),
            forged: 0,
            weighs: false,
            voters,
            silence: 4 * SECOND,
            waits: MOST_WAITING,
            near: false,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            free: Vec::new(),
            number: 0,
        }
    }

    /// Where a host is reached: by its name or, where there is a layout, by an address as long as one of IPv4 is, so that bytes
    /// are as they would be.
    fn address(&self, host: usize) -> String {
        match &self.layout {
            Some(_) => format!("10.{}.{}.{}:7946", 100 + (host >> 16), host >> 8 & 255, host & 255),
            None => name(host),
        }
    }

    /// The host that is reached there.
    fn host(&self, address: &str) -> Option<usize> {
        if self.layout.is_none() {
            return address.strip_prefix('b')?.parse().ok();
        }
        let (address, _) = address.split_once(':')?;
        let numbers = address.split('.').skip(1).map(str::parse::<usize>);
        let host = numbers.collect::<Result<Vec<_>, _>>().ok()?.into_iter().fold(0, |h, n| h << 8 | n);
        host.checked_sub(100 << 16)
    }

    /// What a host is told.
    pub fn settings(&self, host: usize) -> Settings {
        Settings {
            cluster: "sim".to_string(),
            name: name(host),
            address: self.address(host),
            seeds: (0..self.voters).map(|h| self.address(h)).collect(),
            probe: SECOND / 2,
            silence: self.silence,
            settle: SECOND / 2,
            replace: 30 * SECOND,
            lease: LEASE,
        }
    }

    fn push(&mut self, at: Time, event: Event) {
        let place = match self.free.pop() {
            Some(place) => {
                self.events[place] = Some(event);
                place
            }
            None => {
                self.events.push(Some(event));
                self.events.len() - 1
            }
        };
        self.number += 1;
        self.queue.push(Reverse((at, self.number, place)));
    }

    /// Starts a host's process, with what it kept.
    pub fn start(&mut self, host: usize) {
        let (set, life) = (self.settings(host), self.chance.random());
        let now = self.now;
        let h = &mut self.hosts[host];
        let own = now + h.ahead;
        h.starts += 1;
        h.seen = 0;
        h.paused = 0;
        h.dies_after = None;
        h.waiting.clear();
        h.out.clear();
        match Node::new(own, set, life, h.kept.as_deref()) {
            Ok(node) => h.node = Some(node),
            Err(error) => {
                self.history.broken.push(Broken(now, format!("{} does not start: {error}", name(host))))
            }
        }
        self.schedule(host, now + 1);
    }

    fn schedule(&mut self, host: usize, at: Time) {
        self.hosts[host].turn += 1;
        let turn = self.hosts[host].turn;
        self.push(at, Event::Turn(host, turn));
    }

    /// Ends a host's process without a word.
    pub fn kill(&mut self, host: usize) {
        self.hosts[host].node = None;
        self.hosts[host].turn += 1;
        self.hosts[host].counted.ends();
    }

    /// Stops a host's process for a while.
    pub fn pause(&mut self, host: usize, time: Time) {
        self.hosts[host].paused = self.now + time;
    }

    /// The link from one host to another.
    pub fn between(&self, from: usize, to: usize) -> Link {
        let laid = || match &self.layout {
            Some(layout) if !self.near => layout.link(from, to),
            _ => self.link,
        };
        self.links.get(&(from, to)).copied().unwrap_or_else(laid)
    }

    /// Cuts off what goes from some to others.
    pub fn cut(&mut self, from: &[usize], to: &[usize]) {
        for a in from {
            for b in to {
                self.links.insert((*a, *b), Link::CUT);
            }
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Time) {
        let end = self.now + time;
        while let Some(Reverse((at, _, place))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            let event = self.events[place].take();
            self.free.push(place);
            match event {
                Some(Event::Turn(host, turn)) if self.hosts[host].turn == turn => self.turn(host),
                Some(Event::Arrive(host, packet, traffic)) => {
                    self.hosts[host].counted.reads(traffic);
                    self.arrive(host, packet);
                }
                _ => {}
            }
        }
        self.now = end;
    }

    fn arrive(&mut self, host: usize, packet: Packet) {
        let h = &mut self.hosts[host];
        let Some(node) = &mut h.node else { return };
        if h.paused > self.now {
            if h.waiting.len() < self.waits {
                h.waiting.push(packet);
            }
            return;
        }
        let own = self.now + h.ahead;
        match catch_unwind(AssertUnwindSafe(|| node.receive(own, packet))) {
            Ok(()) => self.act(host),
            Err(_) => self.ends(host, "panic"),
        }
    }

    fn ends(&mut self, host: usize, why: &str) {
        self.history.broken.push(Broken(self.now, format!("{} cannot go on: {why}", name(host))));
        self.kill(host);
    }

    /// Puts a process that ran before into a host.
    pub fn put(&mut self, host: usize, node: Node) -> Option<Node> {
        self.hosts[host].seen = node.view().number;
        self.hosts[host].node.replace(node)
    }

    fn turn(&mut self, host: usize) {
        let h = &mut self.hosts[host];
        if h.paused > self.now {
            let at = h.paused;
            return self.schedule(host, at);
        }
        // What waited is read first, or after the timer.
        let waiting = std::mem::take(&mut h.waiting);
        if self.chance.random::<bool>() {
            self.act(host);
        }
        for packet in waiting {
            self.arrive(host, packet);
        }
        self.act(host);
        let at = self.now + TURN;
        self.schedule(host, at);
    }

    /// Does what a broker wants, in its order; it may die in the middle.
    fn act(&mut self, host: usize) {
        let now = self.now;
        let own = now + self.hosts[host].ahead;
        let Some(node) = &mut self.hosts[host].node else { return };
        // The consensus panics where a voter has forgotten what it promised: that process is over.
        let wants = match catch_unwind(AssertUnwindSafe(|| node.turn(own))) {
            Ok(Ok(wants)) => wants,
            Ok(Err(error)) => return self.ends(host, &error.to_string()),
            Err(_) => return self.ends(host, "panic"),
        };
        for want in wants {
            if let Some(left) = &mut self.hosts[host].dies_after {
                if *left == 0 {
                    return self.kill(host);
                }
                *left -= 1;
            }
            match want {
                Output::Keep(_) if self.hosts[host].full => return self.kill(host),
                Output::Keep(bytes) => self.hosts[host].kept = Some(bytes),
                Output::Send(to, packet) => self.send(host, &to, packet),
                Output::View(view, _) => {
                    let seen = std::mem::replace(&mut self.hosts[host].seen, view.number);
                    self.history.adopted(now, &name(host), seen, &view);
                }
                Output::Force(state, out) => {
                    self.hosts[host].out = out;
                    if let Some(node) = &mut self.hosts[host].node {
                        node.applied(state);
                    }
                }
                Output::Decided(call) => self.hosts[host].decided.push(call),
                Output::Log(_) => {}
            }
        }
        let h = &mut self.hosts[host];
        let Some(node) = &h.node else { return };
        h.counted.stands(now, node.in_force(), node.lease(), h.ahead);
        if node.lease().saturating_add(self.forged) > own {
            self.history.sends(now, &name(host), &self.hosts[host].out);
        }
    }

    fn send(&mut self, from: usize, to: &str, packet: Packet) {
        let Some(to) = self.host(to) else { return };
        let counts = self.weighs || self.layout.is_some();
        let sizes: Vec<usize> =
            if counts { encode(&packet, self.number).iter().map(Vec::len).collect() } else { vec![0] };
        let bytes = sizes.iter().sum::<usize>() as u64;
        let traffic = Traffic { datagrams: sizes.len() as u64, bytes };
        let h = &mut self.hosts[from];
        h.sent.0 += 1;
        h.sent.1 += bytes;
        h.counted.sends(kind(&packet.body), traffic);
        if to >= self.hosts.len() {
            return;
        }
        let link = self.between(from, to);
        // A packet in parts comes whole or not at all.
        for size in sizes {
            let loss = self.layout.as_ref().map_or(link.loss, |l| l.lost(&link, size));
            if self.chance.random::<f64>() < loss {
                return;
            }
        }
        if self.chance.random::<f64>() < link.twice {
            self.pass(to, &link, packet.clone(), traffic);
        }
        self.pass(to, &link, packet, traffic);
    }

    fn pass(&mut self, to: usize, link: &Link, packet: Packet, traffic: Traffic) {
        let delay = self.chance.random_range(link.delay.0..=link.delay.1) + self.hosts[to].slow;
        self.push(self.now + delay, Event::Arrive(to, packet, traffic));
    }

    /// Those that run, and where they stand.
    pub fn phases(&self) -> Vec<(usize, Phase, u64)> {
        let running = self.hosts.iter().enumerate();
        running.filter_map(|(i, h)| h.node.as_ref().map(|n| (i, n.phase(), n.view().number))).collect()
    }

    /// Whether all that run are members of one view that holds nobody else.
    pub fn agree(&self) -> bool {
        let mut running = self.hosts.iter().enumerate().filter_map(|(i, h)| Some((i, h.node.as_ref()?)));
        let Some((_, first)) = running.next() else { return false };
        let same = |n: &Node| n.phase() == Phase::Member && n.view().number == first.view().number;
        if !same(first) || !running.clone().all(|(_, n)| same(n)) {
            return false;
        }
        let names: BTreeSet<String> = self.phases().iter().map(|(i, ..)| name(*i)).collect();
        let members: BTreeSet<String> = first.view().members.iter().map(|m| m.name.clone()).collect();
        members == names && running.all(|(_, n)| n.view() == first.view())
    }

    /// Lets time pass until something holds, looked at every `step`, for `most` at most. Gives how long that took.
    pub fn until(&mut self, step: Time, most: Time, mut holds: impl FnMut(&World) -> bool) -> Option<Time> {
        let from = self.now;
        loop {
            if holds(self) {
                return Some(self.now - from);
            }
            if self.now - from >= most {
                return None;
            }
            self.run(step);
        }
    }

    /// The broker that leads the voters, if one does; of several the one of the latest view.
    pub fn leader(&self) -> Option<usize> {
        let leads = |(i, h): (usize, &Host)| {
            let node = h.node.as_ref().filter(|n| n.leads())?;
            Some((node.view().number, i))
        };
        self.hosts.iter().enumerate().filter_map(leads).max().map(|(_, i)| i)
    }

    /// Starts all and lets them come together by the program's own code, with links as within a zone: the voters found the
    /// cluster, and all others ask at once. The leader reads what they ask in one turn, as a driver does that was busy,
    /// so that the crowd comes in few views. Gives how long it took; nothing if they do not agree within `most`.
    pub fn together(&mut self, most: Time) -> Option<Time> {
        let from = self.now;
        self.near = true;
        let (hosts, voters) = (self.hosts.len(), self.voters);
        (0..voters).for_each(|h| self.start(h));
        self.until(SECOND / 10, most, |w| w.leader().is_some() && w.agree())?;
        self.waits = usize::MAX;
        let mut first = voters;
        while self.now - from < most && (first < hosts || !self.agree()) {
            let leader = self.leader()?;
            self.pause(leader, SECOND / 2);
            (first..hosts).for_each(|h| self.start(h));
            first = hosts;
            self.run(SECOND * 2 / 5);
            let own = self.now + self.hosts[leader].ahead;
            self.hosts[leader].paused = 0;
            let waiting = std::mem::take(&mut self.hosts[leader].waiting);
            if let Some(node) = &mut self.hosts[leader].node {
                waiting.into_iter().for_each(|packet| node.receive(own, packet));
            }
            self.act(leader);
            self.until(SECOND / 10, 2 * SECOND, World::agree);
        }
        self.waits = MOST_WAITING;
        self.near = false;
        self.agree().then_some(self.now - from)
    }

    /// Begins to measure anew.
    pub fn mark(&mut self) {
        let now = self.now;
        self.hosts.iter_mut().for_each(|h| h.counted.mark(now));
        self.history.removed.clear();
    }

    /// Asks at a host for a node to be taken out everywhere, or put back. Whether the host runs.
    pub fn drain(&mut self, host: usize, node: &str, out: bool) -> bool {
        let now = self.now + self.hosts[host].ahead;
        let asked = self.hosts[host].node.as_mut().map(|n| n.drain(now, node.to_string(), out, 10 * SECOND));
        asked.is_some()
    }

    /// How long after a time a view of that number, or a later one, came into force at each broker that runs, in microseconds.
    /// Of those where it did not, the number is given, too.
    pub fn in_force_after(&self, number: u64, since: Time) -> (Vec<Time>, usize) {
        let running: Vec<&Host> = self.hosts.iter().filter(|h| h.node.is_some()).collect();
        let came: Vec<Time> = running.iter().filter_map(|h| h.counted.reached(number)).collect();
        let missing = running.len() - came.len();
        (came.into_iter().map(|at| (at - since).max(0)).collect(), missing)
    }

    /// A figure of each of some brokers.
    pub fn spread(&self, hosts: &[usize], of: impl Fn(&Counted) -> f64) -> Spread {
        Spread::of(hosts.iter().map(|h| of(&self.hosts[*h].counted)))
    }

    /// The brokers that run, voters and others.
    pub fn running(&self) -> (Vec<usize>, Vec<usize>) {
        let seats: BTreeSet<String> =
            self.history.last().map(|v| v.seats.iter().map(|s| s.name.clone()).collect()).unwrap_or_default();
        let running = (0..self.hosts.len()).filter(|h| self.hosts[*h].node.is_some());
        running.partition(|h| seats.contains(&name(*h)))
    }
}
