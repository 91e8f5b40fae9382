//! The command line beside serving: what operators ask of a configuration or of a broker that runs.

use super::catalogue::Deploy;
use super::config::ConfigError;
use crate::state::integrity::BLOCK;
use crate::wire::nbd::teller::{Extent, Teller, TellerError};
use crate::wire::nbd::{status, SUMS_SUFFIX};
use clap::{Parser, Subcommand};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// How long an answer is waited for.
const PATIENCE: Duration = Duration::from_secs(10);
/// Wait before something is asked again that was refused.
const AGAIN: Duration = Duration::from_millis(100);

/// A broker for shared storage nodes. Without a subcommand it serves.
#[derive(Debug, Parser)]
#[command(name = "claywinch", version)]
pub struct Arguments {
    /// What to do instead.
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// What can be done instead of serving.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Checksums of exports.
    #[command(subcommand)]
    Integrity(Integrity),
    /// Votes in the cluster of a file, and serves no clients: for a machine that is set aside for control.
    Voter {
        /// The cluster's file, such as deploy/cluster.toml.
        file: String,
    },
}

/// What can be asked about checksums.
#[derive(Debug, Subcommand)]
pub enum Integrity {
    /// Says what is wrong with an NBD file, and what its exports with sums need.
    Check {
        /// The file, such as deploy/nbd.toml.
        file: String,
    },
    /// Lists the blocks of an export that are not sound, as the broker knows them.
    List {
        /// Where a broker's NBD front listens.
        address: String,
        /// The export.
        export: String,
    },
}

/// Why a command came to nothing.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// A configuration.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// There is no such file.
    #[error("{0}: there is no such file")]
    NoFile(String),
    /// The broker was not reached, or left.
    #[error("{0}: {1}")]
    Io(String, std::io::Error),
    /// The broker said something else than was expected.
    #[error("{0}: {1}")]
    Teller(String, TellerError),
}

impl Integrity {
    /// Does it; what is to be printed goes to `out`.
    pub fn run(self, out: &mut impl Write) -> Result<(), CommandError> {
        match self {
            Integrity::Check { file } => check(&file, out),
            Integrity::List { address, export } => list(&address, &export, out),
        }
    }
}

fn check(file: &str, out: &mut impl Write) -> Result<(), CommandError> {
    let deploy = Deploy::load(file)?.ok_or_else(|| CommandError::NoFile(file.to_string()))?;
    let said = |error| CommandError::Io("output".to_string(), error);
    let content = |reason| ConfigError::Content { path: file.to_string(), reason };
    let catalogue = deploy.shared.catalogue(&deploy).map_err(content)?;
    let mut any = false;
    for export in catalogue.0.iter().flatten() {
        let Some(facts) = &export.sums else { continue };
        any = true;
        let (name, bytes) = (&export.name, facts.shape.companion_bytes());
        writeln!(out, "{name}: needs {name}{SUMS_SUFFIX} of {bytes} bytes or more on its node")
            .map_err(said)?;
        match export.scrub {
            None => writeln!(out, "{name}: not scrubbed by this broker"),
            Some((_, within)) => {
                let rate = export.size as f64 / (within as f64 / 1e6) / 1024.0;
                writeln!(out, "{name}: scrubbed by this broker, {rate:.1} KiB a second")
            }
        }
        .map_err(said)?;
    }
    if !any {
        writeln!(out, "no export has integrity set").map_err(said)?;
    }
    Ok(())
}

/// Walks an export, and prints the extents that are not sound and a line that counts them all.
fn list(address: &str, export: &str, out: &mut impl Write) -> Result<(), CommandError> {
    let io = |error| CommandError::Io(address.to_string(), error);
    let wrong = |error| CommandError::Teller(address.to_string(), error);
    let mut stream = TcpStream::connect(address).map_err(io)?;
    stream.set_read_timeout(Some(PATIENCE)).map_err(io)?;
    let mut teller = Teller::new(export);
    let mut counts = [0_u64; 4];
    let mut last: Option<Extent> = None;
    let mut buffer = [0; 16 * 1024];
    loop {
        let wants = teller.take_output();
        stream.write_all(&wants).map_err(io)?;
        let n = stream.read(&mut buffer).map_err(io)?;
        if n == 0 {
            return Err(io(std::io::ErrorKind::UnexpectedEof.into()));
        }
        let mut found = Vec::new();
        let refused = teller.receive(&buffer[..n], &mut found).map_err(wrong)?;
        if refused {
            std::thread::sleep(AGAIN);
        }
        for extent in found {
            if let Some(count) = counts.get_mut(extent.status as usize) {
                *count += extent.length / BLOCK;
            }
            match &mut last {
                Some(last) if last.status == extent.status => last.length += extent.length,
                _ => print(last.replace(extent), out).map_err(io)?,
            }
        }
        if teller.is_done() {
            break;
        }
    }
    print(last, out).map_err(io)?;
    let [sound, unsummed, bad, doubt] = counts;
    writeln!(out, "blocks: sound {sound}, without a sum {unsummed}, bad {bad}, in doubt {doubt}").map_err(io)
}

fn print(extent: Option<Extent>, out: &mut impl Write) -> std::io::Result<()> {
    let Some(Extent { offset, length, status }) = extent else { return Ok(()) };
    let what = match status {
        status::SOUND => return Ok(()),
        status::UNSUMMED => "without a sum",
        status::BAD => "bad",
        _ => "in doubt",
    };
    writeln!(out, "{offset} +{length}: {what}")
}
