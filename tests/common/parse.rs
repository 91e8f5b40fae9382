//! What all parser tests share: a valid conversation cut anywhere means the same, and garbage neither
//! panics nor piles up without end. From fixed seeds.

use bytes::BytesMut;
use quickcheck::{Arbitrary, Gen};

/// Cases of each property.
const CASES: usize = 200;
/// More than any parser may hold on to while it waits for the rest.
const ENDLESS: usize = 2 << 20;

/// Feeds `bytes` in cuts given by `steps`; gives all that `parse` made of them.
fn feed<T>(bytes: &[u8], steps: &[u8], parse: &mut impl FnMut(&mut BytesMut) -> Vec<T>) -> Vec<T> {
    let (mut read, mut seen, mut at) = (BytesMut::new(), Vec::new(), 0);
    for step in steps.iter().cycle().map(|s| usize::from(*s) + 1) {
        if at == bytes.len() {
            break;
        }
        let end = (at + step).min(bytes.len());
        read.extend_from_slice(&bytes[at..end]);
        seen.extend(parse(&mut read));
        at = end;
    }
    seen
}

/// Checks a protocol. `start` makes a new parser: it is given what has been read, consumes what is whole
/// of it, and tells what that was, or once that the peer broke the protocol.
pub fn check<T, P>(valid: &[u8], start: impl Fn() -> P)
where
    T: PartialEq + std::fmt::Debug,
    P: FnMut(&mut BytesMut) -> Vec<T>,
{
    let whole = feed(valid, &[255], &mut start());
    assert!(!whole.is_empty(), "the valid conversation means something");
    let mut random = Gen::from_size_and_seed(64, 0x5eed);
    for _ in 0..CASES {
        let mut steps = Vec::<u8>::arbitrary(&mut random);
        steps.push(u8::arbitrary(&mut random));
        assert_eq!(feed(valid, &steps, &mut start()), whole, "cuts {steps:?}");
    }
    for case in 0..CASES {
        // Half of the cases go wrong in the middle of something right.
        let keep = if case % 2 == 0 { 0 } else { usize::arbitrary(&mut random) % valid.len() };
        let mut bytes = valid[..keep].to_vec();
        bytes.extend(Vec::<u8>::arbitrary(&mut random));
        let (mut parse, mut read) = (start(), BytesMut::from(&bytes[..]));
        let mut held = 0;
        while held <= ENDLESS {
            if !parse(&mut read).is_empty() {
                break;
            }
            held = read.len();
            read.extend_from_slice(&[b'1'; 8192]);
            if held == 0 {
                break;
            }
        }
        assert!(held <= ENDLESS, "held on to everything after {bytes:?}");
    }
}
