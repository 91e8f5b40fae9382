//! The end of a broker: whatever it has taken has its answer before it may be killed, and nothing of a connection outlasts it.

mod common;

use claywinch_lab::client;
use claywinch_lab::disk::{Disk, BLOCK};
use claywinch_lab::nbd::{Reply, READ, WRITE};
use common::net::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// How long after the longest deadline SIGKILL comes at the earliest, counted from SIGTERM.
const AFTER_DEADLINE: Duration = Duration::from_millis(700);

fn settings(deadline_s: f64) -> String {
    format!(
        r#"{{"balancers":1,"localities":["a"],"registry_mode":"on_request",
        "services":[{{"name":"read","promise_s":0.5,"deadline_s":{deadline_s},"credit":2.0,"late_worth":0.2,"effect":"free"}}],
        "bounds":{{"most_tries":4,"second_copies":false,"cancel":true,"probes":false,"retry_after":true,
          "max_retry_after_s":2.0,"conn_idle_s":15.0,"connect_timeout_s":0.25,"multiplex":16}},
        "contracts":[{{"name":"standard","base_rate":500.0,"parts":1.0,"price":1.0,"floor_rate":400.0}}],
        "extra":{{"usual_units":2.0,"largest":16,"fair_worth":0.4,"spare_worth":0.05,"young_limit":7.0}},
        "rules":{{"start_capacity":0.15,"cold_s":1.0,"tip_after_s":0.5}}}}"#
    )
}

fn command(id: usize, waits_ms: u64) -> String {
    let fields = format!("c=read,t=standard,d={waits_ms},volume=00000003b4d60021,units=2,shard=0,hosts=1");
    format!(
        "*4\r\n$7\r\nOBJ.GET\r\n$16\r\n7f3a9c21e0b4d655\r\n$16\r\n{id:016x}\r\n${}\r\n{fields}\r\n",
        fields.len()
    )
}

struct Site {
    script: Shared,
    at: String,
    broker: Broker,
    _discovery: Discovery,
}

/// A broker before one node that serves by then.
fn site(name: &str, deadline_s: f64) -> Site {
    let (script, node) = resp_node();
    let member = format!(
        r#"{{"id":"s-00000001","host_port":"{node}","locality":"a","cell":0,"phase":"ready","up_since_ms":0}}"#
    );
    let (discovery, at) = Discovery::start(&member);
    let broker = Broker::start(name, &settings(deadline_s), &at, None);
    until("the node is there", || {
        let mut client = connect(&broker.listen);
        client.write_all(command(1, 500).as_bytes()).expect("asks");
        line(&mut client).expect("an answer") == "$5"
    });
    Site { script, at, broker, _discovery: discovery }
}

/// Asks for something that the node never answers.
fn hang(site: &Site, client: &mut TcpStream, id: usize, waits_ms: u64) {
    let seen = site.script.lock().expect("the script").seen;
    site.script.lock().expect("the script").next = vec![Manner::Hang];
    client.write_all(command(id, waits_ms).as_bytes()).expect("asks");
    until("it is out", || site.script.lock().expect("the script").seen > seen);
}

#[test]
fn a_shorter_deadline_taken_by_sighup_brings_the_end_forward() {
    let site = site("shorter", 3.0);
    let mut client = connect(&site.broker.listen);
    hang(&site, &mut client, 2, 3_000);
    site.broker.reconfigure(&configuration(&settings(0.8), &site.at));
    until("the shorter deadline holds", || site.broker.log().contains("configuration read anew"));
    let told = Instant::now();
    site.broker.signal("-TERM");
    let first = line(&mut client).expect("an answer before the kill");
    let took = told.elapsed();
    assert!(
        first.starts_with("-BUSY") && took < Duration::from_millis(800) + AFTER_DEADLINE,
        "{first} {took:?}"
    );
}

#[test]
fn a_shorter_deadline_that_comes_after_sigterm_brings_the_end_forward() {
    let site = site("shorter-late", 3.0);
    let mut client = connect(&site.broker.listen);
    hang(&site, &mut client, 2, 3_000);
    let told = Instant::now();
    site.broker.signal("-TERM");
    site.broker.reconfigure(&configuration(&settings(0.8), &site.at));
    let first = line(&mut client).expect("an answer before the kill");
    let took = told.elapsed();
    assert!(
        first.starts_with("-BUSY") && took < Duration::from_millis(800) + AFTER_DEADLINE,
        "{first} {took:?}"
    );
}

#[test]
fn half_a_command_does_not_outlast_the_end() {
    let mut site = site("half", 0.5);
    let mut client = connect(&site.broker.listen);
    let told = Instant::now();
    site.broker.signal("-TERM");
    std::thread::sleep(Duration::from_millis(300));
    client.write_all(&command(2, 500).as_bytes()[..40]).expect("half a command");
    let mut rest = String::new();
    client.read_to_string(&mut rest).expect("the end");
    assert!(rest.starts_with("-ERR"), "it is told: {rest:?}");
    until("it has ended", || site.broker.child.try_wait().expect("a process").is_some());
    assert!(told.elapsed() < Duration::from_millis(500) + AFTER_DEADLINE, "{:?}", told.elapsed());
}

#[test]
fn a_full_pipe_for_the_log_does_not_outlast_the_end() {
    let (_script, node) = resp_node();
    let member = format!(
        r#"{{"id":"s-00000001","host_port":"{node}","locality":"a","cell":0,"phase":"ready","up_since_ms":0}}"#
    );
    let (_discovery, at) = Discovery::start(&member);
    let folder = std::env::temp_dir().join(format!("claywinch-pipe-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    std::fs::write(folder.join("config.json"), configuration(&settings(0.5), &at)).expect("a configuration");
    let listen = free_address();
    let mut child = std::process::Command::new(env!("CARGO_BIN_EXE_claywinch"))
        .env("RELAY_CONFIG", folder.join("config.json"))
        .env("RELAY_LISTEN", &listen)
        .env("CLAYWINCH_LOG", "debug")
        .stderr(std::process::Stdio::piped())
        .spawn()
        .expect("the broker starts");
    until("it listens", || TcpStream::connect(&listen).is_ok());
    let mut client = connect(&listen);
    // More than a pipe holds, and less than what may wait for it.
    for id in 0..400 {
        client.write_all(command(id, 500).as_bytes()).expect("asks");
        let first = line(&mut client).expect("an answer");
        if first.starts_with('$') {
            line(&mut client).expect("a value");
        }
    }
    let told = Instant::now();
    let kill = std::process::Command::new("kill").args(["-TERM", &child.id().to_string()]).status();
    assert!(kill.expect("kill runs").success());
    until("it has ended", || child.try_wait().expect("a process").is_some());
    assert!(told.elapsed() < Duration::from_millis(500) + AFTER_DEADLINE, "{:?}", told.elapsed());
    std::fs::remove_dir_all(&folder).expect("it goes");
}

const NBD_SIZE: u64 = 1 << 20;

/// An NBD file whose requests may wait far longer than the settings let a broker live on.
fn nbd_file(node: &str, integrity: &str) -> String {
    let class = |name: &str, repeat: &str| {
        format!("[[class]]\nname='{name}'\nwanted_ms=500\ndeadline_ms=10000\nworth=2.0\nrepeat='{repeat}'\n")
    };
    let (read, write) = (class("read", "safe"), class("write", "never"));
    format!(
        "{read}{write}[[plan]]\nname='standard'\nrate=5000.0\nreserve=4000.0\n\
         [[export]]\nname='tallies'\nsize={NBD_SIZE}\nshard=0\nplan='standard'\n\
         read='read'\nwrite='write'\nflush='write'\n{integrity}\n\
         [integrity]\nlate_ms=0\nscrub_days=0.0\n\
         [[node]]\nid='d-1'\naddress='{node}'\nshard=0\n"
    )
}

/// Guards against requests over NBD without a final answer when the broker is killed: those that are taken after SIGTERM, those
/// that wait behind a write to the same block of an export with sums, and those that SIGHUP brings forward.
#[test]
fn requests_over_nbd_are_answered_before_the_kill() {
    for (integrity, first, later) in [("", READ, READ), ("integrity='crc32c'", WRITE, WRITE)] {
        let exports = [("tallies", NBD_SIZE), ("tallies.sums", NBD_SIZE)];
        let node = Disk::start(None, &exports, Default::default()).expect("a node");
        let (_discovery, at) = Discovery::start("");
        let name = format!("nbd-end-{}", integrity.len());
        let broker = Broker::start(&name, &settings(3.0), &at, Some(&nbd_file(node.address(), integrity)));
        until("the export's sums are open", || integrity.is_empty() || broker.log().contains("sums sealed"));
        let (_, mut asker, mut listener) =
            client::connect(&broker.nbd, "tallies", true).expect("the front listens");
        asker.send(WRITE, 0, 0, BLOCK as u32, vec![1; BLOCK]).expect("asks");
        assert_eq!(listener.reply().expect("an answer").1, Reply::Done(Vec::new()));
        node.hold("tallies", first);
        let data = |command| if command == WRITE { vec![2; BLOCK] } else { Vec::new() };
        asker.send(first, 0, 0, BLOCK as u32, data(first)).expect("asks");
        until("it is out", || node.held() == 1);
        let told = Instant::now();
        broker.signal("-TERM");
        std::thread::sleep(Duration::from_millis(300));
        asker.send(later, 0, 0, BLOCK as u32, data(later)).expect("asks");
        broker.reconfigure(&configuration(&settings(0.8), &at));
        let replies = [listener.reply().expect("an answer").1, listener.reply().expect("another").1];
        let took = told.elapsed();
        assert!(replies.iter().all(|reply| matches!(reply, Reply::Error(..))), "{replies:?}");
        assert!(took < Duration::from_millis(800) + AFTER_DEADLINE, "{took:?}");
    }
}
