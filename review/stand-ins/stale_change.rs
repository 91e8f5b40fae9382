//! One of three brokers that agree by Raft on the NBD configuration is cut off while it reads a change; the other two take a node
//! out; the cut ends.

use crate::common::{free_address, until, Broker, Case, Discovery, Start, Verdict, RUN_IN};
use crate::nbd::{Answer, Client, Manner, Node};
use crate::proxy::{self, Cut};
use crate::settings::{nbd_classes, SETTINGS};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

const BLOCK: usize = 4096;
const BLOCKS: usize = 64;
const BEFORE: u8 = 0x22;
const WRITTEN: u8 = 0xa0;
/// Where is written during the cut.
const PLACE: u64 = 8 * BLOCK as u64;
/// From the change at the broker that is cut off to the change at the others.
const BETWEEN: Duration = Duration::from_millis(3_000);
/// How long is looked after the cut.
const AFTER_CUT: Duration = Duration::from_millis(8_000);
/// How long a broker that was told has to stop sending (0.25 s), the 50 ms of the rules on sockets, and 150 ms for a broker
/// that is held up.
const STOPS_WITHIN: u64 = 450;

pub fn play(case: &Case) -> Verdict {
    let served = Manner::Serve(Duration::from_millis(10));
    let exports = [("tallies", BEFORE)];
    let old = Node::start(case, "d-00000001", &exports, BLOCKS * BLOCK, served);
    let new = Node::start(case, "d-00000002", &exports, BLOCKS * BLOCK, served);
    let discovery = Discovery::start("");
    let cut = Cut::default();
    let peers: Vec<String> = (0..3).map(|_| free_address()).collect();
    let fronts: Vec<String> = (0..3).map(|_| free_address()).collect();
    // All that goes between the third broker and the others goes through a proxy.
    let proxied: Vec<String> = peers.iter().map(|peer| proxy::start(peer.clone(), cut.clone())).collect();
    let file = |own: usize, exports: &[&str], moved: bool| {
        let (first, second) = (&old.address, &new.address);
        let mut text = format!(
            "listen = \"{}\"\nbrokers = 3\nown_peer = {}\nkept = \"{}\"\n{}",
            fronts[own],
            own + 1,
            case.folder.join(format!("peer-{}.log", own + 1)).display(),
            nbd_classes()
        );
        for export in exports {
            text += &format!(
                "[[export]]\nname = \"{export}\"\nsize = {}\nshard = 0\nplan = \"standard\"\n\
                 read = \"page-read\"\nwrite = \"tally-write\"\nflush = \"tally-write\"\n",
                BLOCKS * BLOCK
            );
        }
        text += &match moved {
            false => format!("[[node]]\nid = \"d-00000001\"\naddress = \"{first}\"\nshard = 0\n"),
            true => format!(
                "[[node]]\nid = \"d-00000001\"\naddress = \"{first}\"\nshard = 0\nstate = \"draining\"\n\
                 [[node]]\nid = \"d-00000002\"\naddress = \"{second}\"\nshard = 0\n"
            ),
        };
        for peer in 0..3 {
            let direct = (own == 2) == (peer == 2);
            let address = if direct { &peers[peer] } else { &proxied[peer] };
            text += &format!("[[peer]]\nid = {}\naddress = \"{address}\"\n", peer + 1);
        }
        text
    };
    let brokers: Vec<Broker> = (0..3)
        .map(|own| {
            let (name, listen, nbd) =
                (format!("n{}", own + 1), free_address(), file(own, &["tallies"], false));
            let start = Start {
                name: &name,
                settings: SETTINGS,
                discovery: &discovery.address,
                nbd: Some(&nbd),
                listen: &listen,
            };
            Broker::start(case, &start)
        })
        .collect();
    let mut clients: Vec<Client> = Vec::new();
    for front in &fronts {
        until("an NBD front listens", Duration::from_secs(20), || TcpStream::connect(front).is_ok());
        // The export is there once the brokers have agreed on their first configuration.
        let mut client = None;
        until("the export is served", Duration::from_secs(20), || {
            sleep(Duration::from_millis(50));
            client = Client::connect(front, "tallies").ok();
            client.is_some()
        });
        clients.extend(client);
    }
    sleep(RUN_IN);
    let mut cookie = 0;
    let mut ask = |client: &mut Client, offset: u64, data: Option<&[u8]>| -> (u32, Option<u8>) {
        cookie += 1;
        client.send(cookie, offset, BLOCK, data).expect("sent");
        match client.answers.recv_timeout(Duration::from_secs(5)) {
            Ok(Answer::Reply(_, error, data)) => (error, data.first().copied()),
            other => panic!("no answer: {other:?}"),
        }
    };
    for client in &mut clients {
        assert_eq!(ask(client, 0, None), (0, Some(BEFORE)), "all three serve");
    }
    if case.trouble {
        case.note("broker n3 is cut off from n1 and n2");
        cut.store(true, Ordering::SeqCst);
        sleep(Duration::from_millis(100));
    }
    case.note("the first change, at n3: one more export, \"pages\"");
    brokers[2].reload_nbd(&file(2, &["tallies", "pages"], false));
    sleep(BETWEEN);
    case.note("the second change, at n1: d-00000001 drains, d-00000002 holds its shard");
    brokers[0].reload_nbd(&file(0, &["tallies", "pages"], true));
    // Brokers that send to the new node have agreed on the change.
    for client in &mut clients[..2] {
        let before = new.held.lock().expect("the node").commands;
        until("a broker of the majority sends to the new node", Duration::from_secs(10), || {
            ask(client, 0, None);
            new.held.lock().expect("the node").commands > before
        });
    }
    case.note("agreed on: n1 and n2 send to the new node");
    sleep(Duration::from_millis(STOPS_WITHIN));
    let (before, agreed) = (old.held.lock().expect("the node").written_at.len(), case.now());
    let (error, _) = ask(&mut clients[0], PLACE, Some(&[WRITTEN; BLOCK]));
    case.note(format!("a write of {WRITTEN:02x} over n1: error {error}"));
    assert_eq!((error, ask(&mut clients[0], PLACE, None).1), (0, Some(WRITTEN)), "it is read back");
    if case.trouble {
        case.note("the cut is over");
        cut.store(false, Ordering::SeqCst);
    }
    let over = Instant::now();
    let mut reads = Vec::new();
    while over.elapsed() < AFTER_CUT {
        for (broker, client) in clients[..2].iter_mut().enumerate() {
            let (error, found) = ask(client, PLACE, None);
            let (_, last) = *reads.iter().rfind(|(b, _)| *b == broker).unwrap_or(&(broker, Some(WRITTEN)));
            if error == 0 && found != last {
                case.note(format!("over n{}: a read of what was written gives {found:02x?}", broker + 1));
                reads.push((broker, found));
            }
            ask(client, 0, Some(&[BEFORE; BLOCK]));
        }
        sleep(Duration::from_millis(200));
    }
    for broker in &brokers {
        broker.note_log(&["configuration in force", "rule broken", "ERROR"]);
    }
    let held = old.held.lock().expect("the node");
    let late = held.written_at[before..].iter().filter(|at| **at > agreed).count();
    case.verdict(
        late > 0 || !reads.is_empty(),
        &format!(
            "after the drain was agreed on, the drained node got {late} writes from n1 and n2; reads of an acknowledged write of \
             {WRITTEN:02x} then gave, by broker: {reads:02x?}"
        ),
    )
}
