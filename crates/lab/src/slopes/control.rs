//! The parts of membership by themselves, at sizes that no machine bears as processes: bytes and time of a view, of what each
//! broker does with it, and of what a voter keeps and answers.

use super::{time, time_with, Row};
use claywinch::interface::Time;
use claywinch::run::cluster::Store;
use claywinch::state::membership::council::{Council, CouncilError, Roll};
use claywinch::state::membership::cut::Cut;
use claywinch::state::membership::delta::Delta;
use claywinch::state::membership::node::{Body, Grant, Node, Output, Packet};
use claywinch::state::membership::rings::Rings;
use claywinch::state::membership::snapshot::{Served, MOST_PAGES, WINDOW};
use claywinch::state::membership::{mix, Member, Seat, Settings, View};
use claywinch::wire::cluster::encode;
use serde::Serialize;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// How long each is timed for.
const LENGTH: Duration = Duration::from_millis(60);
/// How often what changes its surroundings is timed.
const CALLS: usize = 15;
/// Views committed one after another before what is kept is weighed: more than the log holds.
const VIEWS: u64 = 40;
/// Turns of the consensus in which a voter that is alone must come to lead.
const MOST_TICKS: usize = 100;

fn name(i: u64) -> String {
    format!("broker-{i:04}-z{:02}", i % 17)
}

fn address(i: u64) -> String {
    format!("10.{}.{}.{}:7400", 100 + i % 17, i / 250, i % 250)
}

fn member(i: u64) -> Member {
    Member { name: name(i), address: address(i), incarnation: 1 + i % 40_000, life: mix(&i.to_le_bytes(), 1) }
}

/// A view of so many members, the first of which holds the only seat.
fn view(members: u64) -> View {
    let first = member(0);
    let seat = Seat { id: 1, name: first.name, address: first.address, life: first.life };
    View {
        number: 50_000,
        origin: 7,
        members: (0..members).map(member).collect(),
        seats: vec![seat],
        wanted: 1,
        drains: BTreeSet::new(),
    }
}

fn settings(own: u64) -> Settings {
    Settings {
        cluster: "claywinch".to_string(),
        name: name(own),
        address: address(own),
        seeds: vec![address(0)],
        probe: 500_000,
        silence: 4_000_000,
        settle: 500_000,
        replace: 30_000_000,
        lease: 3_000_000,
    }
}

fn packet(from: u64, view: &View, body: Body) -> Packet {
    let Member { name, address, incarnation, life } = member(from);
    Packet {
        cluster: "claywinch".to_string(),
        from: name,
        address,
        life,
        incarnation,
        view: view.number,
        body,
    }
}

/// As `MEMBERS` shows it; the program's own is not public.
#[derive(Serialize)]
struct Shown<'a> {
    name: &'a str,
    address: &'a str,
    incarnation: u64,
    state: &'static str,
}

#[derive(Serialize)]
struct Status<'a> {
    view: u64,
    own: &'a str,
    phase: &'static str,
    incarnation: u64,
    leads: bool,
    leased: bool,
    drains: &'a BTreeSet<String>,
    members: Vec<Shown<'a>>,
}

fn status(view: &View, suspects: &BTreeSet<String>) -> String {
    let member = |m: &'_ Member| if suspects.contains(&m.name) { "suspect" } else { "alive" };
    let shown = view.members.iter().map(|m| Shown {
        name: &m.name,
        address: &m.address,
        incarnation: m.incarnation,
        state: member(m),
    });
    let members = shown.collect();
    let own = view.members.first().map_or("", |m| m.name.as_str());
    let (view, drains) = (view.number, &view.drains);
    let status =
        Status { view, own, phase: "member", incarnation: 1, leads: false, leased: true, drains, members };
    serde_json::to_string(&status).unwrap_or_default()
}

/// As the log tells a view.
fn told(view: &View) -> String {
    let members: Vec<String> = view.members.iter().map(|m| format!("{}/{}", m.name, m.incarnation)).collect();
    members.join(",")
}

/// A voter that is alone, leads, and has committed this view.
fn voter(view: &View) -> Result<Council, CouncilError> {
    let mut council = Council::found(1, Roll::from([(address(0), (name(0), member(0).life))]))?;
    for _ in 0..MOST_TICKS {
        council.tick();
        council.turn()?;
        if council.leads() {
            break;
        }
    }
    council.propose(view.clone())?;
    council.turn()?;
    Ok(council)
}

/// A broker that belongs to a view.
fn broker(own: u64, view: &View) -> Result<Node, CouncilError> {
    let mut node = Node::new(0, settings(own), member(own).life, None)?;
    let served = Served::of(view);
    for first in (0..MOST_PAGES as u16).step_by(WINDOW) {
        let window: Vec<u16> = (first..first + WINDOW as u16).collect();
        for page in served.iter().flat_map(|s| s.pages(&window)) {
            node.receive(1, packet(0, view, Body::Page(page)));
        }
    }
    node.turn(2)?;
    Ok(node)
}

/// What a view of so many members costs, and what brokers do with it.
pub fn measure(members: u64, run: u64) -> Result<Vec<Row>, String> {
    council(members, run).map_err(|e| e.to_string())
}

fn council(members: u64, run: u64) -> Result<Vec<Row>, CouncilError> {
    let (of, mut rows) = (("control", members, run), Vec::new());
    let mut row = |quantity: &str, unit: &str, value: f64| rows.push(Row::new(of, quantity, unit, value));
    let now = view(members);
    let gone = BTreeSet::from([name(1)]);
    let next = now.next(&gone, []);
    row("view", "B", postcard::to_stdvec(&now)?.len() as f64);
    row("next", "us", time(LENGTH, || now.next(&gone, [])) / 1e3);
    row("rings", "us", time(LENGTH, || Rings::of(&now)) / 1e3);
    let none = BTreeSet::new();
    row("status", "us", time(LENGTH, || status(&now, &none)) / 1e3);
    row("status-length", "B", status(&now, &none).len() as f64);
    row("logged", "us", time(LENGTH, || told(&now)) / 1e3);
    row("logged-length", "B", told(&now).len() as f64);
    let own = members / 2;
    row("snapshot", "us", time(LENGTH, || Served::of(&now)) / 1e3);
    row(
        "snapshot-fetched",
        "us",
        time_with(CALLS, || (), |()| broker(own, &now).map(|n| n.view().number)) / 1e3,
    );
    let drained =
        View { number: now.number + 1, drains: BTreeSet::from(["node".to_string()]), ..now.clone() };
    for (what, next) in [("drain", &drained), ("gone", &next)] {
        let delta = Arc::new(Delta::between(&now, next));
        let sent = packet(0, next, Body::Changes(vec![delta.clone()]));
        row(&format!("delta-{what}-sent"), "B", encode(&sent, 1).iter().map(Vec::len).sum::<usize>() as f64);
        row(&format!("delta-{what}"), "us", time(LENGTH, || now.follow(&delta)) / 1e3);
        let take = |made: Result<Node, CouncilError>| {
            made.map(|mut node| {
                node.receive(3, sent.clone());
                node.turn(4).map(|o| o.len())
            })
        };
        row(&format!("adopt-{what}"), "us", time_with(CALLS, || broker(own, &now), take) / 1e3);
    }
    // A turn in which nothing is to be done, of a broker that votes not, and of the one that leads.
    let mut plain = broker(own, &now)?;
    let mut at: Time = 10;
    row("turn-plain", "us", time(LENGTH, || (at += 1, plain.turn(at).map(|o| o.len()).unwrap_or(0))) / 1e3);
    let mut council = voter(&now)?;
    let kept = council.turn()?.keep;
    let kept = match kept {
        Some(kept) => kept,
        None => {
            council.set_roll(council.roll().clone());
            council.turn()?.keep.unwrap_or_default()
        }
    };
    let mut leader = Node::new(0, settings(0), member(0).life, Some(&kept))?;
    let mut at: Time = 10;
    while !leader.leads() && at < 60_000_000 {
        at += 100_000;
        leader.turn(at)?;
    }
    row("turn-leader", "us", time(LENGTH, || (at += 1, leader.turn(at).map(|o| o.len()).unwrap_or(0))) / 1e3);
    let renew = packet(own, leader.view(), Body::Renew(7, leader.view().number));
    let mut grants = 0_u64;
    let ask = || {
        at += 1;
        leader.receive(at, renew.clone());
        let out = leader.turn(at).unwrap_or_default();
        let grant = |o: &&Output| matches!(o, Output::Send(_, p) if matches!(p.body, Body::Grant(..)));
        grants += out.iter().filter(grant).count() as u64;
    };
    row("renew", "us", time(LENGTH, ask) / 1e3);
    row("renew-granted", "1", f64::from(u8::from(grants > 0)));
    let size = |body: Body| encode(&packet(own, &now, body), 1).iter().map(Vec::len).sum::<usize>() as f64;
    row("renew-sent", "B", size(Body::Renew(1 << 50, now.number)));
    row(
        "grant-sent",
        "B",
        size(Body::Grant(Grant { at: 1 << 50, number: now.number, seat: 1, ..Grant::default() })),
    );
    row("probe-sent", "B", size(Body::Probe(1 << 50)));
    // What the leader judges in each turn while some are called down: a rack, a zone.
    let rings = Rings::of(&now);
    for (what, count) in [("judge-rack", 24), ("judge-zone", 100)] {
        let dead: BTreeSet<usize> =
            (0..now.members.len()).rev().take(count.min(now.members.len() / 4)).collect();
        let mut cut = Cut::default();
        for (i, m) in now.members.iter().enumerate().filter(|(i, _)| !dead.contains(i)) {
            let down = rings.subjects[i].iter().filter(|s| dead.contains(s));
            cut.told(
                0,
                &m.name,
                down.map(|s| (now.members[*s].name.clone(), now.members[*s].incarnation)).collect(),
            );
        }
        let mut judge = || cut.judge(1, 500_000, &now.members[0].name, &now, &rings);
        row(what, "us", time(LENGTH, &mut judge) / 1e3);
    }
    // What a voter writes down with each view, and how long that and the sync take.
    let (mut number, mut last) = (now.number, Vec::new());
    let mut commit = |council: &mut Council| -> Result<(), CouncilError> {
        number += 1;
        council.propose(View { number, ..now.clone() })?;
        last = council.turn()?.keep.unwrap_or_default();
        Ok(())
    };
    let begin = std::time::Instant::now();
    (0..VIEWS).try_for_each(|_| commit(&mut council))?;
    row("commit", "us", begin.elapsed().as_secs_f64() * 1e6 / VIEWS as f64);
    row("kept", "B", last.len() as f64);
    row("restore", "us", time(LENGTH, || Council::restore(&last)) / 1e3);
    let path = std::env::temp_dir().join(format!("claywinch-slopes-{}.redb", std::process::id()));
    let _ = std::fs::remove_file(&path);
    if let Ok(store) = Store::open(&path) {
        row("store", "us", time_with(CALLS, || (), |()| store.keep(&last)) / 1e3);
    }
    let _ = std::fs::remove_file(&path);
    Ok(rows)
}
