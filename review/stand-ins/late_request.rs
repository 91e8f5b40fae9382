//! A request over the NBD front that comes while the broker is told to end and a node hangs.

use crate::common::{free_address, until, Broker, Case, Discovery, Start, Verdict, RUN_IN};
use crate::nbd::{Answer, Client, Manner, Node};
use crate::settings::{nbd_classes, SETTINGS};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

const BLOCK: usize = 4096;
/// Deadline of the class of the reads.
const DEADLINE: Duration = Duration::from_millis(4000);
/// From SIGTERM to SIGKILL: the longest deadline, 4 s, counted as 3 s, and 0.7 s more; 0.1 s are added.
const GRACE: Duration = Duration::from_millis(3800);
/// When the second request is sent, from SIGTERM on.
const SECOND: Duration = Duration::from_millis(1200);

pub fn play(case: &Case) -> Verdict {
    let served = Manner::Serve(Duration::from_millis(20));
    let node = Node::start(case, "d-00000001", &[("tallies", 0x22)], 64 * BLOCK, served);
    let discovery = Discovery::start("");
    let (listen, front) = (free_address(), free_address());
    let file = format!(
        "listen = \"{front}\"\nbrokers = 1\n{}[[export]]\nname = \"tallies\"\nsize = {}\nshard = 0\nplan = \"standard\"\n\
         read = \"export-read\"\nwrite = \"tally-write\"\nflush = \"tally-write\"\n\
         [[node]]\nid = \"d-00000001\"\naddress = \"{}\"\nshard = 0\n",
        nbd_classes(),
        64 * BLOCK,
        node.address
    );
    let mut broker = Broker::start(
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
    let mut client = Client::connect(&front, "tallies").expect("the export is served");
    for i in 0..5 {
        client.send(1_000 + i, 0, BLOCK, None).expect("sent");
        let answer = client.answers.recv_timeout(Duration::from_secs(5)).expect("an answer");
        assert!(matches!(answer, Answer::Reply(_, 0, _)), "{answer:?}");
    }
    sleep(RUN_IN);
    if case.trouble {
        case.note("the node hangs from now on");
        node.held.lock().expect("the node").manner = Manner::Hang;
    }
    case.note("request 1 is sent");
    client.send(1, 0, BLOCK, None).expect("sent");
    sleep(Duration::from_millis(300));
    let told = Instant::now();
    if case.trouble {
        broker.signal("TERM");
    }
    sleep(SECOND.saturating_sub(told.elapsed()));
    case.note("request 2 is sent, on the same connection");
    let sent = Instant::now();
    let sending = client.send(2, BLOCK as u64, BLOCK, None);
    let mut answered = Vec::new();
    let mut ended = sending.is_err();
    let mut killed = false;
    while sent.elapsed() < DEADLINE + Duration::from_millis(600) && !ended {
        if case.trouble && !killed && told.elapsed() >= GRACE {
            killed = true;
            match broker.ended() {
                Some(status) => case.note(format!("the broker had ended by itself: {status}")),
                None => broker.signal("KILL"),
            }
        }
        match client.answers.recv_timeout(Duration::from_millis(10)) {
            Ok(Answer::Reply(cookie, error, _)) => {
                case.note(format!("request {cookie} answered, error {error}"));
                answered.push(cookie);
            }
            Ok(Answer::End(reason)) => {
                case.note(format!("the connection ended: {reason}"));
                ended = true;
            }
            Err(_) => {}
        }
        if answered.contains(&2) {
            break;
        }
    }
    broker.note_log(&["stop", "phase", "rule broken", "ERROR"]);
    let read = node.held.lock().expect("the node").sessions.len();
    case.note(format!("connections of the broker to the node: {read}"));
    case.verdict(!answered.contains(&2), &format!("answered: {answered:?}, of requests 1 and 2"))
}
