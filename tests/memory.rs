//! What the process holds on the least memory that deployments have, whatever clients and nodes send, and how ordinary clients
//! are served beside it.

mod common;

use common::net::*;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Memory of the process, in MiB, and its descriptors.
const MEMORY_MB: usize = 32;
const DESCRIPTORS: u32 = 1_024;
/// How long clients wait for an answer.
const WAIT: Duration = Duration::from_millis(4_000);
/// Bytes of a long value: the most that may be served.
const LONG: usize = 4 << 20;

const SETTINGS: &str = r#"{"balancers":1,"localities":["a"],"registry_mode":"on_request",
    "services":[
      {"name":"page-read","promise_s":0.5,"deadline_s":4.0,"credit":2.0,"late_worth":0.2,"effect":"free"},
      {"name":"tally-write","promise_s":0.5,"deadline_s":4.0,"credit":2.0,"late_worth":0.2,"effect":"single_shot"}],
    "bounds":{"most_tries":4,"second_copies":false,"cancel":true,"probes":false,"retry_after":true,
      "max_retry_after_s":2.0,"conn_idle_s":15.0,"connect_timeout_s":0.25,"multiplex":16},
    "contracts":[{"name":"standard","base_rate":5000.0,"parts":1.0,"price":1.0,"floor_rate":4000.0}],
    "extra":{"usual_units":2.0,"largest":16,"fair_worth":0.4,"spare_worth":0.05,"young_limit":7.0},
    "rules":{"start_capacity":0.15,"cold_s":1.0,"tip_after_s":0.5}}"#;

/// A broker before one node for each shard.
struct Site {
    broker: Broker,
    _discovery: Discovery,
}

fn site(name: &str, nodes: &[&str]) -> Site {
    let member = |(shard, node): (usize, &&str)| {
        format!(
            r#"{{"id":"s-0000000{shard}","host_port":"{node}","locality":"a","cell":{shard},"phase":"ready","up_since_ms":0}}"#
        )
    };
    let members: Vec<String> = nodes.iter().enumerate().map(member).collect();
    let (discovery, at) = Discovery::start(&members.join(","));
    let configuration = configuration(SETTINGS, &at)
        .replace("\"memory_mb\":192", &format!("\"memory_mb\":{MEMORY_MB}"))
        .replace("\"sockets\":256", &format!("\"sockets\":{DESCRIPTORS}"));
    let broker = Broker::start_configured(name, &configuration, &at, DESCRIPTORS);
    until("the list is in force", || broker.log().contains("list of nodes"));
    Site { broker, _discovery: discovery }
}

impl Site {
    /// The most memory that the process has held, in KiB.
    fn peak_kb(&self) -> usize {
        let path = format!("/proc/{}/status", self.broker.child.id());
        let status = std::fs::read_to_string(path).expect("the process lives");
        let peak = status.lines().find(|line| line.starts_with("VmHWM")).expect("a peak");
        peak.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).expect("a number")
    }

    fn assert_within_memory(&self) {
        let peak = self.peak_kb();
        println!("peak: {peak} KiB");
        assert!(peak < MEMORY_MB * 1024, "{peak} KiB of {MEMORY_MB} MiB");
    }
}

fn get(id: &str, piece: u64, shard: usize) -> String {
    let wait = WAIT.as_millis();
    let fields =
        format!("c=page-read,t=standard,d={wait},volume=00000003b4d60021,units=2,shard={shard},hosts=1");
    let (id_length, length) = (id.len(), fields.len());
    format!("*4\r\n$7\r\nOBJ.GET\r\n$16\r\n{piece:016x}\r\n${id_length}\r\n{id}\r\n${length}\r\n{fields}\r\n")
}

/// A node that answers each read with a value of this length, in pieces, evenly over a time.
fn slow_node(length: usize, piece: usize, over: Duration) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            thread::spawn(move || while serve_slowly(&mut stream, length, piece, over).is_ok() {});
        }
    });
    address
}

fn serve_slowly(stream: &mut TcpStream, length: usize, piece: usize, over: Duration) -> std::io::Result<()> {
    let words: usize = line(stream)?[1..].parse().map_err(std::io::Error::other)?;
    for _ in 0..words {
        bulk(stream)?;
    }
    let head = format!("*3\r\n${length}\r\n");
    let reply = [head.as_bytes(), &vec![b'v'; length], b"\r\n$-1\r\n$-1\r\n"].concat();
    let (begun, pieces) = (Instant::now(), reply.len().div_ceil(piece) as u32);
    for (number, part) in (1..).zip(reply.chunks(piece)) {
        stream.write_all(part)?;
        thread::sleep((over * number / pieces).saturating_sub(begun.elapsed()));
    }
    Ok(())
}

/// Guards against values whose pieces each keep a whole read buffer, on their way and while they are collected.
#[test]
fn long_values_in_small_pieces_stay_within_the_memory() {
    let (_script, sound) = resp_node();
    let slow = slow_node(LONG, 512, Duration::from_millis(3_000));
    let site = site("pieces", &[&sound, &slow]);
    let clients: Vec<_> = (0..4)
        .map(|number| {
            let mut client = connect(&site.broker.listen);
            let both = get(&format!("long{number}"), 1, 1) + &get(&format!("small{number}"), 1, 0);
            client.write_all(both.as_bytes()).expect("asks");
            thread::spawn(move || {
                let first = line(&mut client).expect("an answer");
                assert_eq!(first, format!("${LONG}"));
                exact(&mut client, LONG + 2).expect("the value");
            })
        })
        .collect();
    for client in clients {
        client.join().expect("all of the value");
    }
    site.assert_within_memory();
}

/// Guards against short answers that each keep a read buffer while they wait behind an earlier one.
#[test]
fn short_answers_behind_a_slow_one_stay_within_the_memory() {
    let small = slow_node(5, 64, Duration::ZERO);
    let slow = slow_node(5, 1, Duration::from_millis(2_000));
    let site = site("behind", &[&small, &slow]);
    let mut clients: Vec<TcpStream> = (0..100)
        .map(|number| {
            let mut client = connect(&site.broker.listen);
            let first = get(&format!("{number}-slow"), 1, 1);
            let rest: String = (0..250).map(|id| get(&format!("{number}-{id}"), 1, 0)).collect();
            client.write_all((first + &rest).as_bytes()).expect("asks");
            client
        })
        .collect();
    thread::sleep(Duration::from_millis(2_500));
    site.assert_within_memory();
    for client in &mut clients {
        let mut some = [0; 4];
        client.read_exact(&mut some).expect("an answer");
    }
}

/// A write whose body has so many bytes.
fn put_head(id: &str, shard: usize, length: usize) -> String {
    let wait = WAIT.as_millis();
    let fields =
        format!("c=tally-write,t=standard,d={wait},volume=00000003b4d60021,units=2,shard={shard},hosts=1");
    let (id_length, fields_length) = (id.len(), fields.len());
    format!(
        "*5\r\n$7\r\nOBJ.PUT\r\n$16\r\n7f3a9c21e0b4d655\r\n${id_length}\r\n{id}\r\n${fields_length}\r\n{fields}\r\n${length}\r\n"
    )
}

/// Sends as much as the broker takes without waiting.
fn send_what_fits(stream: &mut TcpStream, bytes: &[u8]) {
    stream.set_nonblocking(true).expect("no waiting");
    let mut sent = 0;
    while let Ok(count) = stream.write(&bytes[sent..]) {
        sent += count;
        if sent == bytes.len() {
            break;
        }
    }
}

/// An ordinary client beside trouble: asks again and again for so long, and returns how many answers it got in time.
fn ask_beside(address: &str, duration: Duration) -> (usize, usize) {
    let (begun, mut served, mut asked) = (Instant::now(), 0, 0);
    let mut client = connect(address);
    while begun.elapsed() < duration {
        asked += 1;
        let sent = Instant::now();
        client.write_all(get(&format!("ordinary{asked}"), 1, 0).as_bytes()).expect("asks");
        let first = line(&mut client).expect("an answer");
        if first.starts_with('$') {
            exact(&mut client, 7).expect("a value");
            served += usize::from(sent.elapsed() < WAIT);
        }
        thread::sleep(Duration::from_millis(20));
    }
    (served, asked)
}

fn assert_served_beside(site: &Site, duration: Duration) {
    let (served, asked) = ask_beside(&site.broker.listen, duration);
    println!("ordinary client: {served} of {asked} served");
    assert!(asked > 20 && served * 10 >= asked * 9, "{served} of {asked} served");
}

/// Hundreds of clients in the middle of something: what each sends, and whether it reads.
fn crowd(site: &Site, count: usize, what: impl Fn(usize) -> Vec<u8>) -> Vec<TcpStream> {
    let mut clients = Vec::new();
    for number in 0..count {
        let mut client = connect(&site.broker.listen);
        send_what_fits(&mut client, &what(number));
        clients.push(client);
    }
    clients
}

/// Guards against clients that each hold the memory of a command which they never finish.
#[test]
fn hundreds_of_half_commands_stay_within_the_memory() {
    let (_script, sound) = resp_node();
    let site = site("half-commands", &[&sound]);
    let half = |number: usize| {
        let head = put_head(&format!("half{number}"), 0, 64_000);
        [head.as_bytes(), &vec![b'x'; 60_000]].concat()
    };
    let clients = crowd(&site, 150, half);
    assert_served_beside(&site, Duration::from_secs(2));
    site.assert_within_memory();
    drop(clients);
}

/// Guards against lists of fields that cost memory and time by their number.
#[test]
fn heads_of_very_many_short_fields_stay_within_the_memory() {
    let (_script, sound) = resp_node();
    let site = site("many-fields", &[&sound]);
    let many = |number: usize| {
        let fields: String = (0..9_000).map(|field| format!(",{field:x}=")).collect();
        let text = get(&format!("fields{number}"), 1, 0);
        let list = text.rsplit("\r\n").nth(1).expect("the fields").to_string();
        let longer = format!("${}\r\n{list}{fields}", list.len() + fields.len());
        text.replace(&format!("${}\r\n{list}", list.len()), &longer).into_bytes()
    };
    let clients = crowd(&site, 150, |number| (0..20).flat_map(|turn| many(number * 20 + turn)).collect());
    assert_served_beside(&site, Duration::from_secs(2));
    site.assert_within_memory();
    drop(clients);
}

/// Guards against answers of clients that read nothing, short ones and long ones.
#[test]
fn hundreds_of_unread_answers_stay_within_the_memory() {
    let (_script, sound) = resp_node();
    let fast = slow_node(LONG, 64 * 1024, Duration::ZERO);
    let site = site("unread", &[&sound, &fast]);
    let pings = crowd(&site, 75, |_| b"*1\r\n$4\r\nPING\r\n".repeat(40_000));
    let values = crowd(&site, 75, |number| get(&format!("unread{number}"), 1, 1).into_bytes());
    assert_served_beside(&site, Duration::from_secs(2));
    site.assert_within_memory();
    drop((pings, values));
}

/// Guards against long writes that wait for a node which takes none of them.
#[test]
fn hundreds_of_long_writes_for_a_hung_node_stay_within_the_memory() {
    let (_script, sound) = resp_node();
    let hung = TcpListener::bind("127.0.0.1:0").expect("a port");
    let site = site("hung-writes", &[&sound, &hung.local_addr().expect("an address").to_string()]);
    let write = |number: usize| {
        [put_head(&format!("write{number}"), 1, LONG).as_bytes(), &vec![b'x'; LONG / 2]].concat()
    };
    let clients = crowd(&site, 150, write);
    assert_served_beside(&site, Duration::from_secs(2));
    site.assert_within_memory();
    drop(clients);
}

/// Sends on one connection at full speed for a time, and reads what comes.
fn flood(address: &str, duration: Duration, mut next: impl FnMut() -> Vec<u8>) {
    let mut client = connect(address);
    let mut reader = client.try_clone().expect("a second handle");
    thread::spawn(move || {
        let mut buffer = vec![0; 1 << 16];
        while reader.read(&mut buffer).is_ok_and(|count| count > 0) {}
    });
    let begun = Instant::now();
    while begun.elapsed() < duration {
        if client.write_all(&next()).is_err() {
            client = connect(address);
        }
    }
}

/// Guards against a connection that is served without a pause while others wait for their turn.
#[test]
fn unsound_requests_at_full_speed_keep_no_other_client_waiting() {
    const FOR: Duration = Duration::from_secs(3);
    let (_script, sound) = resp_node();
    let site = site("unsound-flood", &[&sound]);
    let address = site.broker.listen.clone();
    let unsound = get("", 1, 0).repeat(2_000).into_bytes();
    let flooder = thread::spawn(move || flood(&address, FOR, || unsound.clone()));
    assert_served_beside(&site, FOR);
    site.assert_within_memory();
    flooder.join().expect("the flood ends");
}

/// Guards against state that is kept for each name that a client makes up.
#[test]
fn requests_under_ever_new_names_stay_within_the_memory() {
    const FOR: Duration = Duration::from_secs(8);
    let (_script, sound) = resp_node();
    let site = site("new-names", &[&sound]);
    let address = site.broker.listen.clone();
    let mut number = 0_u64;
    let next = move || {
        let named = |_| {
            number += 1;
            get(&format!("name{number}"), number, 0).replace("00000003b4d60021", &format!("{number:016x}"))
        };
        (0..500).map(named).collect::<String>().into_bytes()
    };
    let flooder = thread::spawn(move || flood(&address, FOR, next));
    assert_served_beside(&site, FOR);
    site.assert_within_memory();
    flooder.join().expect("the flood ends");
}

/// Guards against slow writers that take a node's place from others: it seems silent or full while it waits for their bodies.
#[test]
fn ordinary_clients_are_served_beside_slow_writers() {
    const FOR: Duration = Duration::from_secs(4);
    let (_script, sound) = resp_node();
    let site = site("slow-writers", &[&sound]);
    // The broker learns how fast the node is.
    ask_beside(&site.broker.listen, Duration::from_secs(1));
    let writers: Vec<_> = (0..60)
        .map(|number| {
            let mut client = connect(&site.broker.listen);
            let request =
                [put_head(&format!("slow{number}"), 0, 400_000).as_bytes(), &[b'x'; 400_000]].concat();
            thread::spawn(move || {
                let begun = Instant::now();
                for piece in request.chunks(4_000) {
                    if begun.elapsed() > FOR || client.write_all(piece).is_err() {
                        return;
                    }
                    thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    assert_served_beside(&site, Duration::from_secs(3));
    site.assert_within_memory();
    writers.into_iter().for_each(|writer| writer.join().expect("it ends"));
}
