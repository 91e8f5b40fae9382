//! The operators' line calls: one line a connection, one line back. Sans-I/O; [`handler`] carries a call out and
//! [`serve`] does the reading and writing.

pub mod handler;
pub mod serve;

use bytes::BytesMut;
use winnow::ascii::{space0, space1};
use winnow::combinator::{opt, preceded, terminated};
use winnow::token::take_while;
use winnow::{ModalResult, Parser};

/// Longest line: a call and an id.
const MOST_LINE: usize = 512;

/// A call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Whether this process can serve.
    Health,
    /// Leaves a node out, or lets it serve again.
    Node {
        /// Its name in the list.
        name: String,
        /// Whether it is to be left out.
        out: bool,
    },
    /// Empties the broker.
    Leave,
    /// Ends that.
    Join,
    /// Who belongs to the cluster, as this broker knows it.
    Members,
}

/// Why a line is no call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// It does not end.
    #[error("line too long")]
    TooLong,
    /// It holds something else than printable ASCII.
    #[error("not a line of text")]
    NotText,
    /// The first word is none.
    #[error("unknown call; there are HEALTH, OFFLINE ID, ONLINE ID, LEAVE, JOIN, MEMBERS")]
    Unknown,
    /// The call wants an id.
    #[error("the call needs the id of a disk node")]
    NoId,
    /// There is more than the call takes.
    #[error("too many words")]
    TooMany,
}

/// The one line of a caller, once it is whole. What comes after it is not looked at.
pub fn take(read: &mut BytesMut, ended: bool) -> Option<Result<Call, CallError>> {
    let end = read.iter().position(|b| *b == b'\n');
    match end {
        Some(end) if end < MOST_LINE => {
            let line = read.split_to(end + 1);
            Some(call(line.strip_suffix(b"\r\n").unwrap_or(&line[..end])))
        }
        _ if read.len() >= MOST_LINE => Some(Err(CallError::TooLong)),
        // A caller that ends its sending has ended its line.
        _ if ended && !read.is_empty() => Some(call(&read.split())),
        _ => None,
    }
}

/// A line's words: one, and perhaps another.
fn words<'a>(line: &mut &'a str) -> ModalResult<(&'a str, Option<&'a str>)> {
    let word = || take_while(1.., |c: char| c != ' ');
    terminated((word(), opt(preceded(space1, word()))), space0).parse_next(line)
}

fn call(line: &[u8]) -> Result<Call, CallError> {
    if !line.iter().all(|b| *b == b' ' || b.is_ascii_graphic()) {
        return Err(CallError::NotText);
    }
    let text = std::str::from_utf8(line).map_err(|_| CallError::NotText)?;
    let mut rest = text;
    let (name, argument) = words.parse_next(&mut rest).map_err(|_| CallError::Unknown)?;
    let plain = |call: Call| match argument {
        None => Ok(call),
        Some(_) => Err(CallError::TooMany),
    };
    let node = |out: bool| match argument {
        Some(_) if !rest.is_empty() => Err(CallError::TooMany),
        Some(name) => Ok(Call::Node { name: name.to_string(), out }),
        None => Err(CallError::NoId),
    };
    match name.to_ascii_uppercase().as_str() {
        "HEALTH" => plain(Call::Health),
        "OFFLINE" => node(true),
        "ONLINE" => node(false),
        "LEAVE" => plain(Call::Leave),
        "JOIN" => plain(Call::Join),
        "MEMBERS" => plain(Call::Members),
        _ => Err(CallError::Unknown),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn of(line: &[u8]) -> Option<Result<Call, CallError>> {
        take(&mut BytesMut::from(line), false)
    }

    fn node(name: &str, out: bool) -> Call {
        Call::Node { name: name.to_string(), out }
    }

    /// Guards against a call that is taken for another, or half.
    #[test]
    fn a_line_is_one_call_or_a_plain_no() {
        assert_eq!(of(b"HEALTH\r\n"), Some(Ok(Call::Health)));
        assert_eq!(of(b"leave\n"), Some(Ok(Call::Leave)));
        assert_eq!(of(b"JOIN \n"), Some(Ok(Call::Join)));
        assert_eq!(of(b"MEMBERS\n"), Some(Ok(Call::Members)));
        assert_eq!(of(b"OFFLINE s-5be2a07c\r\n"), Some(Ok(node("s-5be2a07c", true))));
        assert_eq!(of(b"ONLINE  s-5be2a07c\n"), Some(Ok(node("s-5be2a07c", false))));
        for (line, wrong) in [
            (&b"OFFLINE\n"[..], CallError::NoId),
            (b"ONLINE \r\n", CallError::NoId),
            (b"OFFLINE a b\n", CallError::TooMany),
            (b"LEAVE now\n", CallError::TooMany),
            (b"HEALTHY\n", CallError::Unknown),
            (b"\n", CallError::Unknown),
            (b"  HEALTH\n", CallError::Unknown),
            (b"OFFLINE a\tb\n", CallError::NotText),
            (b"HEALTH\0\n", CallError::NotText),
            ("OFFLINE n\u{f6}\n".as_bytes(), CallError::NotText),
        ] {
            assert_eq!(of(line), Some(Err(wrong)), "{line:?}");
        }
    }

    #[test]
    fn a_line_is_waited_for_but_not_beyond_its_length() {
        let whole = b"OFFLINE s-5be2a07c\r\n";
        for cut in 0..whole.len() {
            let mut read = BytesMut::from(&whole[..cut]);
            assert_eq!(take(&mut read, false), None, "{cut} bytes");
            read.extend_from_slice(&whole[cut..]);
            assert_eq!(take(&mut read, false), Some(Ok(node("s-5be2a07c", true))));
        }
        assert_eq!(of(&[b'x'; MOST_LINE]), Some(Err(CallError::TooLong)));
        assert_eq!(of(&[&[b'x'; MOST_LINE][..], b"\n"].concat()), Some(Err(CallError::TooLong)));
        assert_eq!(take(&mut BytesMut::from(&b"HEALTH"[..]), true), Some(Ok(Call::Health)));
        assert_eq!(take(&mut BytesMut::new(), true), None);
    }
}
