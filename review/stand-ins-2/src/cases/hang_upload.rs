//! Clients that each write a long value for a disk node that hangs: its process is stopped.

use super::one_broker;
use crate::process::{free_address, signal, until, Folder, Process};
use crate::record::Record;
use crate::resp::{put, Answer, Client};
use crate::{Context, Verdict};
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

/// Bytes of the values, in KiB, up to the most that the pages name.
const KIB: [usize; 3] = [1_024, 2_048, 4_096];
/// How long a client waits for the answer, from the last byte on.
const WAIT_MS: u64 = 1_200;
/// Up to half a second after its time an answer only earns nothing, and every time limit is 50 ms longer.
const LATE: Duration = Duration::from_millis(550);
/// How long the disk node hangs at most.
const HANG: Duration = Duration::from_secs(14);

/// What a client saw of its write.
struct Seen {
    kib: usize,
    /// How long it took to write all of it.
    written: Duration,
    /// The answer, and how long after the last byte it came.
    answer: String,
    after: Duration,
}

pub fn play(context: &Context) -> Result<Verdict, String> {
    let record = &context.record;
    let folder = Folder::create("hang-upload")?;
    let address = free_address()?;
    let log = folder.path().join("node.log");
    let own = std::env::current_exe().map_err(|error| error.to_string())?;
    let node = Process::start(Command::new(own).args(["resp-node", &address]).arg(&log))?;
    if !until(Duration::from_secs(5), || std::net::TcpStream::connect(&address).is_ok()) {
        return Err("the disk node does not listen".to_string());
    }
    let broker = one_broker(context, &folder, &address, 192)?;
    if context.trouble {
        signal(node.id(), "STOP");
        record.note(format!("the disk node of shard 0 (process {}) is stopped: it hangs", node.id()));
    }
    let hung = Instant::now();
    let clients: Vec<_> = KIB
        .map(|kib| {
            let (address, record) = (broker.listen.clone(), record.clone());
            thread::spawn(move || client(&address, kib, &record))
        })
        .into_iter()
        .collect();
    let mut broken = Vec::new();
    for client in clients {
        let seen = client.join().map_err(|_| "a client failed".to_string())??;
        let due = Duration::from_millis(WAIT_MS) + LATE;
        if seen.after > due {
            broken.push(format!(
                "{} KiB: written whole after {} ms, answered {} ms after that ({})",
                seen.kib,
                seen.written.as_millis(),
                seen.after.as_millis(),
                seen.answer
            ));
        }
    }
    signal(node.id(), "CONT");
    record.note(format!("the disk node goes on, after {} ms", hung.elapsed().as_millis()));
    thread::sleep(Duration::from_millis(500));
    let ran = std::fs::read_to_string(&log).unwrap_or_default();
    ran.lines().for_each(|line| record.note(format!("log of the disk node: {line}")));
    broker.note_log(record, "n3", &["rule broken", "WARN", "ERROR"]);
    Ok(match broken.is_empty() {
        true => Verdict::Held,
        false => {
            Verdict::Broken(format!("writes were taken and had no answer in time: {}", broken.join("; ")))
        }
    })
}

fn client(address: &str, kib: usize, record: &Record) -> Result<Seen, String> {
    let mut client = Client::connect(address)?;
    let id = format!("write{kib}");
    let bytes = put(kib as u64, &id, "tally-write", WAIT_MS, &vec![b'x'; kib * 1024]);
    let begun = Instant::now();
    client.send(&bytes)?;
    let sent = Instant::now();
    let written = sent.duration_since(begun);
    record.note(format!("client has written {id} whole, {} ms after it began", written.as_millis()));
    let answer = client.answer(begun + HANG);
    let after = answer.last.duration_since(sent);
    let text = match &answer.answer {
        Answer::Value(length, _) => format!("a value of {length} bytes"),
        Answer::Line(line) => line.clone(),
        other => format!("{other:?}"),
    };
    record.note(format!("client got for {id}: {text}, {} ms after its last byte", after.as_millis()));
    Ok(Seen { kib, written, answer: text, after })
}
