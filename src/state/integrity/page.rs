//! One broker's page of sums as it is kept in memory: the entries of a group of blocks, how far they have been
//! written, and whether what stands on the disk is known.

use super::entry::{Damaged, Entry, Seal, Slot, ENTRY};
use super::geometry::{GROUP, PAGE};
use crate::interface::{RequestId, Time};
use bytes::Bytes;
use std::collections::BTreeMap;

/// What a broker says of the blocks of a group, as its page on the disk has it. A page that is `written` for
/// certain has no zeroes.
pub fn decode(seal: Seal, group: u64, broker: u8, page: &[u8], written: bool) -> Vec<Slot> {
    let places = page.chunks_exact(ENTRY).zip(group * GROUP..);
    places.map(|(place, block)| Entry::decode(seal, block, broker, place, written)).collect()
}

/// A request that waits until a page is written.
#[derive(Debug, Clone, Copy)]
pub struct Waiting {
    /// The version that must stand on the disk.
    pub version: u64,
    /// How long it waits.
    pub due: Time,
    /// Whether the version must be durable.
    pub durable: bool,
}

/// A page that this broker writes.
#[derive(Debug)]
pub struct Page {
    entries: [Entry; GROUP as usize],
    /// Entries that are damaged, a bit each.
    damaged: u64,
    /// Counts changes of the entries.
    pub version: u64,
    /// The version that is known to stand on the disk.
    pub written: u64,
    /// The version that is being written, and its bytes.
    pub writing: Option<(u64, Bytes)>,
    /// It was turned away, and is written again then.
    pub again: Option<Time>,
    /// A write that may yet run was given up; until then nothing else is written, or it could be undone.
    pub doubt: Time,
    /// Those that wait for a version.
    pub waiting: BTreeMap<RequestId, Waiting>,
    /// When it was last of use, in steps of the keeper.
    pub used: u64,
}

impl Page {
    /// The page as it stands on the disk.
    pub fn new(slots: &[Slot]) -> Self {
        let mut page = Page {
            entries: [Entry::default(); GROUP as usize],
            damaged: 0,
            version: 0,
            written: 0,
            writing: None,
            again: None,
            doubt: 0,
            waiting: BTreeMap::new(),
            used: 0,
        };
        for (i, (slot, place)) in slots.iter().zip(&mut page.entries).enumerate() {
            match slot {
                Ok(entry) => *place = *entry,
                Err(Damaged) => page.damaged |= 1 << i,
            }
        }
        page
    }

    /// What this broker says of a block.
    pub fn slot(&self, block: u64) -> Slot {
        let place = block % GROUP;
        match self.damaged & 1 << place {
            0 => Ok(self.entries[place as usize]),
            _ => Err(Damaged),
        }
    }

    /// The entry of a block, for a change. A damaged one begins anew, with the number of the last write that
    /// others have seen of it.
    pub fn change(&mut self, block: u64, last_seen: u32) -> &mut Entry {
        self.version += 1;
        let place = block % GROUP;
        let entry = &mut self.entries[place as usize];
        if self.damaged & 1 << place != 0 {
            self.damaged &= !(1 << place);
            *entry = Entry::after(last_seen);
        }
        entry
    }

    /// Has every place written with the next version.
    pub fn seal(&mut self) {
        if self.entries.iter().any(|e| !e.sealed) {
            self.entries.iter_mut().for_each(|e| e.sealed = true);
            self.version += 1;
        }
    }

    /// Its bytes.
    pub fn encode(&self, seal: Seal, group: u64, broker: u8) -> Bytes {
        let mut out = vec![0; PAGE as usize];
        for (i, place) in out.chunks_exact_mut(ENTRY).enumerate() {
            match self.damaged & 1 << i {
                0 => self.entries[i].encode(seal, group * GROUP + i as u64, broker, place),
                // It stays damaged until its block is written.
                _ => place.fill(0xff),
            }
        }
        out.into()
    }

    /// Whether nothing is lost if it is dropped from memory.
    pub fn is_spare(&self, now: Time) -> bool {
        self.waiting.is_empty() && self.writing.is_none() && self.doubt <= now
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_damaged_entry_stays_so_until_its_block_is_written() {
        let seal = Seal::of("disk");
        let mut page = Page::new(&[Err(Damaged), Ok(Entry::default())]);
        page.change(GROUP + 1, 0).begin(5, 0);
        let bytes = page.encode(seal, 1, 0);
        let slots = decode(seal, 1, 0, &bytes, false);
        assert_eq!(slots[0], Err(Damaged));
        assert_eq!(slots[1].map(|e| e.pending().to_vec()), Ok(vec![(1, 5)]));
        page.change(GROUP, 41).begin(6, 0);
        let slots = decode(seal, 1, 0, &page.encode(seal, 1, 0), false);
        assert_eq!(slots[0].map(|e| e.pending().to_vec()), Ok(vec![(42, 6)]));
        assert_eq!(decode(seal, 2, 0, &bytes, false)[1], Err(Damaged), "a page of another place");
    }
}
