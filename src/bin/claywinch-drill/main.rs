//! Connects the scheduler to the simulator over standard input and output. It only translates messages; all
//! decisions are made by the scheduler.
#![forbid(unsafe_code)]

mod wire;

use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run(io::stdin().lock(), BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("claywinch-drill: {message}");
            ExitCode::FAILURE
        }
    }
}

/// Reads batches of messages and writes the reply to each, until the input ends.
fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut host = wire::Host::default();
    let mut line = Vec::new();
    let mut number = 0u64;
    loop {
        line.clear();
        number += 1;
        if input.read_until(b'\n', &mut line).map_err(|e| format!("reading line {number}: {e}"))? == 0 {
            return host.at_end().map_err(|e| format!("line {number}: {e}"));
        }
        let text = std::str::from_utf8(&line).map_err(|_| format!("line {number}: not UTF-8"))?;
        let reply =
            host.line(text.trim_end_matches(['\n', '\r'])).map_err(|e| format!("line {number}: {e}"))?;
        if let Some(reply) = reply {
            output
                .write_all(reply.as_bytes())
                .and_then(|()| output.flush())
                .map_err(|e| format!("writing: {e}"))?;
        }
    }
}
