//! An export is taken out of the NBD file, with SIGHUP, while requests for it are open.

use crate::common::{free_address, until, Broker, Case, Discovery, Start, Verdict, RUN_IN};
use crate::nbd::{Answer, Client, Manner, Node};
use crate::settings::{nbd_classes, SETTINGS};
use std::net::TcpStream;
use std::time::{Duration, Instant};

const BLOCK: usize = 4096;
const BLOCKS: usize = 256;
/// What stands in the two exports, and what is written.
const RESULTS: u8 = 0x11;
const TALLIES: u8 = 0x22;
const WRITTEN: u8 = 0xa0;
/// Requests of each client that are open at once.
const OPEN: u64 = 12;
/// How long the node takes for a request.
const SERVICE: Duration = Duration::from_millis(60);

fn nbd_file(listen: &str, node: &str, exports: &[&str]) -> String {
    let mut text = format!("listen = \"{listen}\"\nbrokers = 1\n{}", nbd_classes());
    for export in exports {
        text += &format!(
            "[[export]]\nname = \"{export}\"\nsize = {}\nshard = 0\nplan = \"standard\"\n\
             read = \"page-read\"\nwrite = \"tally-write\"\nflush = \"tally-write\"\n",
            BLOCKS * BLOCK
        );
    }
    text + &format!("[[node]]\nid = \"d-00000001\"\naddress = \"{node}\"\nshard = 0\n")
}

pub fn play(case: &Case) -> Verdict {
    let node = Node::start(
        case,
        "d-00000001",
        &[("results", RESULTS), ("tallies", TALLIES)],
        BLOCKS * BLOCK,
        Manner::Serve(SERVICE),
    );
    let discovery = Discovery::start("");
    let (listen, front) = (free_address(), free_address());
    let both = nbd_file(&front, &node.address, &["results", "tallies"]);
    let broker = Broker::start(
        case,
        &Start {
            name: "n1",
            settings: SETTINGS,
            discovery: &discovery.address,
            nbd: Some(&both),
            listen: &listen,
            ..Start::default()
        },
    );
    until("the NBD front listens", Duration::from_secs(20), || TcpStream::connect(&front).is_ok());
    let mut clients: Vec<Client> = Vec::new();
    for _ in 0..2 {
        clients.push(Client::connect(&front, "tallies").expect("the export is served"));
    }
    // Both exports serve, one request after another, before anything happens.
    for i in 0..20 {
        clients[0].send(1_000 + i, 0, BLOCK, None).expect("sent");
        let answer = clients[0].answers.recv_timeout(Duration::from_secs(5)).expect("an answer");
        assert!(
            matches!(&answer, Answer::Reply(_, 0, data) if data.iter().all(|b| *b == TALLIES)),
            "{answer:?}"
        );
    }
    std::thread::sleep(RUN_IN);
    case.note(format!("two clients of export \"tallies\": {OPEN} reads and {OPEN} writes at once"));
    for i in 0..OPEN {
        clients[0].send(i, i * BLOCK as u64, BLOCK, None).expect("sent");
        clients[1].send(i, (100 + i) * BLOCK as u64, BLOCK, Some(&[WRITTEN; BLOCK])).expect("sent");
    }
    std::thread::sleep(Duration::from_millis(20));
    if case.trouble {
        case.note("the file is replaced by one without export \"tallies\"");
        broker.reload_nbd(&nbd_file(&front, &node.address, &["results"]));
    }
    let mut foreign = 0;
    let end = Instant::now() + Duration::from_secs(4);
    for (who, client) in clients.iter().enumerate() {
        for _ in 0..OPEN {
            match client.answers.recv_timeout(end.saturating_duration_since(Instant::now())) {
                Ok(Answer::Reply(cookie, error, data)) => {
                    let first = data.first().copied();
                    case.note(format!(
                        "client {who}: request {cookie} answered, error {error}, data {first:x?}"
                    ));
                    if who == 0 && error == 0 && data.iter().any(|b| *b != TALLIES) {
                        foreign += 1;
                    }
                }
                Ok(Answer::End(reason)) => {
                    case.note(format!("client {who}: the connection ended: {reason}"));
                    break;
                }
                Err(_) => {
                    case.note(format!("client {who}: no further answer"));
                    break;
                }
            }
        }
    }
    std::thread::sleep(Duration::from_millis(500));
    broker.note_log(&["configuration", "rule broken", "ERROR"]);
    let held = node.held.lock().expect("the node");
    let spoiled =
        held.exports["results"].chunks(BLOCK).filter(|block| block.iter().any(|b| *b != RESULTS)).count();
    let unnamed = held.sessions.iter().filter(|name| name.is_empty()).count();
    case.verdict(
        foreign > 0 || spoiled > 0,
        &format!(
            "{foreign} reads of \"tallies\" were served with data of \"results\"; {spoiled} blocks of \"results\", which no \
             client wrote to, were overwritten; {unnamed} connections of the broker named no export"
        ),
    )
}
