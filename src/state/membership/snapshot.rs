//! A whole view, in pages that each fit one packet of any network. Who lacks pages asks for them again, so a loss costs a page
//! and not the view.

use super::View;
use crate::interface::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Bytes of a page: with all heads it fits a packet of 1,280 bytes, the least that every IPv6 network carries.
pub const PAGE: usize = 1_000;
/// Pages that are sent for one question.
pub const WINDOW: usize = 32;
/// Most pages of a snapshot, see [`super::MOST_MEMBERS`].
pub const MOST_PAGES: usize = 4_096;
/// Between two questions for the same pages: more than a way there and back between any two regions.
const AGAIN: Time = 700_000;
/// A sender of which no page has come for so long is given up.
const PATIENCE: Time = 3_000_000;

/// A page of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The number of the view.
    pub number: u64,
    /// The page, from 0.
    pub page: u16,
    /// How many there are.
    pub of: u16,
    /// What it holds.
    pub bytes: Vec<u8>,
}

/// A snapshot that is given out page by page. It stays the same while it is fetched; deltas lead on from it.
#[derive(Debug)]
pub struct Served {
    number: u64,
    bytes: Vec<u8>,
}

impl Served {
    /// A view's; nothing for one that is too large.
    pub fn of(view: &View) -> Option<Served> {
        let bytes = postcard::to_stdvec(view).ok()?;
        (bytes.len() <= PAGE * MOST_PAGES).then_some(Served { number: view.number, bytes })
    }

    /// The number of its view.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// The first of these pages that there are; all are meant where none is named.
    pub fn pages(&self, wanted: &[u16]) -> Vec<Page> {
        let of = self.bytes.len().div_ceil(PAGE) as u16;
        let all: Vec<u16> = if wanted.is_empty() { (0..of).collect() } else { wanted.to_vec() };
        let page = |page: u16| {
            let bytes = self.bytes.chunks(PAGE).nth(usize::from(page))?.to_vec();
            Some(Page { number: self.number, page, of, bytes })
        };
        all.into_iter().take(WINDOW).filter_map(page).collect()
    }
}

/// A snapshot that comes in, from one sender. It ends when it is whole, or when its sender is given up.
#[derive(Debug)]
pub struct Fetch {
    from: String,
    number: u64,
    of: u16,
    pages: BTreeMap<u16, Vec<u8>>,
    /// The last page that was asked for, and when.
    last: u16,
    asked: Time,
    heard: Time,
}

impl Fetch {
    /// Begins with a page; nothing for one that cannot be.
    pub fn begin(now: Time, from: &str, page: &Page) -> Option<Fetch> {
        let fits = page.of > 0 && usize::from(page.of) <= MOST_PAGES;
        fits.then(|| Fetch {
            from: from.to_string(),
            number: page.number,
            of: page.of,
            pages: BTreeMap::new(),
            last: page.of.min(WINDOW as u16) - 1,
            asked: now,
            heard: now,
        })
    }

    /// Whether a page belongs to it.
    pub fn wants(&self, from: &str, page: &Page) -> bool {
        let known = page.page < page.of && page.bytes.len() <= PAGE;
        self.from == from && self.number == page.number && self.of == page.of && known
    }

    /// Whether a page shows that its sender gives out a later one instead.
    pub fn outdated(&self, from: &str, page: &Page) -> bool {
        self.from == from && page.number > self.number
    }

    /// Takes a page; gives the view if that was the last.
    pub fn take(&mut self, now: Time, page: Page) -> Option<View> {
        self.heard = now;
        self.pages.insert(page.page, page.bytes);
        if self.pages.len() < usize::from(self.of) {
            return None;
        }
        let whole: Vec<u8> = std::mem::take(&mut self.pages).into_values().flatten().collect();
        match postcard::take_from_bytes::<View>(&whole) {
            Ok((view, [])) if view.number == self.number => Some(view),
            // It is given up, and asked for anew.
            _ => {
                self.heard = now - PATIENCE - 1;
                None
            }
        }
    }

    /// Whether its sender is given up.
    pub fn over(&self, now: Time) -> bool {
        now - self.heard > PATIENCE
    }

    /// What is to be asked for now, and of whom: pages that are missing, once those asked for last have come or are late.
    pub fn asks(&mut self, now: Time) -> Option<(String, u64, Vec<u16>)> {
        if !self.pages.contains_key(&self.last) && now - self.asked < AGAIN {
            return None;
        }
        let missing = (0..self.of).filter(|p| !self.pages.contains_key(p));
        let window: Vec<u16> = missing.take(WINDOW).collect();
        self.last = *window.last()?;
        self.asked = now;
        Some((self.from.clone(), self.number, window))
    }
}
