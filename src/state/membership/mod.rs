//! Who belongs: brokers that watch one another, and a few voters that commit each view of them.
//! Nothing here does I/O, reads a clock or draws a number. `docs/design/membership.md` says what was weighed.

pub mod council;
pub mod cut;
pub mod delta;
pub mod drains;
pub mod edges;
pub mod lease;
pub mod node;
pub mod packet;
pub mod rings;
pub mod snapshot;

use crate::interface::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// A broker's name, the same in each of its lives.
pub type Name = String;

/// Most bytes of a name or an address in a message.
pub const MOST_NAME: usize = 128;
/// Most nodes that may be out at once. See [`MOST_MEMBERS`].
pub const MOST_DRAINS: usize = 8_192;
/// Most members of a view: a guard against names made up by a fault. With the longest names a view of as many takes 3.3 MB,
/// which still is one snapshot (`snapshot.rs`) and one packet between voters (`wire/cluster.rs`), and a broker that holds it
/// for itself, being fetched and being given out stays within 16 MB.
pub const MOST_MEMBERS: usize = 8_192;

/// What one broker is told of its cluster. Times are in microseconds.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The cluster's name: messages of others are dropped.
    pub cluster: String,
    /// This broker's name.
    pub name: Name,
    /// Where others reach it.
    pub address: String,
    /// Addresses that are asked for the cluster. The first ones found it.
    pub seeds: Vec<String>,
    /// Between two probes of one subject.
    pub probe: Time,
    /// An edge of which no probe of so long has been answered is down.
    pub silence: Time,
    /// A set that is to be cut stands still for so long first.
    pub settle: Time,
    /// A voter that has been out for so long is replaced.
    pub replace: Time,
    /// How long a broker may act on a view without a new word of the voters.
    pub lease: Time,
}

impl Settings {
    /// How many of the seeds found the cluster, and so how many voters it has.
    pub fn founders(&self) -> usize {
        match self.seeds.len() {
            0..=2 => self.seeds.len().min(1),
            3..=4 => 3,
            _ => 5,
        }
    }
}

/// A broker that belongs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: Name,
    /// Where it is reached.
    pub address: String,
    /// The number of the view that took it in: grows for each name, for ever.
    pub incarnation: u64,
    /// Drawn at its start: tells its lives apart.
    pub life: u64,
}

/// A voter's place. It outlives the membership of the broker that holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seat {
    /// Its number among the voters, given once.
    pub id: u64,
    /// The broker that holds it.
    pub name: Name,
    /// Where that is reached.
    pub address: String,
    /// The life that holds it.
    pub life: u64,
}

/// A numbered state of the cluster.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Its number; each is followed by the next.
    pub number: u64,
    /// The founding it goes back to: views of another are of another cluster.
    pub origin: u64,
    /// Who belongs, by name.
    pub members: Vec<Member>,
    /// The voters.
    pub seats: Vec<Seat>,
    /// How many voters the cluster is to have.
    pub wanted: u8,
    /// Nodes that staff have taken out: nothing new goes there.
    pub drains: BTreeSet<String>,
}

impl View {
    /// The place of a name among the members.
    pub fn place(&self, name: &str) -> Option<usize> {
        self.members.binary_search_by(|m| m.name.as_str().cmp(name)).ok()
    }

    /// The member of a name.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.place(name).map(|i| &self.members[i])
    }

    /// Whether that incarnation of a name belongs.
    pub fn holds(&self, name: &str, incarnation: u64) -> bool {
        self.member(name).is_some_and(|m| m.incarnation == incarnation)
    }

    /// The view that follows, without some and with others in the place of their former lives.
    pub fn next(&self, out: &BTreeSet<Name>, joins: impl IntoIterator<Item = Member>) -> View {
        let mut next = self.clone();
        next.number += 1;
        next.members.retain(|m| !out.contains(&m.name));
        for join in joins {
            let join = Member { incarnation: next.number, ..join };
            match next.members.binary_search_by(|m| m.name.cmp(&join.name)) {
                Ok(place) => next.members[place] = join,
                Err(place) if next.members.len() < MOST_MEMBERS => next.members.insert(place, join),
                Err(_) => {}
            }
        }
        next
    }
}

/// A hash that is the same in every build and on every machine: FNV-1a, then the finalizer of SplitMix64.
pub fn mix(bytes: &[u8], salt: u64) -> u64 {
    let start = 0xcbf2_9ce4_8422_2325 ^ salt.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mut h = bytes.iter().fold(start, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3));
    h = (h ^ (h >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    h = (h ^ (h >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    h ^ (h >> 31)
}
