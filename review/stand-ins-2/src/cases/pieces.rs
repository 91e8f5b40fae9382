//! Clients that each send two reads at once: of a long value and of a small one. Disk nodes give the long values in small
//! pieces. The platform watches the broker's memory.

use super::one_broker;
use crate::process::{resident_kb, signal, Folder};
use crate::resp::{get, node, served, Answer, Client};
use crate::{Context, Verdict};
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Bytes of a long value: the most that the pages name.
const LONG: usize = 4 * 1024 * 1024;
/// Bytes of a piece, as a network with packets of 1,500 bytes cuts it, and how long the whole value takes.
const PIECE: usize = 512;
const TRANSFER: Duration = Duration::from_millis(3_500);
/// Bytes of a piece where nothing cuts it.
const WHOLE_PIECE: usize = 64 * 1024;
/// Memory of the broker, in MiB: the pages name 32 to 192.
const MEMORY_MB: u32 = 64;
/// Clients at once.
const CLIENTS: usize = 4;
/// How long a client waits for an answer.
const WAIT_MS: u64 = 4_000;
/// Pieces of data below this have a small value.
const FIRST_LONG: u64 = 1_000;
/// How often the platform looks at the broker's memory.
const LOOK: Duration = Duration::from_millis(20);

pub fn play(context: &Context) -> Result<Verdict, String> {
    let record = &context.record;
    let (trouble, noted) = (context.trouble, record.clone());
    let disk = node(move |asked, out| {
        if u64::from_str_radix(&asked.piece, 16).is_ok_and(|piece| piece < FIRST_LONG) {
            return out.write_all(&served(b"small")).is_ok();
        }
        noted.note(format!("node runs {} {} of piece {}", asked.verb, asked.id, asked.piece));
        let begun = Instant::now();
        let answer = served(&vec![b'x'; LONG]);
        let size = if trouble { PIECE } else { WHOLE_PIECE };
        let pieces = answer.len().div_ceil(size) as u32;
        for (number, piece) in (1..).zip(answer.chunks(size)) {
            if out.write_all(piece).is_err() {
                return false;
            }
            let at = TRANSFER * number / pieces;
            thread::sleep(at.saturating_sub(begun.elapsed()));
        }
        noted.note(format!("node has given all for {}", asked.id));
        true
    })?;
    let folder = Folder::create("pieces")?;
    let mut broker = one_broker(context, &folder, &disk, MEMORY_MB)?;
    let id = broker.process.id();
    record.note(format!("the broker holds {} KiB before", resident_kb(id).ok_or("no figure of its memory")?));

    let over = Arc::new(AtomicBool::new(false));
    let stop = Arc::new(AtomicBool::new(false));
    let platform = {
        let (over, stop, record) = (over.clone(), stop.clone(), record.clone());
        thread::spawn(move || {
            let (mut most, mut told) = (0, Instant::now());
            while !stop.load(Ordering::SeqCst) {
                let held = resident_kb(id).unwrap_or(0);
                most = held.max(most);
                if told.elapsed() > Duration::from_millis(500) {
                    told = Instant::now();
                    record.note(format!("the broker holds {held} KiB"));
                }
                if held > u64::from(MEMORY_MB) * 1024 {
                    record.note(format!(
                        "the broker holds {held} KiB, more than {MEMORY_MB} MiB: the platform kills it"
                    ));
                    over.store(true, Ordering::SeqCst);
                    signal(id, "KILL");
                    break;
                }
                thread::sleep(LOOK);
            }
            most
        })
    };
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (address, record) = (broker.listen.clone(), record.clone());
            thread::spawn(move || client(&address, number, &record))
        })
        .collect();
    for client in clients {
        client.join().map_err(|_| "a client failed".to_string())??;
    }
    stop.store(true, Ordering::SeqCst);
    let most = platform.join().map_err(|_| "the platform failed".to_string())?;
    record.note(format!("the broker held {most} KiB at most"));
    if !over.load(Ordering::SeqCst) && !broker.process.is_running() {
        return Ok(Verdict::Broken("the broker has ended by itself".to_string()));
    }
    Ok(match over.load(Ordering::SeqCst) {
        false => Verdict::Held,
        true => Verdict::Broken(format!("the broker took {most} KiB, over its limit of {MEMORY_MB} MiB")),
    })
}

/// Sends both reads at once, and reads what comes.
fn client(address: &str, number: usize, record: &crate::record::Record) -> Result<(), String> {
    let mut client = Client::connect(address)?;
    let mut bytes = get(FIRST_LONG + number as u64, &format!("c{number}-long"), "export-read", WAIT_MS);
    bytes.extend(get(2, &format!("c{number}-small"), "export-read", WAIT_MS));
    client.send(&bytes)?;
    record.note(format!("client sent c{number}-long and c{number}-small at once"));
    let end = Instant::now() + Duration::from_secs(10);
    for what in ["long", "small"] {
        let answer = match client.answer(end).answer {
            Answer::Value(length, _) => format!("a value of {length} bytes"),
            other => format!("{other:?}"),
        };
        record.note(format!("client got for c{number}-{what}: {answer}"));
    }
    Ok(())
}
