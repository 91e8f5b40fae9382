//! Broker processes that replicate the NBD configuration over real sockets.

mod common;

use common::net::*;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const SETTINGS: &str = r#"{"balancers":1,"bounds":{"most_tries":4,"second_copies":false,"cancel":true,"probes":false,
    "retry_after":false},"contracts":[{"name":"p","base_rate":5.0,"parts":1.0,"price":1.0}],
    "extra":{"usual_units":2.0,"largest":8,"fair_worth":0.4,"spare_worth":0.05},"localities":["a"],
    "registry_mode":"on_request","rules":{"start_capacity":0.15,"cold_s":10.0,"tip_after_s":2.0},
    "services":[{"name":"c","promise_s":0.5,"credit":2.0,"late_worth":0.2,"effect":"free","group":"all"}]}"#;

/// Most descriptors of a broker.
const FILES: u32 = 256;
/// Longer than a pending change waits until it is proposed again, several times.
const REPEATS: Duration = Duration::from_secs(5);

/// Returns the configuration file of one of three peers, with this many nodes in the shared part.
fn file(own: usize, peers: &[String], kept: &std::path::Path, nodes: usize) -> String {
    let mut text = format!("own_peer = {own}\nkept = {:?}\n", kept.join(format!("{own}.log")));
    for (i, address) in peers.iter().enumerate() {
        text += &format!("[[peer]]\nid = {}\naddress = \"{address}\"\n", i + 1);
    }
    text += "[[class]]\nname = \"c\"\nwanted_ms = 200\ndeadline_ms = 900\nworth = 1.0\nrepeat = \"safe\"\n";
    text += "[[plan]]\nname = \"p\"\nrate = 5.0\nreserve = 4.0\n";
    for node in 0..nodes {
        text += &format!("[[node]]\nid = \"d-0000000{node}\"\naddress = \"127.0.0.1:9\"\nshard = {node}\n");
    }
    text
}

fn in_force(broker: &Broker, nodes: usize) -> bool {
    broker.log().contains(&format!("configuration in force exports=0 nodes={nodes}"))
}

/// Guards against peers that serve by different configurations, and against a restarted peer that loses its log.
#[test]
fn a_configuration_read_by_one_peer_is_in_force_at_all_of_them() {
    let kept = std::env::temp_dir().join(format!("claywinch-peers-{}", std::process::id()));
    std::fs::create_dir_all(&kept).unwrap();
    let peers: Vec<String> = (0..3).map(|_| free_address()).collect();
    let (_discovery, discovery) = Discovery::start("");
    let start = |own: usize, nodes: usize| {
        Broker::start(&format!("peer{own}"), SETTINGS, &discovery, Some(&file(own, &peers, &kept, nodes)))
    };
    let mut brokers: Vec<Broker> = (1..=3).map(|own| start(own, 1)).collect();
    until("the first configuration", || brokers.iter().all(|b| in_force(b, 1)));
    brokers[1].reload(&file(2, &peers, &kept, 2));
    until("the second configuration", || brokers.iter().all(|b| in_force(b, 2)));
    drop(brokers.remove(0));
    brokers[0].reload(&file(2, &peers, &kept, 3));
    until("the third configuration, with two of three peers", || brokers.iter().all(|b| in_force(b, 3)));
    // The stopped peer restarts with its old configuration file and receives what was committed without it.
    brokers.push(start(1, 1));
    until("the restarted peer catches up", || in_force(&brokers[2], 3));
    assert!(!brokers[0].log().contains("no longer takes part"));
    std::fs::remove_dir_all(kept).unwrap();
}

/// Returns how often a configuration with this many nodes came into force.
fn times_in_force(broker: &Broker, nodes: usize) -> usize {
    broker.log().matches(&format!("configuration in force exports=0 nodes={nodes}")).count()
}

/// Guards against a SIGHUP for the settings that proposes an NBD file of before a change at another peer, and so undoes it.
#[test]
fn a_file_that_was_not_written_since_it_was_read_is_not_proposed() {
    let kept = std::env::temp_dir().join(format!("claywinch-peers-untouched-{}", std::process::id()));
    std::fs::create_dir_all(&kept).unwrap();
    let peers: Vec<String> = (0..3).map(|_| free_address()).collect();
    let (_discovery, discovery) = Discovery::start("");
    let text = |own: usize, nodes: usize| file(own, &peers, &kept, nodes);
    let start = |own: usize| {
        Broker::start(&format!("peer-untouched-{own}"), SETTINGS, &discovery, Some(&text(own, 1)))
    };
    let brokers: Vec<Broker> = (1..=3).map(start).collect();
    until("the first configuration", || brokers.iter().all(|b| in_force(b, 1)));
    brokers[1].reload(&text(2, 2));
    until("the second configuration", || brokers.iter().all(|b| in_force(b, 2)));
    brokers[0].reconfigure(&configuration(SETTINGS, &discovery));
    until("the settings are read", || brokers[0].log().contains("configuration read anew"));
    thread::sleep(REPEATS);
    assert!(brokers.iter().all(|b| times_in_force(b, 1) == 1), "the second one stays in force");
    // The same file, written again, is a change.
    brokers[0].reload(&text(1, 1));
    until("the first one again", || brokers.iter().all(|b| times_in_force(b, 1) == 2));
    drop(brokers);
    std::fs::remove_dir_all(kept).unwrap();
}

/// Starts a proxy before an address. While it is cut, its connections stay open and carry nothing; they end with the cut.
fn start_proxy(before: String, cut: Arc<AtomicBool>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let Ok(server) = TcpStream::connect(&before) else { continue };
            for (from, to) in [(&client, &server), (&server, &client)] {
                let (from, to) = (from.try_clone().expect("a socket"), to.try_clone().expect("a socket"));
                let cut = cut.clone();
                thread::spawn(move || pump(from, to, &cut));
            }
        }
    });
    address
}

fn pump(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let _ = from.set_read_timeout(Some(Duration::from_millis(10)));
    let (mut buffer, mut was_cut) = ([0; 4096], false);
    loop {
        let is_cut = cut.load(Ordering::SeqCst);
        if was_cut && !is_cut {
            break;
        }
        let read = from.read(&mut buffer);
        was_cut |= is_cut || cut.load(Ordering::SeqCst);
        match read {
            Ok(0) => break,
            Ok(_) if was_cut => {}
            Ok(n) if to.write_all(&buffer[..n]).is_err() => break,
            Err(error) if !is_timeout(&error) => break,
            _ => {}
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut)
}

fn call(admin: &str, text: &str) -> String {
    let mut stream = connect(admin);
    stream.write_all(format!("{text}\r\n").as_bytes()).expect("a call");
    line(&mut stream).expect("an answer")
}

/// Guards against a change that one peer read while it was cut off and that undoes, after the cut, what the others agreed on,
/// and against an operator who is not told.
#[test]
fn a_change_read_while_cut_off_does_not_undo_a_later_one() {
    let kept = std::env::temp_dir().join(format!("claywinch-peers-cut-{}", std::process::id()));
    std::fs::create_dir_all(&kept).unwrap();
    let direct: Vec<String> = (0..3).map(|_| free_address()).collect();
    let cut = Arc::new(AtomicBool::new(false));
    let proxied: Vec<String> = direct.iter().map(|peer| start_proxy(peer.clone(), cut.clone())).collect();
    let (_discovery, discovery) = Discovery::start("");
    let text = |own: usize, nodes: usize| {
        let address = |peer: usize| {
            if (own == 3) == (peer == 2) {
                direct[peer].clone()
            } else {
                proxied[peer].clone()
            }
        };
        file(own, &(0..3).map(address).collect::<Vec<_>>(), &kept, nodes)
    };
    let admin = free_address();
    let start = |own: usize| {
        let variables: &[(&str, &str)] = if own == 3 { &[("RELAY_ADMIN", &admin)] } else { &[] };
        let name = format!("peer-cut-{own}");
        Broker::start_with(&name, SETTINGS, &discovery, Some(&text(own, 1)), FILES, variables)
    };
    let mut brokers: Vec<Broker> = (1..=3).map(start).collect();
    until("the first configuration", || brokers.iter().all(|b| in_force(b, 1)));
    cut.store(true, Ordering::SeqCst);
    brokers[2].reload(&text(3, 2));
    until("it is told to wait", || call(&admin, "STATUS").contains("\"pending\":0"));
    brokers[0].reload(&text(1, 3));
    until("the later change, with two of three peers", || brokers[..2].iter().all(|b| in_force(b, 3)));
    cut.store(false, Ordering::SeqCst);
    until("it reaches the third", || in_force(&brokers[2], 3));
    thread::sleep(REPEATS);
    assert!(!brokers.iter().any(|b| in_force(b, 2)), "the earlier change stays out of force");
    assert!(brokers[2].log().contains("gave way"));
    let status = call(&admin, "STATUS");
    assert!(status.contains("\"pending\":null") && status.contains("\"gave_way\""), "{status}");
    brokers[2].reload(&text(3, 4));
    until("its next change", || brokers.iter().all(|b| in_force(b, 4)));
    // A change that is pending when its broker is killed comes into force once the broker is back.
    cut.store(true, Ordering::SeqCst);
    brokers[2].reload(&text(3, 5));
    until("it waits", || !call(&admin, "STATUS").contains("\"pending\":null"));
    drop(brokers.pop());
    cut.store(false, Ordering::SeqCst);
    brokers.push(start(3));
    until("the change that was kept", || brokers.iter().all(|b| in_force(b, 5)));
    drop(brokers);
    std::fs::remove_dir_all(kept).unwrap();
}
