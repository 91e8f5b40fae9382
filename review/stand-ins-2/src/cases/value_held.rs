//! Two reads that one client sends at once on a connection: the first is of a long value, which its disk node gives slowly.

use super::one_broker;
use crate::process::{Broker, Folder};
use crate::resp::{get, node, served, Answer, Client};
use crate::{Context, Verdict};
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Bytes of the long value: the most that the pages name.
const LONG: usize = 4 * 1024 * 1024;
/// Bytes that the disk node gives at once, and how many pieces that makes.
const PIECE: usize = 64 * 1024;
/// Wait between two pieces, where the disk node is slow: 7 s for the whole value.
const PAUSE: Duration = Duration::from_millis(110);
/// How long the client waits for an answer to either read.
const WAIT_MS: u64 = 4_000;
/// Up to half a second after its time an answer only earns nothing, and every time limit is 50 ms longer.
const LATE: Duration = Duration::from_millis(550);
/// What a broker may hold back for so long is lost.
const HELD_BACK: Duration = Duration::from_millis(2_050);
/// The piece of data with the long value.
const LONG_PIECE: u64 = 1;

/// Times at which a disk node had given its first piece of a long value, by request id.
type Given = Arc<Mutex<Vec<(String, Instant)>>>;

pub fn play(context: &Context) -> Result<Verdict, String> {
    let record = &context.record;
    let (trouble, given) = (context.trouble, Given::default());
    let (noted, gives) = (record.clone(), given.clone());
    let disk = node(move |asked, out| {
        noted.note(format!("node runs {} {} of piece {}", asked.verb, asked.id, asked.piece));
        if u64::from_str_radix(&asked.piece, 16) != Ok(LONG_PIECE) {
            return out.write_all(&served(b"small")).is_ok();
        }
        let answer = served(&vec![b'x'; LONG]);
        for (number, piece) in answer.chunks(PIECE).enumerate() {
            if out.write_all(piece).is_err() {
                noted.note(format!("node: the broker no longer takes {}", asked.id));
                return false;
            }
            if number == 0 {
                noted.note(format!("node has given the first {} bytes for {}", piece.len(), asked.id));
                gives.lock().expect("a list").push((asked.id.clone(), Instant::now()));
            }
            if trouble {
                thread::sleep(PAUSE);
            }
        }
        noted.note(format!("node has given all for {}", asked.id));
        true
    })?;
    let folder = Folder::create("value-held")?;
    let broker = one_broker(context, &folder, &disk, 192)?;

    // For comparison, and not judged: the same long value with nothing behind it.
    let (alone_at, alone_first) = ask_both(&broker, record, "alone", false)?.0;
    let waited = alone_first.map(|first| first.duration_since(alone_at).as_millis());
    record.note(format!("a long value with nothing behind it: first byte after {waited:?} ms"));

    let mut broken = Vec::new();
    for round in 0..2 {
        let name = format!("pair{round}");
        let ((sent, first), (small, small_at)) = ask_both(&broker, record, &name, true)?;
        let long = format!("{name}-long");
        let due = sent + Duration::from_millis(WAIT_MS) + LATE;
        if first.is_none_or(|first| first > due) {
            let after = first.map(|first| first.duration_since(sent).as_millis());
            broken.push(format!("{long}: no byte of an answer by its time, first byte after {after:?} ms"));
        }
        let began = given.lock().expect("a list").iter().find(|(id, _)| *id == long).map(|(_, at)| *at);
        if let (Some(began), Some(first)) = (began, first) {
            if first.duration_since(began) > HELD_BACK {
                let held = first.duration_since(began).as_millis();
                broken.push(format!("{long}: what the node gave was held back for {held} ms"));
            }
        }
        record.note(format!("{name}-small: {small:?}, {} ms after it was sent", small_at.as_millis()));
    }
    broker.note_log(record, "n3", &["rule broken", "WARN", "ERROR"]);
    Ok(if broken.is_empty() { Verdict::Held } else { Verdict::Broken(broken.join("; ")) })
}

type Times = (Instant, Option<Instant>);

/// Asks for the long value, and right behind it for a small one, if that is wanted. Returns when that was sent, when the
/// first byte of the first answer came, and the second answer.
fn ask_both(
    broker: &Broker,
    record: &crate::record::Record,
    name: &str,
    both: bool,
) -> Result<(Times, (Answer, Duration)), String> {
    let mut client = Client::connect(&broker.listen)?;
    let mut bytes = get(LONG_PIECE, &format!("{name}-long"), "export-read", WAIT_MS);
    if both {
        bytes.extend(get(2, &format!("{name}-small"), "export-read", WAIT_MS));
    }
    client.send(&bytes)?;
    let sent = Instant::now();
    record
        .note(format!("client sent {name}: {} reads at once, each waits {WAIT_MS} ms", 1 + u32::from(both)));
    let end = sent + Duration::from_secs(20);
    let long = client.answer(end);
    let first = long.first.map(|first| first.duration_since(sent).as_millis());
    let last = long.last.duration_since(sent).as_millis();
    let what = match &long.answer {
        Answer::Value(length, _) => format!("a value of {length} bytes"),
        other => format!("{other:?}"),
    };
    record.note(format!(
        "client got for {name}-long: {what}, first byte after {first:?} ms, last after {last} ms"
    ));
    let small = if both { client.answer(end).answer } else { Answer::Nothing };
    Ok(((sent, long.first), (small, sent.elapsed())))
}
