//! A node is replaced in the NBD file, with SIGHUP, while a connection to it comes up late.

use crate::common::{free_address, until, Broker, Case, Discovery, Start, Verdict, RUN_IN};
use crate::nbd::{Answer, Client, Manner, Node};
use crate::settings::{nbd_classes, SETTINGS};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Duration;

const BLOCK: usize = 4096;
const BLOCKS: usize = 64;
const BEFORE: u8 = 0x22;
const WRITTEN: u8 = 0xa0;
/// Where is written.
const PLACE: u64 = 8 * BLOCK as u64;
/// How long connections to the first node take to come up.
const LATE: Duration = Duration::from_millis(900);
/// How long the broker has to stop sending (0.25 s), the 50 ms that the rules on sockets add, and 150 ms for a broker
/// that is held up.
const STOPS_WITHIN: u64 = 450;

fn nbd_file(listen: &str, id: &str, node: &str) -> String {
    format!(
        "listen = \"{listen}\"\nbrokers = 1\n{}[[export]]\nname = \"tallies\"\nsize = {}\nshard = 0\nplan = \"standard\"\n\
         read = \"page-read\"\nwrite = \"tally-write\"\nflush = \"tally-write\"\n\
         [[node]]\nid = \"{id}\"\naddress = \"{node}\"\nshard = 0\n",
        nbd_classes(),
        BLOCKS * BLOCK
    )
}

/// The reply to a request: its error and its first byte.
fn reply(case: &Case, client: &Client, what: &str) -> (u32, Option<u8>) {
    match client.answers.recv_timeout(Duration::from_secs(5)) {
        Ok(Answer::Reply(_, error, data)) => {
            case.note(format!("{what}: answered, error {error}, data {:x?}", data.first()));
            (error, data.first().copied())
        }
        other => panic!("{what}: {other:?}"),
    }
}

pub fn play(case: &Case) -> Verdict {
    let served = Manner::Serve(Duration::from_millis(20));
    let exports = [("tallies", BEFORE)];
    let old = Node::start(case, "d-00000001", &exports, BLOCKS * BLOCK, served);
    let new = Node::start(case, "d-00000002", &exports, BLOCKS * BLOCK, served);
    let discovery = Discovery::start("");
    let (listen, front) = (free_address(), free_address());
    let file = nbd_file(&front, "d-00000001", &old.address);
    let broker = Broker::start(
        case,
        &Start {
            name: "n1",
            settings: SETTINGS,
            discovery: &discovery.address,
            nbd: Some(&file),
            listen: &listen,
            ..Start::default()
        },
    );
    until("the NBD front listens", Duration::from_secs(20), || TcpStream::connect(&front).is_ok());
    let mut reader = Client::connect(&front, "tallies").expect("the export is served");
    let mut writer = Client::connect(&front, "tallies").expect("the export is served");
    sleep(RUN_IN);
    if case.trouble {
        case.note(format!("connections to d-00000001 come up after {} ms from now on", LATE.as_millis()));
        old.held.lock().expect("the node").greets_after = LATE;
    }
    case.note("a write is sent");
    writer.send(1, PLACE, BLOCK, Some(&[WRITTEN; BLOCK])).expect("sent");
    sleep(Duration::from_millis(if case.trouble { 100 } else { 300 }));
    case.note("the file is replaced: d-00000002 holds shard 0 in the place of d-00000001");
    broker.reload_nbd(&nbd_file(&front, "d-00000002", &new.address));
    // A broker that sends to the new node has been told of it, and that the old one is gone.
    let mut reads = 0;
    until("the broker sends to the new node", Duration::from_secs(5), || {
        sleep(Duration::from_millis(15));
        reads += 1;
        reader.send(1 + reads, 0, BLOCK, None).expect("sent");
        new.held.lock().expect("the node").commands > 0
    });
    let told = case.now();
    case.note("told: the broker has sent to the new node");
    sleep(Duration::from_millis(STOPS_WITHIN));
    case.note("the new node takes over what the old one holds");
    let data = old.held.lock().expect("the node").exports.clone();
    new.held.lock().expect("the node").exports = data;
    let (error, _) = reply(case, &writer, "the write");
    sleep(Duration::from_millis(300));
    for _ in 0..reads {
        reply(case, &reader, "a read");
    }
    // What the clients see of it.
    reader.send(1_000, PLACE, BLOCK, None).expect("sent");
    let (_, found) = reply(case, &reader, "a read of what was written");
    broker.note_log(&["configuration", "rule broken", "ERROR"]);
    let held = old.held.lock().expect("the node");
    let late: Vec<u64> =
        held.written_at.iter().map(|at| at.saturating_sub(told)).filter(|ms| *ms > STOPS_WITHIN).collect();
    case.verdict(
        !late.is_empty(),
        &format!(
            "the removed node got writes later than {STOPS_WITHIN} ms after the broker had been told, after {late:?} ms; \
             the write of {WRITTEN:#04x} was answered with error {error}, and a read of its place gives {found:02x?}"
        ),
    )
}
