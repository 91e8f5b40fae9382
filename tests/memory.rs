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
