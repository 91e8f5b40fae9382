//! The layers of the program use one another in one direction: run, then wire, then state, then the interface.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// What the files of each layer may name.
fn allowed() -> BTreeMap<&'static str, &'static [&'static str]> {
    BTreeMap::from([
        ("state", &["interface", "rules", "state"][..]),
        ("wire", &["interface", "state", "wire"][..]),
        ("run", &["interface", "rules", "run", "state", "wire"][..]),
    ])
}

fn files(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("a folder").flatten() {
        match entry.path() {
            path if path.is_dir() => files(&path, found),
            path => found.push(path),
        }
    }
}

/// The modules of the crate that a text names.
fn named(text: &str) -> impl Iterator<Item = &str> {
    text.split("crate::")
        .skip(1)
        .map(|rest| rest.split(|c: char| !c.is_alphanumeric() && c != '_').next().unwrap_or(""))
}

fn wrong(layer: &str, text: &str) -> Vec<String> {
    named(text).filter(|n| !allowed()[layer].contains(n)).map(str::to_string).collect()
}

#[test]
fn imports_go_one_way() {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    for layer in allowed().keys() {
        let mut found = Vec::new();
        files(&source.join(layer), &mut found);
        assert!(!found.is_empty());
        for path in found {
            let wrong = wrong(layer, &std::fs::read_to_string(&path).expect("a file"));
            assert!(wrong.is_empty(), "{} names {wrong:?}", path.display());
        }
    }
}

#[test]
fn a_step_back_is_seen() {
    assert_eq!(wrong("wire", "use crate::run::clock::Clock;\nuse crate::state::x;"), ["run"]);
    assert_eq!(wrong("state", "crate::wire::link::ProtocolError"), ["wire"]);
}
