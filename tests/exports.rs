//! Exports and nodes that a new configuration takes out or changes while requests for them are open: a broker process before
//! nodes that are slow enough for requests to wait.

mod common;

use claywinch_lab::broker::SETTINGS;
use claywinch_lab::client::{self, Asker, Listener};
use claywinch_lab::disk::{Disk, Manner, BLOCK};
use claywinch_lab::nbd::{Reply, ENOMEM, READ, WRITE};
use common::net::*;
use std::collections::BTreeMap;
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{channel, Sender};
use std::thread;
use std::time::Duration;

const SIZE: u64 = 1 << 20;
/// Requests of each kind that are open when the configuration changes.
const OPEN: u64 = 24;
/// What the export holds before, and what is written to it.
const OWN: u8 = 1;
const WRITTEN: u8 = 2;
/// What the node's default export holds.
const FOREIGN: u8 = 3;

/// A node that works on one request at a time, for so long.
fn slow_node(exports: &[(&str, u64)]) -> Disk {
    let manner = Manner { slots: 1, service_us: 30_000.0, spread: 0.0, ..Manner::default() };
    Disk::start(None, exports, manner).expect("a node")
}

fn export(name: &str, shard: u32, size: u64, more: &str) -> String {
    format!(
        "[[export]]\nname='{name}'\nsize={size}\nshard={shard}\nplan='standard'\n\
         read='read'\nwrite='write'\nflush='write'\n{more}\n"
    )
}

/// An NBD file with these exports, and a node for each shard.
fn file(exports: &str, nodes: &[&Disk]) -> String {
    let node = |(shard, node): (usize, &&Disk)| {
        format!("[[node]]\nid='d-{shard}'\naddress='{}'\nshard={shard}\n", node.address())
    };
    let nodes: String = nodes.iter().enumerate().map(node).collect();
    with_nodes(exports, &nodes)
}

fn with_nodes(exports: &str, nodes: &str) -> String {
    let class = |name: &str, repeat: &str| {
        format!("[[class]]\nname='{name}'\nwanted_ms=500\ndeadline_ms=4000\nworth=2.0\nrepeat='{repeat}'\n")
    };
    let (read, write) = (class("read", "safe"), class("write", "never"));
    format!("{read}{write}[[plan]]\nname='standard'\nrate=5000.0\nreserve=4000.0\n{exports}{nodes}")
}

/// A client's connection, and what it has asked for.
struct Open {
    asker: Asker,
    listener: Listener,
    /// The offset of each request by its cookie.
    asked: BTreeMap<u64, u64>,
}

impl Open {
    fn connect(broker: &Broker, export: &str) -> Self {
        let mut connected = None;
        until("the export is served", || {
            connected = client::connect(&broker.nbd, export, true).ok();
            connected.is_some()
        });
        let (_, asker, listener) = connected.expect("just connected");
        Open { asker, listener, asked: BTreeMap::new() }
    }

    /// Sends a request for each of the first blocks.
    fn ask(&mut self, command: u16) {
        for block in 0..OPEN {
            let offset = block * BLOCK as u64;
            let data = if command == WRITE { vec![WRITTEN; BLOCK] } else { Vec::new() };
            let cookie = self.asker.send(command, 0, offset, BLOCK as u32, data).expect("is sent");
            self.asked.insert(cookie, offset);
        }
    }

    /// The final answers by offset.
    fn answers(&mut self) -> BTreeMap<u64, Reply> {
        let mut answers = BTreeMap::new();
        while !self.asked.is_empty() {
            let (cookie, reply) = self.listener.reply().expect("an answer");
            let offset = self.asked.remove(&cookie).expect("it was asked for");
            answers.insert(offset, reply);
        }
        answers
    }
}

fn is_refused(reply: &Reply) -> bool {
    matches!(reply, Reply::Error(ENOMEM, text, _) if text.starts_with("BUSY"))
}

/// Waits until the broker says that a further configuration is in force.
fn in_force(broker: &Broker, times: usize) {
    until("the configuration is in force", || {
        broker.log().matches("configuration in force").count() >= times
    });
}

/// Guards against links that are opened for an export which is no longer known: by the protocol the empty name stands for
/// the node's default export, whose data would be served and overwritten.
#[test]
fn requests_for_an_export_that_is_taken_out_touch_no_other_one() {
    let node = slow_node(&[("tallies", SIZE), ("results", SIZE), ("", SIZE)]);
    for block in 0..OPEN {
        let offset = block * BLOCK as u64;
        node.put("tallies", offset, &[OWN; BLOCK]);
        node.put("", offset, &[FOREIGN; BLOCK]);
    }
    let (_discovery, address) = Discovery::start("");
    let (tallies, results) = (export("tallies", 0, SIZE, ""), export("results", 0, SIZE, ""));
    let both = file(&format!("{tallies}{results}"), &[&node]);
    let broker = Broker::start("exports-gone", SETTINGS, &address, Some(&both));
    let (mut reader, mut writer) = (Open::connect(&broker, "tallies"), Open::connect(&broker, "tallies"));
    let _ = node.seen();
    reader.ask(READ);
    writer.ask(WRITE);
    until("the node is at work", || node.counts().0 > 0);
    broker.reload(&file(&results, &[&node]));
    in_force(&broker, 2);
    let (mut served, mut refused) = (0, 0);
    for reply in reader.answers().values().chain(writer.answers().values()) {
        match reply {
            Reply::Done(bytes) => {
                served += 1;
                assert!(bytes.iter().all(|byte| [OWN, WRITTEN].contains(byte)), "data of another export");
            }
            reply => refused += usize::from(is_refused(reply)),
        }
    }
    assert_eq!(served + refused, 2 * OPEN as usize, "each was served, or refused as it never ran");
    assert!(served > 0 && refused > 0, "{served} served, {refused} refused");
    assert_eq!(node.bytes("", 0, BLOCK * OPEN as usize), vec![FOREIGN; BLOCK * OPEN as usize]);
    let others: Vec<_> = node.seen().into_iter().filter(|seen| seen.export != "tallies").collect();
    assert_eq!(others, [], "requests to other exports");
}

/// Guards against an acknowledged write on a node that no longer holds the export: readers are at the new node by then.
#[test]
fn no_write_goes_to_the_old_shard_of_an_export_that_has_moved() {
    let (old, new) = (slow_node(&[("tallies", SIZE)]), slow_node(&[("tallies", SIZE)]));
    let (_discovery, address) = Discovery::start("");
    let nodes = [&old, &new];
    let broker = Broker::start(
        "exports-moved",
        SETTINGS,
        &address,
        Some(&file(&export("tallies", 0, SIZE, ""), &nodes)),
    );
    let mut writer = Open::connect(&broker, "tallies");
    writer.ask(WRITE);
    until("the old node is at work", || old.counts().0 > 0);
    broker.reload(&file(&export("tallies", 1, SIZE, ""), &nodes));
    in_force(&broker, 2);
    let answers = writer.answers();
    let refused = answers.values().filter(|reply| is_refused(reply)).count();
    let served = answers.values().filter(|reply| matches!(reply, Reply::Done(_))).count();
    assert_eq!(served + refused, OPEN as usize, "each was served, or refused as it never ran");
    assert!(refused > 0, "what had not begun is refused");
    // The client comes again with what was refused.
    writer.ask(WRITE);
    assert!(writer.answers().values().all(|reply| matches!(reply, Reply::Done(_))));
    assert_eq!(new.bytes("tallies", 0, BLOCK * OPEN as usize), vec![WRITTEN; BLOCK * OPEN as usize]);
}

/// Guards against clients that see an error for nothing: a larger export holds all that was asked of the smaller one.
#[test]
fn requests_go_on_while_their_export_grows_and_end_where_it_ends_before_them() {
    let node = slow_node(&[("tallies", SIZE)]);
    let (_discovery, address) = Discovery::start("");
    let of_size = |size| file(&export("tallies", 0, size, ""), &[&node]);
    let broker = Broker::start("exports-size", SETTINGS, &address, Some(&of_size(SIZE / 2)));
    let mut writer = Open::connect(&broker, "tallies");
    writer.ask(WRITE);
    until("the node is at work", || node.counts().0 > 0);
    broker.reload(&of_size(SIZE));
    in_force(&broker, 2);
    assert!(writer.answers().values().all(|reply| matches!(reply, Reply::Done(_))));
    writer.ask(WRITE);
    let before = node.counts().0;
    until("the node is at work", || node.counts().0 > before);
    let end = OPEN / 2 * BLOCK as u64;
    broker.reload(&of_size(end));
    in_force(&broker, 3);
    let answers = writer.answers();
    let within = answers.range(..end);
    assert!(within.clone().all(|(_, reply)| matches!(reply, Reply::Done(_))), "those within it go on");
    assert!(answers.range(end..).any(|(_, reply)| is_refused(reply)), "what had not begun is refused");
}

/// Takes connections in the place of a node, which come up only when the test lets them. Returns its address, and where to say
/// so.
fn late_address(node: &str) -> (String, Sender<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let (let_up, may_come_up) = channel();
    let node = node.to_string();
    thread::spawn(move || {
        let first = listener.accept().expect("a connection").0;
        let _ = may_come_up.recv();
        let others = std::iter::from_fn(|| listener.accept().ok()).map(|(stream, _)| stream);
        for near in std::iter::once(first).chain(others) {
            let far = TcpStream::connect(&node).expect("the node");
            let halves = [(near.try_clone(), far.try_clone()), (Ok(far), Ok(near))];
            for (from, to) in halves {
                let (mut from, mut to) = (from.expect("a handle"), to.expect("a handle"));
                thread::spawn(move || std::io::copy(&mut from, &mut to));
            }
        }
    });
    (address, let_up)
}

/// Guards against a node that gets what waited for its connection after a list without it has come: such a write is
/// acknowledged, and nobody reads it.
#[test]
fn a_node_that_is_left_out_gets_nothing_that_waited_for_its_connection() {
    let (removed, next) = (slow_node(&[("tallies", SIZE)]), slow_node(&[("tallies", SIZE)]));
    let (_discovery, address) = Discovery::start("");
    let (late, let_up) = late_address(removed.address());
    let with_node = |id: &str, address: &str| {
        let node = format!("[[node]]\nid='{id}'\naddress='{address}'\nshard=0\n");
        with_nodes(&export("tallies", 0, SIZE, ""), &node)
    };
    let broker = Broker::start("nodes-left-out", SETTINGS, &address, Some(&with_node("d-1", &late)));
    let mut writer = Open::connect(&broker, "tallies");
    writer.ask(WRITE);
    // Time for the first requests to be handed to their links.
    thread::sleep(Duration::from_millis(100));
    broker.reload(&with_node("d-2", next.address()));
    in_force(&broker, 2);
    let _ = let_up.send(());
    let answers = writer.answers();
    assert!(answers.values().all(|reply| matches!(reply, Reply::Done(_))), "{answers:?}");
    assert_eq!(removed.counts().0, 0, "requests at the removed node");
    assert_eq!(next.bytes("tallies", 0, BLOCK * OPEN as usize), vec![WRITTEN; BLOCK * OPEN as usize]);
}
