//! A client that writes a long value slowly, while operators empty the broker.

use super::{one_broker_with, Place};
use crate::process::{call, free_address, Folder};
use crate::resp::{node, put, served, Answer, Client};
use crate::{Context, Verdict};
use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

/// Bytes of the value, and of a piece that the client writes at once.
const LONG: usize = 1024 * 1024;
const PIECE: usize = 16 * 1024;
/// How long the client takes to write the value.
const TRANSFER: Duration = Duration::from_millis(2_900);
/// When the operators call, after the client has begun.
const CALLED_AFTER: Duration = Duration::from_millis(1_000);
/// How long the client waits for the answer, from the last byte on.
const WAIT_MS: u64 = 1_200;
/// Up to half a second after its time an answer only earns nothing, and every time limit is 50 ms longer.
const LATE: Duration = Duration::from_millis(550);

pub fn play(context: &Context) -> Result<Verdict, String> {
    let record = &context.record;
    let noted = record.clone();
    let disk = node(move |asked, out| {
        noted.note(format!("node runs {} {}: {} bytes", asked.verb, asked.id, asked.body.len()));
        out.write_all(&served(b"small")).is_ok()
    })?;
    let folder = Folder::create("leave-upload")?;
    let admin = free_address()?;
    let place = Place { memory_mb: 192, admin: Some(admin.clone()) };
    let broker = one_broker_with(context, &folder, &disk, place)?;
    let mut client = Client::connect(&broker.listen)?;
    let bytes = put(1, "upload", "tally-write", WAIT_MS, &vec![b'x'; LONG]);
    let begun = Instant::now();
    let caller = {
        let (trouble, record) = (context.trouble, record.clone());
        thread::spawn(move || {
            thread::sleep(CALLED_AFTER);
            if trouble {
                record.note(format!("operators call LEAVE: {:?}", call(&admin, "LEAVE")));
            }
        })
    };
    let pieces = bytes.len().div_ceil(PIECE) as u32;
    for (number, piece) in (1..).zip(bytes.chunks(PIECE)) {
        thread::sleep((TRANSFER * number / pieces).saturating_sub(begun.elapsed()));
        client.send(piece)?;
    }
    let sent = Instant::now();
    record.note(format!("client has written upload, {} ms after it began", begun.elapsed().as_millis()));
    let answer = client.answer(sent + Duration::from_secs(30));
    let after = answer.last.duration_since(sent);
    let text = match &answer.answer {
        Answer::Value(length, _) => format!("a value of {length} bytes"),
        other => format!("{other:?}"),
    };
    record.note(format!("client got for upload: {text}, {} ms after its last byte", after.as_millis()));
    let _ = caller.join();
    broker.note_log(record, "n3", &["phase", "rule broken", "WARN", "ERROR"]);
    let late = answer.last > sent + Duration::from_millis(WAIT_MS) + LATE;
    let none = matches!(answer.answer, Answer::Closed | Answer::Nothing | Answer::Cut(..));
    Ok(match late || none {
        false => Verdict::Held,
        true => Verdict::Broken(format!(
            "a write was taken, and its final answer came {} ms after its last byte ({text}); the client waits {WAIT_MS} ms",
            after.as_millis()
        )),
    })
}
