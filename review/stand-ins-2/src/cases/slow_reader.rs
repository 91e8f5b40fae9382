//! A client that reads a long value slowly, and asks for something else on the same connection before it has read all.

use super::one_broker;
use crate::process::Folder;
use crate::resp::{get, node, served};
use crate::{Context, Verdict};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// Bytes of the long value: the most that the pages name.
const LONG: usize = 4 * 1024 * 1024;
/// Bytes that the client reads at once, and the wait between: 8 s for the whole value.
const PIECE: usize = 64 * 1024;
const PAUSE: Duration = Duration::from_millis(125);
/// When the client sends its second read.
const SECOND_AFTER: Duration = Duration::from_millis(6_000);
/// How long the client waits for the first byte of an answer.
const WAIT_MS: u64 = 4_000;

pub fn play(context: &Context) -> Result<Verdict, String> {
    let record = &context.record;
    let noted = record.clone();
    let disk = node(move |asked, out| {
        noted.note(format!("node runs {} {} of piece {}", asked.verb, asked.id, asked.piece));
        let long = u64::from_str_radix(&asked.piece, 16) == Ok(1);
        let value = if long { vec![b'x'; LONG] } else { b"small".to_vec() };
        let given = out.write_all(&served(&value)).is_ok();
        noted.note(format!("node has given all for {}: {given}", asked.id));
        given
    })?;
    let folder = Folder::create("slow-reader")?;
    let broker = one_broker(context, &folder, &disk, 192)?;
    let mut stream = TcpStream::connect(&broker.listen).map_err(|error| error.to_string())?;
    stream.set_read_timeout(Some(Duration::from_secs(10))).map_err(|error| error.to_string())?;
    stream.write_all(&get(1, "long", "export-read", WAIT_MS)).map_err(|error| error.to_string())?;
    let begun = Instant::now();
    record.note("client sent long");
    let head = format!("${LONG}\r\n");
    let (whole, mut came, mut second) = (head.len() + LONG + 2, 0, false);
    let mut buffer = vec![0; PIECE];
    let mut ended = None;
    while came < whole {
        let most = PIECE.min(whole - came);
        match stream.read(&mut buffer[..most]) {
            Ok(0) => ended = Some("the end of the connection".to_string()),
            Ok(n) => came += n,
            Err(error) => ended = Some(error.to_string()),
        }
        if ended.is_some() {
            break;
        }
        if !second && (begun.elapsed() >= SECOND_AFTER || !context.trouble) {
            second = true;
            let sent = stream.write_all(&get(2, "small", "page-read", 1_000));
            record.note(format!("client sent small after {came} of {whole} bytes: {sent:?}"));
        }
        if context.trouble {
            thread::sleep(PAUSE);
        }
    }
    record.note(format!(
        "client read {came} of {whole} bytes of long in {} ms: {ended:?}",
        begun.elapsed().as_millis()
    ));
    let mut rest = vec![0; 64];
    let small = stream.read(&mut rest).map(|n| String::from_utf8_lossy(&rest[..n]).to_string());
    record.note(format!("client got for small: {small:?}"));
    broker.note_log(record, "n3", &["rule broken", "WARN", "ERROR"]);
    Ok(match came == whole {
        true => Verdict::Held,
        false => Verdict::Broken(format!("long: {came} of {whole} bytes, then {ended:?}")),
    })
}
