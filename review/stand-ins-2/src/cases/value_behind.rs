//! Clients that each send two reads at once: of a long value and of a small one. All long values together are more than the
//! broker has memory for, and the connections on which disk nodes give them are reset.

use super::one_broker;
use crate::process::Folder;
use crate::resp::{get, node, served, Answer, Client};
use crate::{Context, Verdict};
use std::collections::BTreeSet;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Bytes of a long value: the most that the pages name.
const LONG: usize = 4 * 1024 * 1024;
/// Bytes that the disk node gives at once, and the wait between two pieces: 3.2 s for a value.
const PIECE: usize = 64 * 1024;
const PAUSE: Duration = Duration::from_millis(50);
/// Memory of the broker, in MiB.
const MEMORY_MB: u32 = 64;
/// Clients: together they read 56 MiB.
const CLIENTS: usize = 14;
/// How long a client waits for an answer.
const WAIT_MS: u64 = 4_000;
/// When a connection that gives a long value is reset.
const RESET_AFTER: Duration = Duration::from_millis(1_500);
/// Pieces of data below this have a small value.
const FIRST_LONG: u64 = 1_000;

pub fn play(context: &Context) -> Result<Verdict, String> {
    let record = &context.record;
    let (trouble, noted) = (context.trouble, record.clone());
    // A read may be repeated: each long one is cut off at its first attempt only.
    let cut = Arc::new(Mutex::new(BTreeSet::new()));
    let disk = node(move |asked, out| {
        noted.note(format!("node runs {} {} of piece {}", asked.verb, asked.id, asked.piece));
        if u64::from_str_radix(&asked.piece, 16).is_ok_and(|piece| piece < FIRST_LONG) {
            return out.write_all(&served(b"small")).is_ok();
        }
        let begun = Instant::now();
        for piece in served(&vec![b'x'; LONG]).chunks(PIECE) {
            if trouble && begun.elapsed() >= RESET_AFTER {
                cut.lock().expect("a set").insert(asked.id.clone());
                noted.note(format!("node ends the connection under {}", asked.id));
                return false;
            }
            if out.write_all(piece).is_err() {
                return false;
            }
            thread::sleep(PAUSE);
        }
        noted.note(format!("node has given all for {}", asked.id));
        true
    })?;
    let folder = Folder::create("value-behind")?;
    let broker = one_broker(context, &folder, &disk, MEMORY_MB)?;
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let (address, record) = (broker.listen.clone(), record.clone());
        clients.push(thread::spawn(move || client(&address, number, &record)));
    }
    let mut lost = Vec::new();
    for client in clients {
        lost.extend(client.join().map_err(|_| "a client failed".to_string())??);
    }
    broker.note_log(record, "n3", &["rule broken", "WARN", "ERROR"]);
    Ok(match lost.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken(format!("{} reads were taken and never answered: {lost:?}", lost.len())),
    })
}

/// Sends both reads at once; returns the small one's id if it was lost.
fn client(address: &str, number: usize, record: &crate::record::Record) -> Result<Option<String>, String> {
    let (long, small) = (format!("c{number}-long"), format!("c{number}-small"));
    let mut client = Client::connect(address)?;
    let mut bytes = get(FIRST_LONG + number as u64, &long, "export-read", WAIT_MS);
    bytes.extend(get(2, &small, "export-read", WAIT_MS));
    client.send(&bytes)?;
    let sent = Instant::now();
    record.note(format!("client sent {long} and {small} at once"));
    let end = sent + Duration::from_secs(15);
    let first = client.answer(end);
    record.note(format!("client got for {long}: {}", short(&first.answer)));
    let second = client.answer(end);
    record.note(format!("client got for {small}: {}", short(&second.answer)));
    // A value that began and could not be finished has failed, and is not lost; the read behind it was taken as well.
    Ok(matches!(second.answer, Answer::Closed | Answer::Nothing).then_some(small))
}

fn short(answer: &Answer) -> String {
    match answer {
        Answer::Value(length, _) => format!("a value of {length} bytes"),
        Answer::Line(line) => line.clone(),
        Answer::Cut(length, came) => format!("{came} of {length} bytes, then the end of the connection"),
        Answer::Closed => "the end of the connection, and no answer".to_string(),
        Answer::Nothing => "nothing".to_string(),
    }
}
