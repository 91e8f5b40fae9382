//! Daily operation on real sockets: operators' calls, bans, drains, new settings, a new version, large values.

mod common;

use common::net::*;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Units a second, and at once, that all processes of the broker may send for a volume of the plan `confined`.
const LIMIT: f64 = 40.0;
/// Units by which that may be passed.
const SLACK: f64 = 6.0;

/// Settings with these classes, as JSON objects without what they share.
fn settings(classes: &[(&str, &str)]) -> String {
    let class = |(name, effect): &(&str, &str)| {
        format!(
            r#"{{"name":"{name}","promise_s":0.5,"deadline_s":2.0,"credit":2.0,"late_worth":0.2,"effect":"{effect}"}}"#
        )
    };
    let classes: Vec<String> = classes.iter().map(class).collect();
    format!(
        r#"{{"balancers":1,"localities":["a"],"registry_mode":"on_request","services":[{}],
        "bounds":{{"most_tries":4,"second_copies":false,"cancel":true,"probes":false,"retry_after":true,
          "max_retry_after_s":2.0,"conn_idle_s":15.0,"connect_timeout_s":0.25,"multiplex":100}},
        "contracts":[{{"name":"standard","base_rate":500.0,"parts":1.0,"price":1.0,"floor_rate":400.0}},
          {{"name":"confined","base_rate":10.0,"parts":1.0,"price":1.0,"floor_rate":3.0,
            "never_over":{LIMIT},"most_at_once":{LIMIT},"cap_slack":{SLACK}}}],
        "extra":{{"usual_units":2.0,"largest":16,"fair_worth":0.4,"spare_worth":0.05,"young_limit":7.0}},
        "rules":{{"start_capacity":0.15,"cold_s":1.0,"tip_after_s":0.5}}}}"#,
        classes.join(",")
    )
}

const USUAL: [(&str, &str); 2] = [("page-read", "free"), ("tally-write", "single_shot")];

/// A process of a broker whose listening socket is the platform's, with an operators' address of its own.
fn process(folder: &Path, socket: &TcpListener, discovery: &str, memory_mb: usize) -> (Broker, String) {
    std::fs::create_dir_all(folder).expect("a folder");
    let text = configuration(&settings(&USUAL), discovery)
        .replace("\"memory_mb\":192", &format!("\"memory_mb\":{memory_mb}"));
    std::fs::write(folder.join("config.json"), text).expect("a configuration");
    let (admin, listen) = (free_address(), socket.local_addr().expect("an address").to_string());
    let handed: OwnedFd = socket.try_clone().expect("a descriptor").into();
    let log = std::fs::OpenOptions::new().create(true).append(true).open(folder.join("log")).expect("a log");
    let shell = format!("exec 4<&0 0</dev/null; exec {}", env!("CARGO_BIN_EXE_claywinch"));
    let child = Command::new("sh")
        .args(["-c", &shell])
        .stdin(Stdio::from(handed))
        .stderr(Stdio::from(log))
        .env("RELAY_CONFIG", folder.join("config.json"))
        .env("RELAY_LISTEN", &listen)
        .env("RELAY_ADMIN", &admin)
        .env("RELAY_PASSED_SOCKET", "4")
        .env("TMPDIR", folder)
        .spawn()
        .expect("the broker starts");
    let broker = Broker { child, listen, nbd: String::new(), folder: folder.to_path_buf() };
    until("it can serve", || TcpStream::connect(&admin).is_ok() && call(&admin, "HEALTH").starts_with("200"));
    (broker, admin)
}

fn call(admin: &str, text: &str) -> String {
    let mut stream = connect(admin);
    stream.write_all(format!("{text}\n").as_bytes()).expect("calls");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer, then the end");
    answer.trim_end().to_string()
}

struct Rig {
    script: Shared,
    discovery: Discovery,
    discovery_at: String,
    socket: TcpListener,
    folder: std::path::PathBuf,
    member: String,
}

fn rig(name: &str) -> Rig {
    let (script, node) = resp_node();
    let member = format!(
        r#"{{"id":"s-00000001","host_port":"{node}","locality":"a","cell":0,"phase":"ready","up_since_ms":0}}"#
    );
    let (discovery, discovery_at) = Discovery::start(&member);
    let folder = std::env::temp_dir().join(format!("claywinch-{name}-{}", std::process::id()));
    let socket = TcpListener::bind("127.0.0.1:0").expect("a port");
    Rig { script, discovery, discovery_at, socket, folder, member }
}

impl Rig {
    fn start(&self) -> (Broker, String) {
        process(&self.folder, &self.socket, &self.discovery_at, 192)
    }
    fn seen(&self) -> usize {
        self.script.lock().expect("the script").seen
    }
}

fn command(id: usize, class: &str) -> String {
    let (verb, words, body) = match class.contains("write") {
        true => ("OBJ.PUT", 5, "$4\r\nBODY\r\n"),
        false => ("OBJ.GET", 4, ""),
    };
    let fields = format!("c={class},t=standard,d=2000,volume=00000003b4d60021,units=2,shard=0,hosts=1");
    let length = fields.len();
    format!("*{words}\r\n$7\r\n{verb}\r\n$16\r\n7f3a9c21e0b4d655\r\n$16\r\n{id:016x}\r\n${length}\r\n{fields}\r\n{body}")
}

fn ask(stream: &mut TcpStream, id: usize, class: &str) -> String {
    stream.write_all(command(id, class).as_bytes()).expect("asks");
    let first = line(stream).expect("an answer");
    if first.starts_with('$') {
        line(stream).expect("a value")
    } else {
        first
    }
}

fn ping(listen: &str) -> String {
    let mut stream = connect(listen);
    stream.write_all(b"*1\r\n$4\r\nPING\r\n").expect("asks");
    line(&mut stream).expect("an answer")
}

/// Bytes that still come, none at the end; a wait that the system interrupts goes on.
fn left(stream: &mut TcpStream) -> usize {
    loop {
        match stream.read(&mut [0]) {
            Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
            read => return read.expect("the end"),
        }
    }
}

/// Guards against a call that is answered wrongly, a ban that a list lifts, and a node that stays out after it.
#[test]
fn staff_take_a_node_out_and_put_it_back_whatever_the_list_says() {
    let rig = rig("bans");
    let (broker, admin) = rig.start();
    let mut client = connect(&broker.listen);
    assert_eq!(ask(&mut client, 1, "page-read"), "value");
    assert!(call(&admin, "OFFLINE s-0000000f").starts_with("400"), "never listed");
    assert!(call(&admin, "OFFLINE").starts_with("400"));
    assert!(call(&admin, "offline s-00000001").starts_with("200"));
    assert!(call(&admin, "OFFLINE s-00000001").starts_with("200"), "said again");
    assert!(call(&admin, "HEALTH").starts_with("400"), "no node that a client could be served by");
    let before = rig.seen();
    rig.discovery.set(&rig.member);
    until("the new list is there", || broker.log().matches("list of nodes kind").count() > 1);
    assert!(ask(&mut client, 2, "page-read").starts_with("-BUSY"));
    assert_eq!(rig.seen(), before, "nothing new went there");
    assert!(call(&admin, "ONLINE s-00000001").starts_with("200"));
    assert!(call(&admin, "HEALTH").starts_with("200"));
    assert_eq!(ask(&mut client, 3, "page-read"), "value", "it is in use at once");
}

/// Guards against stalled callers that keep a real one waiting.
#[test]
fn stalled_callers_do_not_keep_others_waiting() {
    let rig = rig("callers");
    let (_broker, admin) = rig.start();
    let stalled: Vec<TcpStream> = (0..200)
        .map(|_| {
            let mut stream = connect(&admin);
            stream.write_all(b"HEAL").expect("half a call");
            stream
        })
        .collect();
    let start = Instant::now();
    assert!(call(&admin, "HEALTH").starts_with("200"));
    assert!(start.elapsed() < Duration::from_secs(1), "{:?}", start.elapsed());
    drop(stalled);
}

/// Guards against a client that is held on after LEAVE, cut off before its answer, or turned away after JOIN.
#[test]
fn a_broker_is_emptied_and_taken_back() {
    let rig = rig("drain");
    let (broker, admin) = rig.start();
    let mut busy = connect(&broker.listen);
    let mut idle = connect(&broker.listen);
    assert_eq!(ask(&mut idle, 1, "page-read"), "value");
    let half = command(2, "page-read");
    busy.write_all(&half.as_bytes()[..20]).expect("half a request");
    let start = Instant::now();
    assert!(call(&admin, "LEAVE").starts_with("200"));
    assert!(ping(&broker.listen).starts_with("-ERR"));
    assert!(call(&admin, "HEALTH").starts_with("400"));
    busy.write_all(&half.as_bytes()[20..]).expect("the rest");
    assert_eq!(line(&mut busy).expect("an answer"), "$5");
    assert_eq!(line(&mut busy).expect("a value"), "value");
    assert_eq!(left(&mut busy), 0, "closed right after its answer");
    assert_eq!(left(&mut idle), 0);
    assert!(start.elapsed() < Duration::from_secs(4));
    let mut new = connect(&broker.listen);
    assert_eq!(ask(&mut new, 3, "page-read"), "value", "whoever still comes is served");
    assert!(call(&admin, "JOIN").starts_with("200"));
    assert_eq!(ping(&broker.listen), "+PONG");
    assert!(call(&admin, "JOIN").starts_with("200"), "said again");
}

#[test]
fn whoever_comes_late_to_an_emptied_broker_is_refused_and_not_cut() {
    let rig = rig("late-comer");
    let (broker, admin) = rig.start();
    assert_eq!(ask(&mut connect(&broker.listen), 1, "page-read"), "value");
    assert!(call(&admin, "LEAVE").starts_with("200"));
    std::thread::sleep(Duration::from_millis(1_900));
    let mut late = connect(&broker.listen);
    assert!(ask(&mut late, 2, "page-read").starts_with("-BUSY"));
    assert_eq!(left(&mut late), 0, "and is let go after it");
    assert!(call(&admin, "JOIN").starts_with("200"));
    assert_eq!(ask(&mut connect(&broker.listen), 3, "page-read"), "value");
}

/// Guards against half a file that is taken, and a request that loses its class while it is open.
#[test]
fn broken_files_change_nothing_and_good_ones_hold_at_once() {
    let rig = rig("retune");
    let (broker, _admin) = rig.start();
    rig.script.lock().expect("the script").next = vec![Manner::Hang];
    let mut open = connect(&broker.listen);
    open.write_all(command(1, "page-read").as_bytes()).expect("asks");
    until("it is out", || rig.seen() == 1);
    let good = configuration(&settings(&[("scan", "free"), USUAL[1]]), &rig.discovery_at);
    broker.reconfigure(&good);
    until("it is in force", || broker.log().contains("configuration read anew"));
    let mut client = connect(&broker.listen);
    assert_eq!(ask(&mut client, 2, "scan"), "value");
    assert_eq!(ask(&mut client, 3, "page-read"), "-ERR unknown class", "it was dropped");
    let broken = [
        String::new(),
        good[..good.len() / 2].to_string(),
        good.replace("\"deadline_s\":2.0", "\"deadline_s\":0"),
        good.replace("\"deadline_s\":2.0", "\"deadline_s\":\"soon\""),
        good.replace("\"most_tries\":4", "\"most_tries\":0"),
        good.replace("\"most_tries\":4,", ""),
        good.replacen("\"deadline_s\":2.0,", "", 1),
        good.replace("\"effect\":\"free\"", "\"effect\":\"none\""),
        good.replace("\"scan\"", "\"tally-write\""),
        good.replace("\"settings\":", "\"other\":"),
    ];
    for (i, text) in broken.iter().enumerate() {
        assert_ne!(*text, good, "file {i} is broken");
        broker.reconfigure(text);
        until("it is refused", || broker.log().matches("configuration not taken").count() > i);
        assert_eq!(ask(&mut client, 10 + i, "scan"), "value", "after file {i}");
    }
    broker.reconfigure(&configuration(&settings(&USUAL), &rig.discovery_at));
    until("the old classes are back", || broker.log().matches("configuration read anew").count() > 1);
    assert_eq!(ask(&mut client, 30, "page-read"), "value");
    let first = line(&mut open).expect("the request that was open all along has its answer");
    assert!(first.starts_with("-BUSY") || first == "$5", "by the class it was taken under: {first}");
}

/// Guards against a ban that is lost by a new version, a request turned back while two processes run, and an old
/// process that gives up before the new one is there.
#[test]
fn a_new_version_takes_over_with_bans_and_clients() {
    let rig = rig("upgrade");
    let (old, admin) = rig.start();
    let mut client = connect(&old.listen);
    assert_eq!(ask(&mut client, 1, "page-read"), "value");
    assert!(call(&admin, "OFFLINE s-00000001").starts_with("200 out"));
    std::fs::write(rig.folder.join("claywinch-other.handover"), b"junk").expect("a file");
    // Its health says no while its only node is out, so it is only waited for until it answers.
    let (new, new_admin) = {
        let (folder, socket) = (rig.folder.clone(), rig.socket.try_clone().expect("a socket"));
        assert!(call(&admin, "ONLINE s-00000001").starts_with("200"));
        process(&folder, &socket, &rig.discovery_at, 192)
    };
    until("the old one has seen it", || old.log().contains("after=Yielding"));
    assert_eq!(ask(&mut client, 2, "page-read"), "value", "the old one still serves who is there");
    // A call to the old process holds at the new one, too.
    assert!(call(&admin, "OFFLINE s-00000001").starts_with("200"));
    until("the new one knows", || call(&new_admin, "HEALTH").starts_with("400"));
    assert!(call(&new_admin, "ONLINE s-00000001").starts_with("200"));
    until("the old one knows", || call(&admin, "HEALTH").starts_with("200"));
    client.write_all(command(3, "page-read").as_bytes()).expect("asks");
    old.signal("-TERM");
    assert_eq!(line(&mut client).expect("an answer"), "$5");
    assert_eq!(line(&mut client).expect("a value"), "value");
    let mut other = connect(&new.listen);
    assert_eq!(ask(&mut other, 4, "page-read"), "value", "on the same address");
    let mut old = old;
    until("the old one ends by itself", || old.child.try_wait().expect("a process").is_some());
    assert_eq!(ask(&mut other, 5, "tally-write"), "value");
}

/// Guards against an old process that is told to stop the moment the new one says yes, has not read that yet, and
/// closes its clients as if nobody took them: on one day of the bench that turned back dozens of requests.
#[test]
fn one_told_to_stop_at_the_yes_of_the_next_hands_over() {
    for _ in 0..5 {
        let rig = rig("at-once");
        let (mut old, _) = rig.start();
        let (new, _) = rig.start();
        old.signal("-TERM");
        until("the old one ends", || old.child.try_wait().expect("a process").is_some());
        assert!(new.log().contains("after=HandingOver") && !new.log().contains("after=Stopping"));
        drop((old, new));
    }
}

/// Asks for a volume with a limit as fast as answers come until told to stop.
fn press(listen: &str, first: usize, stop: &Arc<AtomicBool>) -> JoinHandle<()> {
    let (mut client, listen, stop) = (connect(listen), listen.to_string(), stop.clone());
    std::thread::spawn(move || {
        for id in first.. {
            if stop.load(Relaxed) {
                return;
            }
            let text = command(id, "page-read").replace("t=standard", "t=confined");
            // The old process closes its clients when it ends.
            let asked = client.write_all(text.as_bytes()).and_then(|()| line(&mut client));
            let value = |head: String| if head.starts_with('$') { line(&mut client) } else { Ok(head) };
            if asked.and_then(value).is_err() {
                // The process that had it stood still or has ended.
                client = connect(&listen);
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    })
}

/// Guards against a limit that both processes of a broker spend: one starts while the other serves, the old one
/// stands still meanwhile and wakes, and in the end it is gone.
#[test]
fn two_processes_of_a_broker_keep_one_limit() {
    let rig = rig("limit");
    let (mut old, _) = rig.start();
    let stop = Arc::new(AtomicBool::new(false));
    let (start, script, done) = (Instant::now(), rig.script.clone(), stop.clone());
    let meter = std::thread::spawn(move || {
        let (mut store, mut least, mut at, mut seen) = (LIMIT, LIMIT, Instant::now(), 0);
        while !done.load(Relaxed) {
            std::thread::sleep(Duration::from_millis(10));
            let (now, all) = (Instant::now(), script.lock().expect("the script").seen);
            store = (store + (now - at).as_secs_f64() * LIMIT).min(LIMIT) - 2.0 * (all - seen) as f64;
            (least, at, seen) = (least.min(store), now, all);
        }
        least
    });
    let mut clients: Vec<_> = (0..3).map(|i| press(&old.listen, 1_000_000 * (i + 1), &stop)).collect();
    until("the store was used up", || start.elapsed() > Duration::from_millis(1500));
    let (new, _) = rig.start();
    clients.extend((4..7).map(|i| press(&new.listen, 1_000_000 * i, &stop)));
    std::thread::sleep(Duration::from_secs(1));
    old.signal("-STOP");
    std::thread::sleep(Duration::from_secs(2));
    old.signal("-CONT");
    std::thread::sleep(Duration::from_millis(500));
    old.signal("-TERM");
    until("the old one ends", || old.child.try_wait().expect("a process").is_some());
    until("all of the limit is the new one's", || new.log().matches("part of the limits part=1").count() > 1);
    let (before, alone) = (rig.seen(), Instant::now());
    std::thread::sleep(Duration::from_secs(1));
    let rate = 2.0 * (rig.seen() - before) as f64 / alone.elapsed().as_secs_f64();
    stop.store(true, Relaxed);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    let least = meter.join().expect("the meter");
    assert!(least >= -SLACK - 0.15 * LIMIT, "the limit's store went down to {least}");
    assert!(rate > 0.6 * LIMIT, "alone it sends {rate} units a second");
}

/// Guards the memory against many clients with large values that they write and read slowly.
#[test]
fn slow_clients_with_large_values_stay_within_the_memory() {
    const MB: usize = 32;
    let rig = rig("large");
    let (broker, _admin) = process(&rig.folder, &rig.socket, &rig.discovery_at, MB);
    let fields = "c=tally-write,t=standard,d=4000,volume=00000003b4d60021,units=2,shard=0,hosts=1";
    let length = 4 << 20;
    let mut clients: Vec<TcpStream> = (0..64)
        .map(|id| {
            let mut stream = connect(&broker.listen);
            let head = format!(
                "*5\r\n$7\r\nOBJ.PUT\r\n$16\r\n7f3a9c21e0b4d655\r\n$16\r\n{id:016x}\r\n${}\r\n{fields}\r\n${length}\r\n",
                fields.len()
            );
            stream.write_all(head.as_bytes()).expect("a head");
            stream.set_nonblocking(true).expect("no waiting");
            stream
        })
        .collect();
    let block = vec![b'x'; 128 * 1024];
    for _ in 0..8 {
        for client in &mut clients {
            // A client that is not read from waits; one that was answered is done.
            let _ = client.write(&block);
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let status = std::fs::read_to_string(format!("/proc/{}/status", broker.child.id())).expect("a status");
    let peak = status.lines().find(|l| l.starts_with("VmHWM")).expect("a peak");
    let kb: usize = peak.split_whitespace().nth(1).and_then(|n| n.parse().ok()).expect("a number");
    assert!(kb < MB * 1024, "{kb} kB");
    drop(clients);
    let mut client = connect(&broker.listen);
    assert_eq!(ask(&mut client, 999, "page-read"), "value", "small requests are served");
}

/// Guards against a write that runs at both processes of an upgrade: its client left the one, and its id comes to the other.
#[test]
fn an_id_whose_client_left_is_not_taken_by_the_next_process() {
    let rig = rig("ids");
    let (old, _) = rig.start();
    assert_eq!(ask(&mut connect(&old.listen), 1, "page-read"), "value");
    rig.script.lock().expect("the script").next = vec![Manner::Hang];
    let before = rig.seen();
    let mut client = connect(&old.listen);
    client.write_all(command(2, "tally-write").as_bytes()).expect("asks");
    until("the write is out", || rig.seen() > before);
    drop(client);
    let (new, _) = rig.start();
    std::thread::sleep(Duration::from_secs(1));
    let answer = ask(&mut connect(&new.listen), 2, "tally-write");
    assert!(answer.starts_with("-ERR id"), "{answer}");
    assert_eq!(rig.seen(), before + 1, "it ran once at most");
}
