//! The cases of the second review: each starts the project's broker as processes and plays clients, disk nodes and the
//! platform around it. `review-2 case NAME FOLDER` plays a case and writes `record.txt` into the folder.

mod cases;
mod discovery;
mod nbd;
mod packets;
mod process;
mod record;
mod resp;

use record::Record;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// A case that takes longer has not run.
const LONGEST: Duration = Duration::from_secs(110);

/// What a case has found.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken; in a few words, how.
    Broken(String),
}

/// What a case is given.
pub struct Context {
    pub record: Record,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

fn play(name: &str, folder: &str) -> Result<Verdict, String> {
    let record = Record::create(&Path::new(folder).join("record.txt"))?;
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.note(format!("case {name}, with the disruption: {trouble}"));
    process::start_guard()?;
    let context = Context { record: record.clone(), trouble };
    std::thread::spawn(move || {
        std::thread::sleep(LONGEST);
        process::kill_all();
        eprintln!("the case took too long");
        std::process::exit(2);
    });
    let verdict = cases::play(name, &context);
    record.note(match &verdict {
        Ok(Verdict::Held) => "the rule held".to_string(),
        Ok(Verdict::Broken(how)) => format!("the rule was broken: {how}"),
        Err(reason) => format!("the case could not run: {reason}"),
    });
    verdict
}

/// The exit code of a disk node.
fn ended(outcome: Result<(), String>) -> ExitCode {
    match outcome {
        Ok(()) => ExitCode::from(0),
        Err(reason) => {
            eprintln!("{reason}");
            ExitCode::from(2)
        }
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words[1..] {
        ["case", name, folder] => {
            let played = std::panic::catch_unwind(|| play(name, folder));
            process::kill_all();
            match played.unwrap_or_else(|_| Err("the stand-ins failed".to_string())) {
                Ok(Verdict::Held) => {
                    println!("held");
                    ExitCode::from(0)
                }
                Ok(Verdict::Broken(how)) => {
                    println!("broken: {how}");
                    ExitCode::from(1)
                }
                Err(reason) => {
                    eprintln!("could not run: {reason}");
                    ExitCode::from(2)
                }
            }
        }
        ["guard"] => {
            process::guard();
            ExitCode::from(0)
        }
        ["nbd-node", address, file] => ended(nbd::node_process(address, file)),
        ["resp-node", address, log] => ended(resp::node_process(address, log)),
        _ => {
            eprintln!("review-2 case NAME FOLDER | nbd-node ADDRESS FILE | resp-node ADDRESS LOG");
            ExitCode::from(2)
        }
    }
}
