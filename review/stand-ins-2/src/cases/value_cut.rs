//! A read of a long value, which a slowed disk node gives in pieces with pauses between them. The transfer takes longer than
//! the client's time, which counts up to the first byte.

use super::one_broker;
use crate::process::Folder;
use crate::resp::{get, node, served, Answer, Client};
use crate::{Context, Verdict};
use std::collections::BTreeMap;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Bytes of the long value, and of a piece that the disk node gives at once.
const LONG: usize = 2 * 1024 * 1024;
const PIECE: usize = 128 * 1024;
/// Wait between two pieces, where the disk node is slowed: 7.2 s for the whole value.
const PAUSE: Duration = Duration::from_millis(450);
/// How long the client waits for the first byte.
const WAIT_MS: u64 = 4_000;
/// The piece of data with the long value.
const LONG_PIECE: u64 = 1;
const ROUNDS: usize = 3;

/// What the disk node saw of a request: how many bytes it gave, and whether the broker took all.
type Given = Arc<Mutex<BTreeMap<String, (usize, bool)>>>;

pub fn play(context: &Context) -> Result<Verdict, String> {
    let record = &context.record;
    let (trouble, given) = (context.trouble, Given::default());
    let (noted, gives) = (record.clone(), given.clone());
    let disk = node(move |asked, out| {
        noted.note(format!("node runs {} {} of piece {}", asked.verb, asked.id, asked.piece));
        if u64::from_str_radix(&asked.piece, 16) != Ok(LONG_PIECE) {
            return out.write_all(&served(b"small")).is_ok();
        }
        let mut sum = 0;
        for piece in served(&vec![b'x'; LONG]).chunks(PIECE) {
            let taken = out.write_all(piece).is_ok();
            sum += if taken { piece.len() } else { 0 };
            gives.lock().expect("a map").insert(asked.id.clone(), (sum, taken));
            noted.note(format!("node gave {sum} bytes for {}, taken: {taken}", asked.id));
            if !taken {
                return false;
            }
            if trouble {
                thread::sleep(PAUSE);
            }
        }
        true
    })?;
    let folder = Folder::create("value-cut")?;
    let broker = one_broker(context, &folder, &disk, 192)?;
    let mut broken = Vec::new();
    for round in 0..ROUNDS {
        let id = format!("long{round}");
        let mut client = Client::connect(&broker.listen)?;
        client.send(&get(LONG_PIECE, &id, "export-read", WAIT_MS))?;
        let sent = Instant::now();
        record.note(format!("client sent {id}, waits {WAIT_MS} ms for the first byte"));
        let answer = client.answer(sent + Duration::from_secs(25));
        let first = answer.first.map(|first| first.duration_since(sent).as_millis());
        let after = answer.last.duration_since(sent).as_millis();
        match answer.answer {
            Answer::Value(length, _) => record.note(format!(
                "client got {id}: {length} bytes, first after {first:?} ms, last after {after} ms"
            )),
            Answer::Cut(length, came) => {
                record.note(format!(
                    "client got {id}: {came} of {length} bytes, first after {first:?} ms; the connection ended after {after} ms"
                ));
                // A value that cannot be finished for no fault of the broker is not lost: the node must have gone on.
                thread::sleep(PAUSE * 3);
                let gave = given.lock().expect("a map").get(&id).copied();
                record.note(format!("node gave for {id}, and whether the broker took it: {gave:?}"));
                broken.push(format!(
                    "{id}: cut off after {came} of {length} bytes, {after} ms after it was sent"
                ));
            }
            other => broken.push(format!("{id}: {other:?} after {after} ms")),
        }
    }
    broker.note_log(record, "n3", &["rule broken", "WARN", "ERROR"]);
    Ok(if broken.is_empty() { Verdict::Held } else { Verdict::Broken(broken.join("; ")) })
}
