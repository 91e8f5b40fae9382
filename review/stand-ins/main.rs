//! Plays one case of the review: `stand-ins NAME FOLDER`, from the root of the repository. Exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run.

mod common;
mod nbd;
mod proxy;
mod removed_export;
mod replaced_node;
mod settings;
mod stale_change;

use common::{Case, Verdict};
use std::path::Path;
use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &arguments[..] else {
        eprintln!("usage: stand-ins NAME FOLDER");
        exit(2);
    };
    let play: fn(&Case) -> Verdict = match name.as_str() {
        "removed-export" => removed_export::play,
        "replaced-node" => replaced_node::play,
        "stale-change" => stale_change::play,
        _ => {
            eprintln!("no case {name}");
            exit(2);
        }
    };
    let case = Case::new(Path::new(folder));
    let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| play(&case)));
    common::end_all();
    let _ = std::fs::remove_dir_all(&case.folder);
    exit(match outcome {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Err(_) => {
            case.note("could not run");
            2
        }
    });
}
