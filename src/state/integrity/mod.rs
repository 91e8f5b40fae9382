//! Checksums of what exports hold: which sums a block may have, in which order sums and data are written, and
//! what a mismatch means. Decisions only: no I/O, no clock, and no knowledge of what is spoken.
//!
//! Data is divided into blocks of [`BLOCK`] bytes. Their sums lie in a companion of the export, on the same
//! node. A write is three steps, each of which waits for the one before: the new sum is put beside the old one
//! (so that an interruption leaves a block that may hold either), the data is written, the old sum is dropped.
//! Only then is the write acknowledged. Why so: `docs/design/integrity.md`.

mod entry;
mod front;
mod geometry;
mod keeper;
mod page;
mod verdict;

pub use entry::{Damaged, Entry, Seal, Slot, MOST_BROKERS, MOST_PENDING};
pub use geometry::{Geometry, BLOCK, GROUP, PAGE};
pub use keeper::{Counts, Effect, Event, Facts, Keeper, Op, Outcome, Task, TaskId, VolumeId};
pub use verdict::{is_bad, judge, stamp, state, State, Verdict};

/// Sums of the blocks in a run of slices that are taken as one text; `None` stands for so many zeroes. The
/// text must be whole blocks long; what is left over is not summed.
pub fn sums<'a>(parts: impl IntoIterator<Item = (Option<&'a [u8]>, usize)>) -> Vec<u32> {
    static ZEROES: [u8; BLOCK as usize] = [0; BLOCK as usize];
    let (mut sums, mut sum, mut filled) = (Vec::new(), 0, 0);
    for (bytes, length) in parts {
        let mut done = 0;
        while done < length {
            let n = (BLOCK as usize - filled).min(length - done);
            let slice = bytes.map_or(&ZEROES[..n], |b| &b[done..done + n]);
            sum = crc32c::crc32c_append(sum, slice);
            (done, filled) = (done + n, filled + n);
            if filled == BLOCK as usize {
                sums.push(std::mem::take(&mut sum));
                filled = 0;
            }
        }
    }
    sums
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn sums_do_not_depend_on_how_the_text_is_cut() {
        let text: Vec<u8> = (0..3 * BLOCK).map(|i| (i * 7 % 251) as u8).collect();
        let whole = sums([(Some(&text[..]), text.len())]);
        assert_eq!(whole.len(), 3);
        let (a, b) = text.split_at(5000);
        assert_eq!(sums([(Some(a), a.len()), (Some(b), b.len())]), whole);
        let zeroes = vec![0; BLOCK as usize];
        assert_eq!(sums([(None, BLOCK as usize)]), sums([(Some(&zeroes[..]), zeroes.len())]));
    }
}
