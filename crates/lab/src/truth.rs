//! What each block of an export may hold, as its clients know it: the judge of every byte that is read.

use std::sync::Mutex;

/// Bytes of a block.
pub const BLOCK: usize = 4096;

/// What a block holds after its write number `version`: told from all other contents by a head, and random
/// behind it. Version 0 is all zeroes.
pub fn content(seed: u64, block: u64, version: u64) -> Vec<u8> {
    if version == 0 {
        return vec![0; BLOCK];
    }
    let mut out = Vec::with_capacity(BLOCK);
    out.extend(block.to_le_bytes());
    out.extend(version.to_le_bytes());
    let mut state = (seed ^ block.rotate_left(32) ^ version).wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    while out.len() < BLOCK {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        out.extend(state.to_le_bytes());
    }
    out
}

/// Which version of a block this is; nothing if it is none.
fn version_of(seed: u64, block: u64, bytes: &[u8]) -> Option<u64> {
    let version = bytes[8..16].iter().rev().fold(0, |n, b| n << 8 | u64::from(*b));
    (content(seed, block, version) == bytes).then_some(version)
}

#[derive(Debug, Clone)]
struct Write {
    version: u64,
    over: bool,
    /// Versions that were over when it began: they are past once it is acknowledged.
    before: Vec<u64>,
}

#[derive(Debug, Clone)]
struct Block {
    may: Vec<Write>,
    last: u64,
}

/// How a write ended, as its client heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Acknowledged.
    Done,
    /// Refused: it never ran.
    Never,
    /// It may have run.
    Doubt,
}

/// What a read may return: for each block the versions at its start, and the last one begun then.
#[derive(Debug, Clone)]
pub struct Allowed(Vec<(Vec<u64>, u64)>);

/// The truth of one export.
pub struct Truth {
    seed: u64,
    blocks: Vec<Mutex<Block>>,
}

impl Truth {
    /// Of so many blocks that are all zeroes.
    pub fn new(seed: u64, blocks: u64) -> Self {
        let zero = Block { may: vec![Write { version: 0, over: true, before: Vec::new() }], last: 0 };
        Truth { seed, blocks: (0..blocks).map(|_| Mutex::new(zero.clone())).collect() }
    }

    /// How many blocks there are.
    pub fn blocks(&self) -> u64 {
        self.blocks.len() as u64
    }

    fn with<T>(&self, block: u64, look: impl FnOnce(&mut Block) -> T) -> T {
        let mut block = self.blocks[block as usize].lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        look(&mut block)
    }

    /// Begins a write: the versions of its blocks and all its bytes.
    pub fn write(&self, first: u64, count: u64) -> (Vec<u64>, Vec<u8>) {
        let begin = |block: &mut Block| {
            block.last += 1;
            let before = block.may.iter().filter(|w| w.over).map(|w| w.version).collect();
            block.may.push(Write { version: block.last, over: false, before });
            block.last
        };
        let versions: Vec<u64> = (first..first + count).map(|b| self.with(b, begin)).collect();
        let bytes = (first..).zip(&versions).flat_map(|(b, v)| content(self.seed, b, *v)).collect();
        (versions, bytes)
    }

    /// Takes note of how a write ended.
    pub fn written(&self, first: u64, versions: &[u64], end: End) {
        for (block, version) in (first..).zip(versions) {
            self.with(block, |block| {
                let Some(place) = block.may.iter().position(|w| w.version == *version) else { return };
                match end {
                    End::Never => drop(block.may.remove(place)),
                    End::Doubt => block.may[place].over = true,
                    End::Done => {
                        block.may[place].over = true;
                        let before = std::mem::take(&mut block.may[place].before);
                        block.may.retain(|w| !before.contains(&w.version));
                    }
                }
            });
        }
    }

    /// What a read that begins now may return.
    pub fn read(&self, first: u64, count: u64) -> Allowed {
        let allowed = |block: &mut Block| (block.may.iter().map(|w| w.version).collect(), block.last);
        Allowed((first..first + count).map(|b| self.with(b, allowed)).collect())
    }

    /// The first block of what was read that is nothing it may be; what came to be allowed meanwhile counts.
    pub fn judge(&self, first: u64, allowed: &Allowed, bytes: &[u8]) -> Option<u64> {
        for ((block, (versions, last)), bytes) in (first..).zip(&allowed.0).zip(bytes.chunks(BLOCK)) {
            let is_newer = |v: u64| v > *last && v <= self.with(block, |b| b.last);
            match version_of(self.seed, block, bytes) {
                Some(v) if versions.contains(&v) || is_newer(v) => {}
                _ => return Some(block),
            }
        }
        None
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_what_may_stand_there_is_allowed() {
        let truth = Truth::new(7, 2);
        let zero = content(7, 0, 0);
        assert_eq!(truth.judge(0, &truth.read(0, 1), &zero), None);
        let (versions, bytes) = truth.write(0, 1);
        let during = truth.read(0, 1);
        assert_eq!((truth.judge(0, &during, &zero), truth.judge(0, &during, &bytes)), (None, None));
        truth.written(0, &versions, End::Done);
        let after = truth.read(0, 1);
        assert_eq!((truth.judge(0, &after, &zero), truth.judge(0, &after, &bytes)), (Some(0), None));
        let mut flipped = bytes.clone();
        flipped[4000] ^= 1;
        assert_eq!(truth.judge(0, &after, &flipped), Some(0));
        assert_eq!(truth.judge(1, &truth.read(1, 1), &bytes), Some(1), "another block's");
        let (second, later) = truth.write(0, 1);
        assert_eq!(truth.judge(0, &after, &later), None, "it was begun while the read was out");
        truth.written(0, &second, End::Doubt);
        let doubt = truth.read(0, 1);
        assert_eq!((truth.judge(0, &doubt, &bytes), truth.judge(0, &doubt, &later)), (None, None));
        let (third, _) = truth.write(0, 1);
        truth.written(0, &third, End::Never);
        let (fourth, _) = truth.write(0, 1);
        truth.written(0, &fourth, End::Done);
        assert_eq!(truth.judge(0, &truth.read(0, 1), &later), Some(0));
    }
}
