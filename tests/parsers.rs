//! The parsers under random cuts and garbage, and what they make of messages that a peer gets wrong.

mod common;

use bytes::{Bytes, BytesMut};
use claywinch::interface::{Arrival, Ending};
use claywinch::state::buffer_budget::BufferBudget;
use claywinch::state::integrity::{Facts, Geometry, State};
use claywinch::state::phase::Phase;
use claywinch::state::pipe::pipe;
use claywinch::state::planner::{Answer, AttemptEnd};
use claywinch::state::stable_index::Indexed;
use claywinch::wire::link::{Exchange, ProtocolError, ReplyProgress};
use claywinch::wire::nbd::server::{Catalogue, Client as NbdClient, Export, Exports, Kind};
use claywinch::wire::nbd::teller::{Teller, TellerError};
use claywinch::wire::nbd::{client::Node as NbdNode, ExportName, Operation, Part, Request, Target};
use claywinch::wire::resp::client::Node;
use claywinch::wire::resp::server::{ClassSchema, Client, RequestSchema, SharedState};
use claywinch::wire::resp::Reply;
use claywinch::wire::session::{RequestIds, Session};
use claywinch::wire::{discovery, resp};
use common::parse::check;
use std::rc::Rc;

/// A parser that takes all whole messages there are, and throws away what follows a broken one.
fn drain<T>(
    decode: impl Fn(&mut BytesMut) -> Result<Option<T>, ProtocolError>,
) -> impl FnMut(&mut BytesMut) -> Vec<Result<T, ProtocolError>> {
    move |read| {
        let mut seen = Vec::new();
        while let Some(message) = decode(read).transpose() {
            if message.is_err() {
                read.clear();
            }
            seen.push(message);
        }
        seen
    }
}

/// Everything that waits to be written by a session.
fn written(outbox: &mut claywinch::wire::outbox::Outbox) -> Vec<u8> {
    let bytes = outbox.slices().iter().flat_map(|s| s.to_vec()).collect::<Vec<u8>>();
    outbox.wrote(bytes.len());
    bytes
}

/// What RESP2 sessions share, with room for so many bytes.
fn resp_common(room: usize) -> Rc<SharedState> {
    let class = |(place, (name, writes)): (usize, (&str, Option<bool>))| {
        let class = common::settings().classes.remove(0);
        Rc::new(Indexed {
            index: place,
            value: ClassSchema { name: name.into(), deadline: 500_000, writes, class },
        })
    };
    let classes = [("read", Some(false)), ("write", Some(true)), ("both", None)];
    let classes = classes.into_iter().enumerate().map(class).collect();
    let terms = RequestSchema { classes, plans: vec![("gold".into(), 0)], max_units: 6, shards: Some(9) };
    Rc::new(SharedState::new(terms, BufferBudget::new(room), tokio::sync::watch::channel(Phase::Serving).1))
}

fn resp_client() -> Client {
    Client::new(resp_common(1 << 30))
}

const FIELDS: &str = "c=read,t=gold,d=480,volume=00000003b4d60021,units=2,shard=5,hosts=3";

fn get(id: &str, fields: &str) -> String {
    format!(
        "*4\r\n$7\r\nOBJ.GET\r\n$16\r\n7f3a9c21e0b4d655\r\n${}\r\n{id}\r\n${}\r\n{fields}\r\n",
        id.len(),
        fields.len()
    )
}

fn put(id: &str, fields: &str, body: &str) -> String {
    let head = get(id, fields).replace("*4", "*5").replace("GET", "PUT");
    format!("{head}${}\r\n{body}\r\n", body.len())
}

/// What a session says to a text, and how many requests it takes from it.
fn said(client: &mut Client, text: &str) -> (String, usize) {
    let mut asks = Vec::new();
    client.receive(0, &mut BytesMut::from(text.as_bytes()), &mut asks);
    (String::from_utf8(written(client.outbox())).unwrap(), asks.len())
}

#[test]
fn resp_survives_cuts_and_garbage() {
    let commands = format!("{}*1\r\n$4\r\nPING\r\n{}", get("9b", FIELDS), put("9c", FIELDS, "body"));
    check(commands.as_bytes(), || drain(resp::decode_command));
    let valid = format!("{commands}*2\r\n*1\r\n:-5\r\n$-1\r\n+a\r\n-b c\r\n*-1\r\n");
    check(valid.as_bytes(), || drain(resp::decode));
}

#[test]
fn a_get_is_passed_on_with_the_time_that_is_left() {
    let (mut client, mut asks) = (resp_client(), Vec::new());
    client.receive(1_000_000, &mut BytesMut::from(get("9b", FIELDS).as_bytes()), &mut asks);
    let (arrival, command): (Arrival, _) = asks.remove(0);
    assert_eq!((arrival.class, arrival.plan, arrival.units, arrival.shard), (0, 0, 2.0, Some(5)));
    assert!(arrival.due > 1_400_000 && arrival.due < 1_480_000, "{}", arrival.due);
    let mut node = Node::default();
    node.send((1, 0), 77_900, command);
    let sent = String::from_utf8(written(node.outbox())).unwrap();
    assert_eq!(sent, get("9b", &FIELDS.replace("480", "77")));
}

#[test]
fn answers_go_in_the_order_of_commands_and_malformed_ones_get_an_error() {
    let (mut client, mut asks) = (resp_client(), Vec::new());
    let bad = [FIELDS.replace("read", "x"), FIELDS.replace("480", "x"), FIELDS.replace("c=", "c"), "".into()];
    let bad: String = bad.iter().map(|f| get("9d", f)).collect();
    let (first, second) = (get("9b", FIELDS), get("9c", FIELDS));
    let text = format!("{first}{second}*1\r\n$4\r\nPING\r\n*1\r\n$5\r\nHELLO\r\n{bad}*0\r\nnonsense");
    client.receive(0, &mut BytesMut::from(text.as_bytes()), &mut asks);
    let ids: Vec<u64> = asks.iter().map(|(a, _)| a.id).collect();
    assert_eq!((ids.len(), client.unanswered(), client.is_ending()), (2, ids.clone(), true));
    client.answer(ids[1], Answer::Refused(1_500));
    assert!(written(client.outbox()).is_empty(), "the first is not answered yet");
    client.answer(ids[0], Answer::Served("v".into()));
    let said = String::from_utf8(written(client.outbox())).unwrap();
    assert!(said.starts_with("$1\r\nv\r\n-BUSY 2\r\n+PONG\r\n-ERR "), "{said}");
    assert_eq!(said.matches("-ERR ").count(), 1 + 4 + 1 + 1);
}

#[test]
fn replies_of_a_resp_node_become_outcomes() {
    let mut node = Node::default();
    let (mut client, mut asks) = (resp_client(), Vec::new());
    let text: String = ["1", "2", "3", "4"].map(|id| get(id, FIELDS)).concat();
    client.receive(0, &mut BytesMut::from(text.as_bytes()), &mut asks);
    for (i, (_, command)) in asks.into_iter().enumerate() {
        node.send((i as u64, 0), 1000, command);
    }
    let first = node.outbox().len() / 4;
    node.outbox().wrote(3 * first as usize);
    let mut ended = Vec::new();
    let reply = "*3\r\n$1\r\nv\r\n$14\r\nused=37,cost=4\r\n$-1\r\n-ERR failed used=5\r\n";
    node.receive(&mut BytesMut::from(reply.as_bytes()), &mut ended).unwrap();
    let served = AttemptEnd {
        reply: Some("v".into()),
        volume_use: Some(0.37),
        served_elsewhere: 4.0,
        ..AttemptEnd::without_reply(Ending::Served)
    };
    assert_eq!(
        ended,
        [
            ((0, 0), served),
            ((1, 0), AttemptEnd { volume_use: Some(0.05), ..AttemptEnd::without_reply(Ending::Error) })
        ]
    );
    // The third was written whole, the fourth was not: only that one cannot have run.
    let lost: Vec<Ending> = node.connection_lost().into_iter().map(|(_, end)| end.ending).collect();
    assert_eq!(lost, [Ending::Reset, Ending::Unreachable]);
}

/// Guards against a first byte that is written after the node was announced as leaving, and against a request that is given
/// back as never sent though some of it was.
#[test]
fn what_has_not_begun_is_taken_back_and_what_has_is_not() {
    let commands = || {
        let (mut client, mut asks) = (resp_client(), Vec::new());
        let text: String = ["1", "2", "3"].map(|id| get(id, FIELDS)).concat();
        client.receive(0, &mut BytesMut::from(text.as_bytes()), &mut asks);
        asks.into_iter().map(|(_, command)| command)
    };
    let one = {
        let mut node = Node::default();
        commands().take(1).for_each(|c| node.send((0, 0), 480_000, c));
        node.outbox().len() as usize
    };
    for bytes in [0, 1, one - 1, one, one + 1, 2 * one, 2 * one + 1, 3 * one] {
        let mut node = Node::default();
        commands().enumerate().for_each(|(i, c)| node.send((i as u64, 0), 480_000, c));
        node.outbox().wrote(bytes);
        let begun = bytes.div_ceil(one);
        let back: Vec<u64> = node.cancel_unsent().into_iter().map(|(id, _)| id).collect();
        assert_eq!(back, (begun as u64..3).collect::<Vec<u64>>(), "{bytes}");
        assert_eq!(written(node.outbox()).len(), begun * one - bytes, "what has begun goes on");
        assert!(node.cancel_unsent().is_empty());
        // What comes after is written whole.
        commands().take(1).for_each(|c| node.send((9, 0), 480_000, c));
        assert_eq!(written(node.outbox()).len(), one);
        assert_eq!(node.connection_lost().len(), begun + 1);
    }
}

/// The same for a body that comes while it is sent on, and what waits behind it.
#[test]
fn a_long_body_is_taken_back_before_its_first_byte_only() {
    let text = put("1", &FIELDS.replace("read", "write"), &"b".repeat(100_000));
    for written_before in [false, true] {
        let (mut node, mut client) = (Node::default(), resp_client());
        let id = asked_of(&mut node, &mut client, &text.as_bytes()[..50_000], &mut BytesMut::new());
        assert!(!node.can_send(), "what comes behind it waits with the link");
        if written_before {
            node.outbox().wrote(1);
        }
        let back: Vec<u64> = node.cancel_unsent().into_iter().map(|(id, _)| id).collect();
        assert_eq!(back, if written_before { vec![] } else { vec![id] });
        node.fill().expect("nothing is broken");
        assert_eq!(node.outbox().is_empty(), !written_before);
    }
}

/// Guards against a request that waits for the end of a handshake with a node that leaves meanwhile.
#[test]
fn an_nbd_node_gives_back_what_waits_for_its_handshake() {
    let mut node = nbd_node();
    assert_eq!(node.cancel_unsent(), [(5, 0)]);
    assert!(node.connection_lost().is_empty());
}

/// Guards against half a list that passes for a whole one, and a whole one that names a node twice.
#[test]
fn lists_that_are_cut_off_or_doubled_are_none_and_indented_ones_are_read() {
    let member = |id: &str| {
        format!("{{\n\t\"id\": \"s-{id}\",\n  \"host_port\": \"a:1\", \"cell\": 3,\r\n \"phase\": \"draining\"\n}}")
    };
    let answer = |complete: bool, members: &[String], cut: usize| {
        let list = format!(
            "{{\n  \"revision\": 7,\n  \"complete\": {complete},\n  \"members\": [\n{}\n]\n}}\n",
            members.join(",\n")
        );
        let list = &list[..list.len() - cut];
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
        discovery::decode(&mut BytesMut::from(text.as_bytes()))
    };
    let (one, other) = (member("00000001"), member("00000002"));
    assert!(matches!(answer(true, &[one.clone(), other.clone()], 0), Ok(Some(_))));
    for cut in 2..80 {
        assert!(answer(true, &[one.clone(), other.clone()], cut).is_err(), "{cut}");
    }
    assert!(answer(true, &[one.clone(), other, one.clone()], 0).is_err());
    assert!(matches!(answer(false, &[one.clone(), one], 0), Ok(Some(_))), "changes are taken in their order");
    // As many nodes as any deployment has.
    let many: Vec<String> = (0..1024).map(|i| member(&format!("{i:08x}"))).collect();
    let Ok(Some((discovery::Response::Listing(list), _))) = answer(true, &many, 0) else { panic!("a list") };
    let mut numbers = discovery::NodeNumbers::default();
    assert_eq!(list.into_listed(&mut numbers, &[]).len(), 1024);
    assert_eq!(numbers.name(1023), Some("s-000003ff"));
}

/// Guards against an answer without a length that is taken before its end, or not at all; and one that told a length, or
/// came in chunks, and passes for whole because the connection ended.
#[test]
fn an_answer_without_a_length_ends_with_its_connection() {
    let list = r#"{"revision":41,"complete":true,"members":[]}"#;
    let bare = format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{list}");
    for cut in 0..=bare.len() {
        let mut read = BytesMut::from(&bare.as_bytes()[..cut]);
        assert!(matches!(discovery::decode(&mut read), Ok(None)), "{cut}: more may come");
        let ended = discovery::decode_ended(&mut read);
        assert_eq!(matches!(ended, Ok(Some(_))), cut == bare.len(), "{cut}: {ended:?}");
    }
    let lengths = [format!("Content-Length: {}", list.len()), "Transfer-Encoding: chunked".to_string()];
    for (head, size) in lengths.iter().zip(["", "2c\r\n"]) {
        let whole = format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n{size}{list}");
        for cut in 0..whole.len() {
            let ended = discovery::decode_ended(&mut BytesMut::from(&whole.as_bytes()[..cut]));
            assert!(!matches!(ended, Ok(Some(_))), "{cut} of {head}");
        }
    }
    let failed = "HTTP/1.1 503 Busy\r\n\r\n";
    let answer = discovery::decode(&mut BytesMut::from(failed.as_bytes()));
    assert!(matches!(answer, Ok(Some((discovery::Response::Status(503), _)))), "a status is enough");
}

#[test]
fn discovery_survives_cuts_and_garbage() {
    let list = r#"{"revision":41,"complete":true,"members":[{"id":"s-5be2a07c","host_port":"127.1.0.18:6379",
        "locality":"a","flavor":"m2","cell":3,"phase":"ready","size":1.0,"up_since_ms":7}]}"#;
    let valid = format!(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
         {:x}\r\n{list}\r\n0\r\n\r\nHTTP/1.1 503 Busy\r\nContent-Length: 1\r\n\r\n!",
        list.len(),
        list.len()
    );
    check(valid.as_bytes(), || drain(discovery::decode));
    let (response, keep) = discovery::decode(&mut BytesMut::from(valid.as_bytes())).unwrap().unwrap();
    let discovery::Response::Listing(listing) = response else { panic!("{response:?}") };
    let members = listing.into_listed(&mut discovery::NodeNumbers::default(), &["b".into(), "a".into()]);
    let entry = &members[0].member.entry;
    assert_eq!(
        (entry.node, entry.zone, entry.shard, entry.started, keep),
        (0x5be2_a07c, 1, 3, Some(7_000), true)
    );
}

fn exports() -> Exports {
    let kind = Kind { class: 0, deadline: 1_000_000 };
    let export = Export {
        name: ExportName::new("disk"),
        companion: ExportName::new("disk").companion(),
        size: 1 << 20,
        read_only: false,
        shard: 0,
        plan: 0,
        hosts: 1,
        kinds: [kind; 3],
        unit: 65_536,
        most_units: 16,
        sums: None,
        scrub: None,
    };
    Rc::new(std::cell::RefCell::new(Rc::new(Catalogue(vec![Some(Rc::new(export))]))))
}

fn option(number: u32, data: &[u8]) -> Vec<u8> {
    let mut out = b"IHAVEOPT".to_vec();
    out.extend(number.to_be_bytes());
    out.extend((data.len() as u32).to_be_bytes());
    out.extend_from_slice(data);
    out
}

fn go(name: &str) -> Vec<u8> {
    let mut data = (name.len() as u32).to_be_bytes().to_vec();
    data.extend_from_slice(name.as_bytes());
    data.extend([0, 0]);
    option(7, &data)
}

fn request(command: u16, offset: u64, length: u32, data: &[u8]) -> Vec<u8> {
    let mut out = 0x2560_9513_u32.to_be_bytes().to_vec();
    out.extend([0, 0]);
    out.extend(command.to_be_bytes());
    out.extend((u64::from(command) + 70).to_be_bytes());
    out.extend(offset.to_be_bytes());
    out.extend(length.to_be_bytes());
    out.extend_from_slice(data);
    out
}

/// A client's conversation up to the transmission phase.
fn handshake() -> Vec<u8> {
    [vec![0, 0, 0, 3], option(3, b""), option(99, b"?"), option(8, b""), go("none"), go("disk")].concat()
}

/// A session as the shared helper wants it: what it makes of what was read.
fn session_of(exports: Exports) -> impl FnMut(&mut BytesMut) -> Vec<(u64, Request)> {
    let mut session = NbdClient::new(exports, RequestIds::default());
    move |read: &mut BytesMut| {
        let mut asks = Vec::new();
        session.receive(0, read, &mut asks);
        if session.is_ending() {
            read.clear();
        }
        asks.into_iter().map(|(a, r)| (a.id, r)).collect()
    }
}

#[test]
fn an_nbd_session_survives_cuts_and_garbage() {
    let valid =
        [handshake(), request(0, 0, 10, b""), request(1, 4, 3, b"abc"), request(3, 0, 0, b"")].concat();
    check(&valid, || session_of(exports()));
}

/// The data of an option about metadata contexts.
fn contexts(option_number: u32, export: &str, queries: &[&str]) -> Vec<u8> {
    let mut data = (export.len() as u32).to_be_bytes().to_vec();
    data.extend_from_slice(export.as_bytes());
    data.extend((queries.len() as u32).to_be_bytes());
    for query in queries {
        data.extend((query.len() as u32).to_be_bytes());
        data.extend_from_slice(query.as_bytes());
    }
    option(option_number, &data)
}

/// The same exports, with sums.
fn summed_exports() -> Exports {
    let exports = exports();
    let mut catalogue = (**exports.borrow()).clone();
    let shape = Geometry { blocks: 256, brokers: 1 };
    let facts = Facts { name: "disk".to_string(), shard: 0, shape, broker: 0, late: 1 };
    Rc::make_mut(catalogue.0[0].as_mut().expect("an export")).sums = Some(facts);
    *exports.borrow_mut() = Rc::new(catalogue);
    exports
}

/// Kinds of the replies to options among what was said.
fn option_replies(said: &[u8]) -> Vec<u32> {
    let heads = said.windows(20).filter(|w| w[..8] == 0x0003_e889_0455_65a9_u64.to_be_bytes());
    heads.map(|w| common::net::be::<4>(w, 12) as u32).collect()
}

#[test]
fn contexts_are_told_for_exports_with_sums_only_and_survive_cuts_and_garbage() {
    let hello = [vec![0, 0, 0, 3], option(8, b"")].concat();
    let both = ["claywinch:crc32c", "claywinch:state"];
    let replies = |exports: Exports, text: &[u8]| {
        let mut session = NbdClient::new(exports, RequestIds::default());
        session.receive(0, &mut BytesMut::from(text), &mut Vec::new());
        option_replies(&written(session.outbox()))
    };
    let error = |n: u32| (1 << 31) + n;
    for (query, kinds) in [
        (contexts(9, "disk", &[]), vec![1, 4, 4, 1]),
        (contexts(9, "disk", &["claywinch:"]), vec![1, 4, 4, 1]),
        (contexts(10, "disk", &[]), vec![1, 1]),
        (contexts(10, "disk", &["base:allocation", both[1]]), vec![1, 4, 1]),
        (contexts(10, "none", &both), vec![1, error(6)]),
        (option(10, b"\0\0\0\x04disk\xff\xff\xff\xff"), vec![1, error(3)]),
    ] {
        assert_eq!(replies(summed_exports(), &[&hello[..], &query].concat()), kinds, "{query:?}");
    }
    assert_eq!(replies(exports(), &[&hello[..], &contexts(10, "disk", &both)].concat()), [1, 1]);
    let unstructured = [vec![0, 0, 0, 3], contexts(10, "disk", &both)].concat();
    assert_eq!(replies(summed_exports(), &unstructured), [error(3)]);

    let valid = [
        hello,
        contexts(10, "disk", &both),
        go("disk"),
        request(0, 4096, 4096, b""),
        request(7, 0, 1 << 20, b""),
        request(7, 1, 4096, b""),
    ]
    .concat();
    check(&valid, || session_of(summed_exports()));
}

#[test]
fn what_is_said_of_blocks_is_a_chunk_for_each_context() {
    let ask = |queries: &[&str], answer: Vec<State>| {
        let mut session = NbdClient::new(summed_exports(), RequestIds::default());
        let text = [
            vec![0, 0, 0, 3],
            option(8, b""),
            contexts(10, "disk", queries),
            go("disk"),
            request(7, 0, 5 * 4096, b""),
        ];
        let mut asks = Vec::new();
        session.receive(0, &mut BytesMut::from(&text.concat()[..]), &mut asks);
        written(session.outbox());
        assert_eq!(asks[0].1.describe, Some(queries.contains(&"claywinch:crc32c")));
        session.answer(asks[0].0.id, Answer::Served(vec![Part::Described(answer)]));
        written(session.outbox())
    };
    let words = |bytes: &[u8]| -> Vec<u64> { bytes.chunks(4).map(|w| common::net::be::<4>(w, 0)).collect() };
    let states = vec![State::Sound(7), State::Sound(8), State::Bad, State::Doubt, State::Unsummed];
    let said = ask(&["claywinch:crc32c", "claywinch:state"], states.clone());
    assert_eq!(words(&said[16..40]), [20, 1, 4096, 7, 4096, 8], "as far as there are sums");
    assert_eq!(words(&said[56..]), [36, 2, 8192, 0, 4096, 2, 4096, 3, 4096, 1]);
    assert_eq!((said[5], said[45]), (0, 1), "the last chunk says so");
    assert_eq!(
        words(&ask(&["claywinch:state"], states[2..].to_vec())[16..]),
        [28, 2, 4096, 2, 4096, 3, 4096, 1]
    );
    assert_eq!(words(&ask(&["claywinch:crc32c"], states[2..].to_vec())[20..24]), [5]);
}

#[test]
fn one_that_asks_about_an_export_survives_cuts_and_garbage() {
    let told = |pairs: &[u32]| -> Vec<u8> { pairs.iter().flat_map(|n| n.to_be_bytes()).collect() };
    let reply = |number: u32, kind: u32, data: &[u8]| {
        let mut out = 0x0003_e889_0455_65a9_u64.to_be_bytes().to_vec();
        out.extend([number, kind, data.len() as u32].iter().flat_map(|n| n.to_be_bytes()));
        out.extend_from_slice(data);
        out
    };
    let busy = [&12_u32.to_be_bytes()[..], &[0, 4], b"BUSY"].concat();
    let chunks =
        [(1, 5, told(&[2, 8192, 0, 4096, 2])), (1, 0x8001, busy), (1, 5, told(&[2, (1 << 20) - 12_288, 1]))];
    let says = node_says(&chunks);
    // The same server, with a context before its last reply.
    let valid =
        [&says[..18], &reply(8, 1, b""), &reply(10, 4, b"\0\0\0\x02claywinch:state"), &says[38..]].concat();
    check(&valid, || {
        let mut teller = Teller::new("disk");
        move |read: &mut BytesMut| {
            let mut found = Vec::new();
            let bytes = read.split();
            let _ = teller.receive(&bytes, &mut found);
            found
        }
    });
    let mut teller = Teller::new("disk");
    let mut found = Vec::new();
    assert_eq!(teller.receive(&valid, &mut found), Ok(true), "it was busy once");
    let extents: Vec<(u64, u64, u32)> = found.iter().map(|e| (e.offset, e.length, e.status)).collect();
    assert_eq!(extents, [(0, 8192, 0), (8192, 4096, 2), (12_288, (1 << 20) - 12_288, 1)]);
    assert!(teller.is_done());
    let without = [&says[..18], &says[18..]].concat();
    assert_eq!(Teller::new("disk").receive(&without, &mut found), Err(TellerError::NoSums));
}

#[test]
fn what_an_nbd_client_gets_wrong_is_answered_by_the_spec() {
    let mut session = NbdClient::new(exports(), RequestIds::default());
    let mut asks = Vec::new();
    written(session.outbox());
    let long = option(7, &vec![0; 9000]);
    let wrong = [
        request(0, 1 << 20, 1, b""),
        request(0, 0, 2 << 20, b""),
        request(1, u64::MAX, 2, b"ab"),
        request(1, 0, (1 << 20) + 1, &vec![0; (1 << 20) + 1]),
        request(4, 0, 1, b""),
    ];
    let text = [handshake(), long.clone(), wrong.concat(), request(0, 0, 4, b"")].concat();
    let mut read =
        BytesMut::from(&[&text[..handshake().len() - go("disk").len()], &long, &go("disk")].concat()[..]);
    session.receive(0, &mut read, &mut asks);
    let said = written(session.outbox());
    let kinds: Vec<u32> = said
        .windows(20)
        .filter(|w| w[..8] == 0x0003_e889_0455_65a9_u64.to_be_bytes())
        .map(|w| common::net::be::<4>(w, 12) as u32)
        .collect();
    let error = |n: u32| (1 << 31) + n;
    assert_eq!(kinds, [2, 1, error(1), 1, error(6), error(9), 3, 1]);
    session.receive(0, &mut BytesMut::from(&wrong.concat()[..]), &mut asks);
    let said = written(session.outbox());
    let errors: Vec<u64> = said
        .windows(24)
        .filter(|w| w[..4] == 0x668e_33ef_u32.to_be_bytes())
        .map(|w| common::net::be::<4>(w, 20))
        .collect();
    assert_eq!((errors, asks.len()), (vec![22, 22, 28, 22, 95], 0));
    // Data that was not taken is passed over: the next request is found behind it.
    session.receive(0, &mut BytesMut::from(&request(0, 0, 4, b"")[..]), &mut asks);
    assert_eq!(asks.len(), 1);
    let huge = [&handshake()[..], &request(1, 0, 3_000_000_000, b"")].concat();
    let endless =
        [&[0, 0, 0, 3][..], b"IHAVEOPT", &7_u32.to_be_bytes(), &3_000_000_000_u32.to_be_bytes()].concat();
    for bad in [vec![255; 4], [vec![0, 0, 0, 3], vec![9; 16]].concat(), huge, endless] {
        let mut session = NbdClient::new(exports(), RequestIds::default());
        session.receive(0, &mut BytesMut::from(&bad[..]), &mut asks);
        assert!(session.is_ending() && session.unanswered().is_empty(), "{bad:?}");
    }
}

#[test]
fn the_final_answers_of_an_nbd_session_follow_the_table() {
    let mut session = NbdClient::new(exports(), RequestIds::default());
    let mut asks = Vec::new();
    let text = [handshake(), request(0, 0, 4, b"").repeat(3)].concat();
    session.receive(0, &mut BytesMut::from(&text[..]), &mut asks);
    written(session.outbox());
    let ids: Vec<u64> = asks.iter().map(|(a, _)| a.id).collect();
    session.answer(ids[2], Answer::Refused(250_000));
    session.answer(ids[0], Answer::Failed);
    session.answer(ids[1], Answer::Served(vec![Part::Data(0, "ab".into()), Part::Hole(2, 2)]));
    let said = written(session.outbox());
    let kinds: Vec<(u64, u64)> = said
        .windows(24)
        .filter(|w| w[..4] == 0x668e_33ef_u32.to_be_bytes())
        .map(|w| (common::net::be::<2>(w, 4), common::net::be::<2>(w, 6)))
        .collect();
    assert_eq!(kinds, [(1, 0x8001), (1, 0x8001), (0, 1), (1, 2)], "one last chunk for each");
    assert!(said.windows(8).any(|w| w == b"BUSY 250") && session.unanswered().is_empty());
}

/// What an NBD node says up to the transmission phase, and then to a read of ten bytes at 0.
fn node_says(chunks: &[(u16, u16, Vec<u8>)]) -> Vec<u8> {
    let reply = |option: u32, kind: u32, data: &[u8]| {
        let mut out = 0x0003_e889_0455_65a9_u64.to_be_bytes().to_vec();
        out.extend([option, kind, data.len() as u32].iter().flat_map(|n| n.to_be_bytes()));
        out.extend_from_slice(data);
        out
    };
    let info = [vec![0, 0], (1_u64 << 20).to_be_bytes().to_vec(), 257_u16.to_be_bytes().to_vec()].concat();
    let mut out =
        [b"NBDMAGICIHAVEOPT\0\x03".to_vec(), reply(8, 1, b""), reply(7, 3, &info), reply(7, 1, b"")].concat();
    for (flags, kind, body) in chunks {
        out.extend(0x668e_33ef_u32.to_be_bytes());
        out.extend([flags.to_be_bytes(), kind.to_be_bytes()].concat());
        out.extend(1_u64.to_be_bytes());
        out.extend((body.len() as u32).to_be_bytes());
        out.extend_from_slice(body);
    }
    out
}

fn data(at: u64, bytes: &[u8]) -> Vec<u8> {
    [&at.to_be_bytes()[..], bytes].concat()
}

fn nbd_node() -> NbdNode {
    let mut node = NbdNode::new(ExportName::new("disk"));
    let read = Request {
        place: 0,
        export: exports().borrow().get(0).cloned().expect("the export"),
        target: Target::Data,
        operation: Operation::Read,
        durable: false,
        offset: 0,
        length: 10,
        describe: None,
    };
    node.send((5, 0), 0, read);
    node
}

#[test]
fn an_nbd_node_survives_cuts_and_garbage() {
    let chunks = [(0, 1, data(4, b"efghij")), (1, 2, [data(0, b""), vec![0, 0, 0, 4]].concat())];
    check(&node_says(&chunks), || {
        let mut node = nbd_node();
        move |read: &mut BytesMut| {
            let mut ended = Vec::new();
            let result = node.receive(read, &mut ended);
            let mut seen: Vec<Result<_, _>> = ended.into_iter().map(Ok).collect();
            if let Err(broken) = result {
                read.clear();
                seen.push(Err(broken));
            }
            seen
        }
    });
}

#[test]
fn a_reply_in_chunks_is_one_outcome_and_a_cut_one_a_reset() {
    let whole = [(0, 1, data(4, b"efghij")), (1, 2, [data(0, b""), vec![0, 0, 0, 4]].concat())];
    let (mut node, mut ended) = (nbd_node(), Vec::new());
    node.receive(&mut BytesMut::from(&node_says(&whole[..1])[..]), &mut ended).unwrap();
    assert!(ended.is_empty());
    written(node.outbox());
    assert_eq!(node.connection_lost(), [((5, 0), AttemptEnd::without_reply(Ending::Reset))]);
    let mut node = nbd_node();
    node.receive(&mut BytesMut::from(&node_says(&whole)[..]), &mut ended).unwrap();
    let parts = vec![Part::Hole(0, 4), Part::Data(4, "efghij".into())];
    assert_eq!(
        ended,
        [((5, 0), AttemptEnd { reply: Some(parts), ..AttemptEnd::without_reply(Ending::Served) })]
    );
}

#[test]
fn what_an_nbd_node_gets_wrong_serves_nobody() {
    let busy = [&12_u32.to_be_bytes()[..], &[0, 6], b"BUSY 9"].concat();
    let shut = [&108_u32.to_be_bytes()[..], &[0, 0]].concat();
    for (chunks, ending) in [
        (vec![(1, 0x8001, busy.clone())], Some(Ending::Full)),
        (vec![(0, 1, data(0, b"abc")), (1, 0x8001, busy)], Some(Ending::Error)),
        (vec![(1, 0x8001, shut)], Some(Ending::Error)),
        (vec![(1, 1, data(0, b"abc"))], Some(Ending::Error)),
        (vec![(1, 1, data(8, b"abc"))], None),
        (vec![(0, 1, data(0, b"abc")), (1, 1, data(2, b"cdefghij"))], None),
        (vec![(1, 7, vec![])], None),
        (vec![(1, 1, vec![0; 3])], None),
    ] {
        let (mut node, mut ended) = (nbd_node(), Vec::new());
        let result = node.receive(&mut BytesMut::from(&node_says(&chunks)[..]), &mut ended);
        written(node.outbox());
        match ending {
            Some(ending) => assert_eq!(ended, [((5, 0), AttemptEnd::without_reply(ending))], "{chunks:?}"),
            None => {
                assert!(result.is_err() && ended.is_empty(), "{chunks:?}");
                assert_eq!(
                    node.connection_lost(),
                    [((5, 0), AttemptEnd::without_reply(Ending::Reset))],
                    "{chunks:?}"
                );
            }
        }
    }
    // Before the handshake is done nothing has been sent.
    assert_eq!(nbd_node().connection_lost(), [((5, 0), AttemptEnd::without_reply(Ending::Unreachable))]);
}

#[test]
fn raft_frames_survive_cuts_and_garbage() {
    let message = |term: u64| raft::eraftpb::Message { to: 2, from: 1, term, ..Default::default() };
    let valid: Vec<u8> = (1..4)
        .flat_map(|term| claywinch::wire::raft::encode(&message(term)).expect("short enough"))
        .collect();
    check(&valid, || drain(claywinch::wire::raft::decode));
}

/// Guards the paths of clients and nodes that know neither GO nor structured replies.
#[test]
fn old_clients_and_nodes_speak_simple_replies() {
    let mut session = NbdClient::new(exports(), RequestIds::default());
    let mut asks = Vec::new();
    written(session.outbox());
    let text =
        [vec![0, 0, 0, 1], option(1, b"disk"), request(0, 2, 6, b""), request(1, 0, 2, b"xy")].concat();
    session.receive(0, &mut BytesMut::from(&text[..]), &mut asks);
    let export = written(session.outbox());
    assert_eq!((export.len(), common::net::be::<8>(&export, 0)), (8 + 2 + 124, 1 << 20));
    session.answer(asks[0].0.id, Answer::Served(vec![Part::Hole(2, 4), Part::Data(6, "ab".into())]));
    session.answer(asks[1].0.id, Answer::Refused(9_000));
    let said = written(session.outbox());
    let reply = |errno: u32, cookie: u64| {
        [&0x6744_6698_u32.to_be_bytes()[..], &errno.to_be_bytes(), &cookie.to_be_bytes()].concat()
    };
    assert_eq!(said, [reply(0, 70), vec![0; 4], b"ab".to_vec(), reply(12, 71)].concat());

    let (mut node, mut ended) = (nbd_node(), Vec::new());
    let refused = |option: u32| {
        let mut out = 0x0003_e889_0455_65a9_u64.to_be_bytes().to_vec();
        out.extend([option, (1 << 31) + 1, 0].iter().flat_map(|n: &u32| n.to_be_bytes()));
        out
    };
    let export = [&(1_u64 << 20).to_be_bytes()[..], &257_u16.to_be_bytes()].concat();
    let text = [b"NBDMAGICIHAVEOPT\0\x03".to_vec(), refused(8), refused(7), export, reply(0, 1), vec![5; 10]];
    node.receive(&mut BytesMut::from(&text.concat()[..]), &mut ended).unwrap();
    let parts = vec![Part::Data(0, vec![5; 10].into())];
    assert_eq!(
        ended,
        [((5, 0), AttemptEnd { reply: Some(parts), ..AttemptEnd::without_reply(Ending::Served) })]
    );
    let asked = written(node.outbox());
    assert!(asked.windows(16).any(|w| w == &option(1, b"disk")[..16]), "EXPORT_NAME in place of GO");
}

/// Guards against taking part in flushes that would miss what other connections wrote.
#[test]
fn a_node_whose_flush_covers_one_connection_only_takes_no_writes() {
    let says = |flags: u16| {
        let mut text = node_says(&[]);
        let at = text.windows(2).position(|w| w == 257_u16.to_be_bytes()).unwrap();
        text[at..at + 2].copy_from_slice(&flags.to_be_bytes());
        nbd_node().receive(&mut BytesMut::from(&text[..]), &mut Vec::new())
    };
    assert!(says(1 | 4).is_err() && says(1 | 2).is_ok() && says(1 | 256).is_ok());
}

/// Guards the memory: a client that sends on and on without its answers is not read on without end.
#[test]
fn what_is_owed_to_a_resp_client_is_bounded() {
    let body = "b".repeat(64 * 1024);
    let fields = FIELDS.replace("read", "write");
    let puts: String = (0..20).map(|id| put(&id.to_string(), &fields, &body)).collect();
    let (mut client, mut asks) = (resp_client(), Vec::new());
    let mut read = BytesMut::from(puts.as_bytes());
    client.receive(0, &mut read, &mut asks);
    assert_eq!((asks.len(), client.is_full()), (16, true));
    client.answer(asks[3].0.id, Answer::Failed);
    client.receive(0, &mut read, &mut asks);
    assert_eq!((asks.len(), client.unanswered().len()), (17, 16));
}

/// Guards the nodes and the scheduler: what no node can use is told so, and nothing of it is kept.
#[test]
fn requests_that_nodes_cannot_use_are_errors_and_leave_no_state() {
    let common = resp_common(1 << 20);
    let mut client = Client::new(common.clone());
    let with = |from: &str, to: &str| get("9b", &FIELDS.replace(from, to));
    let long = "9".repeat(65);
    let bad = [
        with("gold", "golden"),
        with("c=read", "c=write"),
        with("480", "0"),
        with("480", "-5"),
        with("480", "+480"),
        with("480", ""),
        with("480", "1001"),
        with("480", "99999999999999999999999"),
        with("00000003b4d60021", "volume"),
        with("units=2", "units=0"),
        with("units=2", "units=7"),
        with("shard=5", "shard=9"),
        with("shard=5", "shard=-2"),
        with("shard=5,", ""),
        with("hosts=3", "hosts=0"),
        with("hosts=3", "hosts=3,c=read"),
        get("", FIELDS),
        get("9 b", FIELDS),
        get(&long, FIELDS),
        get("9b", FIELDS).replace("7f3a9c21e0b4d655", "7f3a9c21e0b4d65x"),
        put("9b", FIELDS, "body"),
    ];
    for text in &bad {
        let (line, taken) = said(&mut client, text);
        assert!(line.starts_with("-ERR ") && line.ends_with("\r\n") && taken == 0, "{text} {line}");
        assert_eq!(line.matches("\r\n").count(), 1, "one line: {line}");
    }
    assert!(!client.is_ending() && client.unanswered().is_empty());
    assert!(common.budget.reserve(1 << 20), "nothing is held");
}

/// Guards against two requests under one id: nodes would take one for the other.
#[test]
fn the_id_of_an_open_request_is_free_again_once_it_is_over() {
    let common = resp_common(1 << 20);
    let (mut one, mut two) = (Client::new(common.clone()), Client::new(common.clone()));
    let (text, again) = (get("9b", FIELDS), get("9b", &FIELDS.replace("shard=5", "shard=6")));
    assert_eq!(said(&mut one, &text), (String::new(), 1));
    let (line, taken) = said(&mut two, &again);
    assert!(line.starts_with("-ERR ") && taken == 0, "{line}");
    let number = one.unanswered()[0];
    one.answer(number, Answer::Failed);
    assert_eq!(said(&mut two, &again), (String::new(), 1), "answered: it is free");
    drop(two);
    assert_eq!(said(&mut one, &text).1, 1, "its client is gone: it is free");
}

/// Guards the memory: what all clients have open together is bounded, and beyond that nothing is taken.
#[test]
fn without_room_a_request_is_refused_at_once() {
    let mut client = Client::new(resp_common(10_000));
    let texts: String = (0..6).map(|id| get(&id.to_string(), FIELDS)).collect();
    let mut asks = Vec::new();
    client.receive(0, &mut BytesMut::from(texts.as_bytes()), &mut asks);
    let taken = asks.len();
    assert!((1..6).contains(&taken), "{taken}");
    for id in client.unanswered() {
        client.answer(id, Answer::Failed);
    }
    let lines = String::from_utf8(written(client.outbox())).unwrap();
    assert_eq!(lines.matches("-BUSY\r\n").count(), 6 - taken);
    assert_eq!(said(&mut client, &get("7", FIELDS)).1, 1, "there is room again");
}

/// Guards against waiting for the end of what never ends.
#[test]
fn a_command_is_refused_as_soon_as_its_head_shows_that_it_cannot_be_taken() {
    for text in ["$", "x", "*17\r\n", "*-3\r\n", "*1000000000\r\n", "*5\r\n$60000000\r\n", "*4\r\n$-7\r\n"] {
        let mut client = resp_client();
        let (line, taken) = said(&mut client, &format!("{}{text}", get("9b", FIELDS)));
        assert_eq!((line.as_str(), taken, client.is_ending()), ("", 1, true), "{text}");
        let number = client.unanswered()[0];
        client.answer(number, Answer::Served("v".into()));
        let line = String::from_utf8(written(client.outbox())).unwrap();
        assert!(line.starts_with("$1\r\nv\r\n-ERR ") && line.matches("-ERR").count() == 1, "{line}");
    }
}

/// A node with a request of this client out, and the request.
fn asked_of(node: &mut Node, client: &mut Client, text: &[u8], read: &mut BytesMut) -> u64 {
    let mut asks = Vec::new();
    read.extend_from_slice(text);
    client.receive(0, read, &mut asks);
    let (arrival, command) = asks.remove(0);
    node.send((arrival.id, 0), 1_000_000, command);
    arrival.id
}

/// Hands a node's reply to a client in steps, and gives what the client was told; what is held between them stays
/// within `most`.
fn passed(node: &mut Node, client: &mut Client, reply: &[u8], step: usize, most: usize) -> Vec<u8> {
    let (mut read, mut ended, mut told, mut at) = (BytesMut::new(), Vec::new(), Vec::new(), 0);
    // What is neither whole nor passed on after the last step stays so.
    let mut before = None;
    while at < reply.len() || before != Some((read.len(), told.len())) {
        before = Some((read.len(), told.len()));
        if node.wants_read(read.len()) && at < reply.len() {
            let end = (at + step).min(reply.len());
            read.extend_from_slice(&reply[at..end]);
            at = end;
        }
        let result = node.receive(&mut read, &mut ended);
        if let Some(ReplyProgress::Begun((id, _), end)) = node.progress() {
            client.answer(id, Answer::Served(end.reply.expect("a value")));
        }
        for ((id, _), end) in ended.drain(..) {
            client.answer(id, end.reply.map_or(Answer::Failed, Answer::Served));
        }
        if result.is_err() {
            *node = Node::default();
            read.clear();
            at = reply.len();
        }
        client.fill_outbox();
        let held = read.len() + client.outbox().len() as usize;
        assert!(held <= most, "{held}");
        let bytes = client.outbox().slices().iter().flat_map(|s| s.to_vec()).collect::<Vec<u8>>();
        client.wrote(bytes.len());
        told.extend(bytes);
        client.fill_outbox();
    }
    told
}

fn long_value(length: usize) -> (Vec<u8>, Vec<u8>) {
    let value: Vec<u8> = (0..length).map(|i| (i / 7) as u8).collect();
    let bulk = [format!("${length}\r\n").as_bytes(), &value, b"\r\n"].concat();
    let reply = [b"*3\r\n", &bulk[..], b"$14\r\nused=37,cost=4\r\n$-1\r\n"].concat();
    (bulk, reply)
}

/// Guards against a large reply that is held whole, lost, or changed at any cut around its head and its end.
#[test]
fn a_long_value_is_passed_on_while_it_comes() {
    let (bulk, reply) = long_value(300_000);
    let (mut node, mut client) = (Node::default(), resp_client());
    let mut read = BytesMut::new();
    for step in [1, 7, 13, 20, 4_096, 65_536] {
        asked_of(&mut node, &mut client, get(&step.to_string(), FIELDS).as_bytes(), &mut read);
        let told = passed(&mut node, &mut client, &reply, step, 2 * 65_536 + step);
        assert!(told == bulk, "in steps of {step}: {} of {}", told.len(), bulk.len());
        assert!(!client.is_streaming() && !client.is_stream_broken());
    }
    // Every cut around its head, one byte at a time, and around its end.
    for steps in [1, 2, 3] {
        asked_of(&mut node, &mut client, get(&format!("c{steps}"), FIELDS).as_bytes(), &mut read);
        let (small, short) = long_value(65_537);
        assert!(passed(&mut node, &mut client, &short, steps, 2 * 65_536) == small, "{steps} at a time");
    }
}

/// Guards against a spoilt or unfinished value that a client could take for a whole one.
#[test]
fn a_long_value_that_goes_wrong_is_seen_not_to_be_whole() {
    let (_, reply) = long_value(100_000);
    let mut wrong = reply.clone();
    let end = 4 + 9 + 100_000;
    wrong[end] = b'x';
    for text in [&wrong[..], &reply[..50_000]] {
        let (mut node, mut client) = (Node::default(), resp_client());
        asked_of(&mut node, &mut client, get("1", FIELDS).as_bytes(), &mut BytesMut::new());
        let told = passed(&mut node, &mut client, text, 4_096, 1 << 20);
        drop(node);
        client.fill_outbox();
        assert!(client.is_stream_broken() && client.is_ending(), "the rest never comes");
        assert!(!told.ends_with(b"\r\n") || told.len() < 20, "{}", told.len());
    }
    // One that is longer than any may be is no reply at all.
    let mut node = Node::default();
    asked_of(&mut node, &mut resp_client(), get("1", FIELDS).as_bytes(), &mut BytesMut::new());
    let claimed = &mut BytesMut::from(&b"*3\r\n$3000000000\r\nvv"[..]);
    assert!(node.receive(claimed, &mut Vec::new()).is_err());
}

/// Guards against a body that is held whole, changed, or begun twice, and one taken for whole before its last byte.
#[test]
fn a_long_body_is_sent_on_while_it_comes() {
    let body = "b".repeat(300_000);
    let text = put("1", &FIELDS.replace("read", "write"), &body);
    let head = text.len() - body.len() - 2;
    for step in [9, 4_096, 100_000] {
        let (mut node, mut client) = (Node::default(), resp_client());
        let (mut read, mut sent, mut whole) = (BytesMut::new(), Vec::new(), None);
        let id = asked_of(&mut node, &mut client, &text.as_bytes()[..head], &mut read);
        let mut at = head;
        while at < text.len() || !read.is_empty() || !node.outbox().is_empty() {
            assert_eq!(whole, None);
            if !client.is_full() && at < text.len() {
                let end = (at + step).min(text.len());
                read.extend_from_slice(&text.as_bytes()[at..end]);
                at = end;
            }
            client.receive(7_000_000, &mut read, &mut Vec::new());
            whole = client.take_complete_upload();
            assert!(read.len() <= step + 65_536, "{}", read.len());
            node.fill().expect("it goes on");
            sent.extend(written(node.outbox()));
        }
        node.fill().expect("it goes on");
        sent.extend(written(node.outbox()));
        assert_eq!(whole.map(|(id, _)| id), Some(id));
        assert!(whole.is_some_and(|(_, due)| (7_400_000..7_480_000).contains(&due)), "from its last byte on");
        assert!(sent == text.as_bytes(), "in steps of {step}");
    }
}

#[test]
fn a_long_body_that_breaks_off_never_ran_and_one_that_is_turned_down_is_read_and_dropped() {
    let body = "b".repeat(100_000);
    let text = put("1", &FIELDS.replace("read", "write"), &body);
    let (mut node, mut client) = (Node::default(), resp_client());
    asked_of(&mut node, &mut client, &text.as_bytes()[..50_000], &mut BytesMut::new());
    node.fill().expect("it goes on");
    written(node.outbox());
    drop(client);
    assert!(node.fill().is_err(), "the rest will not come");
    assert_eq!(node.connection_lost(), [((1, 0), AttemptEnd::without_reply(Ending::Unreachable))]);
    // A class that does not exist; then a request that does, behind it on the same connection.
    let mut client = resp_client();
    let bad = put("1", &FIELDS.replace("read", "none"), &body);
    let (line, asked) = said(&mut client, &(bad + &get("2", FIELDS)));
    assert_eq!(
        (line.starts_with("-ERR unknown class"), asked, client.is_ending()),
        (true, 1, false),
        "{line}"
    );
    // One whose answer is there before its body: the rest is no command.
    let mut client = resp_client();
    let mut read = BytesMut::new();
    let id = asked_of(&mut Node::default(), &mut client, &text.as_bytes()[..50_000], &mut read);
    client.answer(id, Answer::Refused(0));
    read.extend_from_slice(&text.as_bytes()[50_000..]);
    let mut asks = Vec::new();
    client.receive(0, &mut read, &mut asks);
    assert!(
        read.is_empty() && asks.is_empty() && client.take_complete_upload().is_none() && !client.is_ending()
    );
    assert_eq!(said(&mut client, &get("3", FIELDS)), ("-BUSY\r\n".to_string(), 1));
}

/// Guards the memory against a client that leaves its answers unread.
#[test]
fn values_that_are_not_read_use_up_their_room() {
    let value = "v".repeat(60_000);
    let mut client = Client::new(resp_common(150_000));
    let texts: String = (0..3).map(|id| get(&id.to_string(), FIELDS)).collect();
    client.receive(0, &mut BytesMut::from(texts.as_bytes()), &mut Vec::new());
    for id in client.unanswered() {
        client.answer(id, Answer::Served(value.clone().into()));
    }
    let mut texts = String::new();
    while !client.outbox().is_empty() {
        let bytes = client.outbox().slices().iter().flat_map(|s| s.to_vec()).collect::<Vec<u8>>();
        client.wrote(bytes.len());
        texts += std::str::from_utf8(&bytes).unwrap();
    }
    let told: Vec<&str> = texts.split("\r\n").filter(|line| line.len() < 20).collect();
    assert_eq!(told, ["$60000", "$60000", "-ERR failed", ""]);
    assert_eq!(said(&mut client, &get("4", FIELDS)).1, 1);
    let number = client.unanswered()[0];
    client.answer(number, Answer::Served(value.into()));
    assert!(client.outbox().len() > 60_000, "what was written has given back its room");
}

/// Everything that a session wants written, taken as written.
fn said_next(client: &mut Client) -> String {
    let mut text = String::new();
    client.fill_outbox();
    while !client.outbox().is_empty() {
        let bytes = client.outbox().slices().iter().flat_map(|s| s.to_vec()).collect::<Vec<u8>>();
        client.wrote(bytes.len());
        text += std::str::from_utf8(&bytes).expect("text");
        client.fill_outbox();
    }
    text
}

#[test]
fn a_long_value_that_breaks_off_takes_no_answer_behind_it_along() {
    for breaks in [true, false] {
        let mut client = resp_client();
        let texts: String = (0..2).map(|id| get(&id.to_string(), FIELDS)).collect();
        client.receive(0, &mut BytesMut::from(texts.as_bytes()), &mut Vec::new());
        let (first, second) = (client.unanswered()[0], client.unanswered()[1]);
        let (giver, taker) = pipe(&BufferBudget::new(1 << 20), 1 << 20);
        client.answer(first, Answer::Served(Reply::Streamed(taker, 6)));
        client.answer(second, Answer::Served(Bytes::from("value").into()));
        giver.put(Bytes::from("abc"));
        assert_eq!(said_next(&mut client), "", "it is gathered first");
        if breaks {
            drop(giver);
            assert_eq!(said_next(&mut client), "-ERR failed\r\n$5\r\nvalue\r\n");
        } else {
            giver.put(Bytes::from("def"));
            giver.finish();
            assert_eq!(said_next(&mut client), "$6\r\nabcdef\r\n$5\r\nvalue\r\n");
        }
        assert!(!client.is_stream_broken() && !client.is_streaming() && !client.is_ending());
    }
}

#[test]
fn nothing_is_taken_behind_a_long_value_that_is_passed_on() {
    let mut client = resp_client();
    client.receive(0, &mut BytesMut::from(get("1", FIELDS).as_bytes()), &mut Vec::new());
    let (giver, taker) = pipe(&BufferBudget::new(1 << 20), 1 << 20);
    client.answer(client.unanswered()[0], Answer::Served(Reply::Streamed(taker, 6)));
    giver.put(Bytes::from("abc"));
    assert_eq!(said_next(&mut client), "$6\r\nabc", "nothing stands behind it: it goes at once");
    let mut read = BytesMut::from(get("2", FIELDS).as_bytes());
    let mut asks = Vec::new();
    client.receive(0, &mut read, &mut asks);
    assert!(client.is_full() && asks.is_empty() && !read.is_empty());
    giver.put(Bytes::from("def"));
    giver.finish();
    assert_eq!(said_next(&mut client), "def\r\n");
    client.receive(0, &mut read, &mut asks);
    assert_eq!((asks.len(), client.is_full()), (1, false));
}
