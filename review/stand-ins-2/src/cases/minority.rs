//! Three brokers agree on the NBD file. One of them is cut off from its peers while the others agree that a disk node
//! drains: it goes on sending there.

use super::NBD_TERMS;
use crate::discovery::Discovery;
use crate::nbd::{node, Client, Disk, Reply, BLOCK, READ, WRITE};
use crate::process::{call, free_address, settings, signal, until, Broker, Folder, Setup};
use crate::{Context, Verdict};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SIZE: usize = 1 << 20;
/// How long the peers are cut off from each other.
const CUT: Duration = Duration::from_secs(40);
/// The grace of 250 ms, 6 s after which a change counts as told at the latest, and 50 ms.
const GRACE: Duration = Duration::from_millis(6_300);

/// A disk that notes when it was asked for what.
pub struct Noted {
    bytes: Mutex<Vec<u8>>,
    pub asked: Mutex<Vec<(Instant, &'static str, u8)>>,
}

impl Noted {
    pub fn empty() -> Arc<Noted> {
        Arc::new(Noted { bytes: Mutex::new(vec![0; SIZE]), asked: Mutex::default() })
    }

    fn note(&self, what: &'static str, mark: u8) {
        self.asked.lock().expect("a list").push((Instant::now(), what, mark));
    }
}

impl Disk for Noted {
    fn size(&self) -> u64 {
        SIZE as u64
    }

    fn read(&self, offset: u64, length: usize) -> Vec<u8> {
        self.note("read", 0);
        self.bytes.lock().expect("bytes")[offset as usize..offset as usize + length].to_vec()
    }

    fn write(&self, offset: u64, data: &[u8], _: bool) {
        self.note("write", data[0]);
        self.bytes.lock().expect("bytes")[offset as usize..offset as usize + data.len()]
            .copy_from_slice(data);
    }

    fn flush(&self) {
        self.note("flush", 0);
    }
}

/// A proxy before an address. While it is cut, its connections stay open and carry nothing.
fn proxy(before: String, cut: Arc<AtomicBool>) -> Result<String, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?.to_string();
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let Ok(server) = TcpStream::connect(&before) else { continue };
            for (from, to) in [(&client, &server), (&server, &client)] {
                let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
                let cut = cut.clone();
                thread::spawn(move || pump(from, to, &cut));
            }
        }
    });
    Ok(address)
}

/// Carries bytes on. While it is cut, it reads nothing.
fn pump(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let _ = from.set_read_timeout(Some(Duration::from_millis(10)));
    let mut buffer = [0; 4096];
    loop {
        if cut.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(10));
            continue;
        }
        match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(n) => {
                if to.write_all(&buffer[..n]).is_err() {
                    break;
                }
            }
            Err(error) if [ErrorKind::WouldBlock, ErrorKind::TimedOut].contains(&error.kind()) => {}
            Err(_) => break,
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
}

pub fn play(context: &Context) -> Result<Verdict, String> {
    let record = &context.record;
    let folder = Folder::create("minority")?;
    let (old, new) = (Noted::empty(), Noted::empty());
    let (old_address, new_address) = (node(old.clone())?, node(new.clone())?);
    let addresses: Vec<String> = (0..3).map(|_| free_address()).collect::<Result<_, _>>()?;
    let cut = Arc::new(AtomicBool::new(false));
    // The third peer and the others reach each other through proxies.
    let to_third = proxy(addresses[2].clone(), cut.clone())?;
    let from_third = [proxy(addresses[0].clone(), cut.clone())?, proxy(addresses[1].clone(), cut.clone())?];
    let listens: Vec<String> = (0..3).map(|_| free_address()).collect::<Result<_, _>>()?;
    let file = |own: usize, draining: bool| {
        let address = |peer: usize| match (own, peer) {
            (2, 2) => addresses[2].clone(),
            (2, other) => from_third[other].clone(),
            (_, 2) => to_third.clone(),
            (_, other) => addresses[other].clone(),
        };
        let peers: String = (0..3)
            .map(|peer| format!("[[peer]]\nid = {}\naddress = \"{}\"\n", peer + 1, address(peer)))
            .collect();
        // The new node takes the place of the old one: it holds the same shard.
        let old_node = |state: &str| {
            format!("[[node]]\nid = \"d-00000001\"\naddress = \"{old_address}\"\nshard = 0\nstate = \"{state}\"\n")
        };
        let nodes = match draining {
            false => old_node("ready"),
            true => {
                old_node("draining")
                    + &format!("[[node]]\nid = \"d-00000002\"\naddress = \"{new_address}\"\nshard = 0\n")
            }
        };
        format!(
            "listen = \"{}\"\nbrokers = 3\nown_peer = {}\nkept = {:?}\n{NBD_TERMS}\n{nodes}\n{peers}",
            listens[own],
            own + 1,
            folder.path().join(format!("peer{}.log", own + 1))
        )
    };
    let discovery = Discovery::start(&[])?;
    let admins: Vec<String> = (0..3).map(|_| free_address()).collect::<Result<_, _>>()?;
    let mut brokers = Vec::new();
    for (own, admin) in admins.iter().enumerate() {
        let setup = Setup {
            name: &format!("n{}", own + 1),
            settings: settings(3, own as u32),
            discovery: &discovery.address,
            memory_mb: 192,
            nbd: Some(folder.write(&format!("nbd{}.toml", own + 1), &file(own, false))?),
            admin: Some(admin.clone()),
        };
        brokers.push(Broker::start(&folder, &setup, record)?);
    }
    let agreed = |broker: &Broker, nodes: usize| {
        broker.log_text().contains(&format!("configuration in force exports=1 nodes={nodes}"))
    };
    if !until(Duration::from_secs(15), || brokers.iter().all(|broker| agreed(broker, 1))) {
        return Err("the first configuration did not come into force".to_string());
    }
    let mut client = Client::connect(&listens[2], "tallies")?;
    let write = |client: &mut Client, mark: u8| client.ask(WRITE, 0, BLOCK, &[mark; BLOCK]);
    record.note(format!("write 1 through n3: {}", word(&write(&mut client, 1)?)));

    if context.trouble {
        cut.store(true, Ordering::SeqCst);
        record.note("n3 is cut off from n1 and n2: their connections stay open and carry nothing");
    }
    thread::sleep(Duration::from_secs(2));
    folder.write("nbd1.toml", &file(0, true))?;
    signal(brokers[0].process.id(), "HUP");
    record.note("n1 is told by SIGHUP that d-00000001 drains and d-00000002 takes its place");
    if !until(Duration::from_secs(30), || brokers[..2].iter().all(|broker| agreed(broker, 2))) {
        return Err("the change did not come into force at n1 and n2".to_string());
    }
    let told = Instant::now();
    for (own, admin) in admins.iter().enumerate() {
        record.note(format!("STATUS at n{}: {}", own + 1, call(admin, "STATUS")?));
    }
    // A client of n1 writes and reads: from here on the data stands at the new node.
    let mut other = Client::connect(&listens[0], "tallies")?;
    record.note(format!("write 2 through n1: {}", word(&write(&mut other, 2)?)));

    let mut broken = Vec::new();
    let mut number = 0;
    while told.elapsed() < CUT {
        number += 1;
        let mark = 100 + number % 100;
        let wrote = write(&mut client, mark)?;
        let read = client.ask(READ, 0, BLOCK, &[])?;
        record.note(format!("through n3: write {mark}: {}; read: {}", word(&wrote), word(&read)));
        thread::sleep(Duration::from_secs(2));
    }
    for (at, what, mark) in old.asked.lock().map_err(|_| "the node failed")?.iter() {
        let after = at.checked_duration_since(told).unwrap_or_default();
        if *at > told {
            record.note(format!(
                "d-00000001, which drains, ran a {what} of {mark}, {} ms after",
                after.as_millis()
            ));
        }
        if after > GRACE {
            broken.push(after.as_millis());
        }
    }
    cut.store(false, Ordering::SeqCst);
    let Reply::Done(bytes) = other.ask(READ, 0, BLOCK, &[])? else {
        return Err("n1 serves nothing".to_string());
    };
    record.note(format!("read through n1 at the end: the block holds {}", bytes[0]));
    for (own, broker) in brokers.iter().enumerate() {
        broker.note_log(record, &format!("n{}", own + 1), &["configuration", "rule broken", "ERROR"]);
    }
    Ok(match broken.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken(format!(
            "{} requests were sent to a draining node later than 6.3 s after the drain was agreed on, the last after {} ms",
            broken.len(),
            broken.iter().max().unwrap_or(&0)
        )),
    })
}

pub fn word(reply: &Reply) -> String {
    match reply {
        Reply::Done(bytes) if bytes.is_empty() => "acknowledged".to_string(),
        Reply::Done(bytes) => format!("it holds {}", bytes[0]),
        Reply::Error(errno) => format!("error {errno}"),
    }
}
