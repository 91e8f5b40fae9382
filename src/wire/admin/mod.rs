//! The operators' line protocol: one call per connection, answered with one line. Sans-I/O; [`handler`] executes a call
//! and [`serve`] does the reading and writing.

pub mod handler;
pub mod serve;

use bytes::BytesMut;
use winnow::ascii::{space0, space1};
use winnow::combinator::{opt, preceded, terminated};
use winnow::token::take_while;
use winnow::{ModalResult, Parser};

/// Longest line in bytes, enough for a call and a node id.
const MAX_LINE_BYTES: usize = 512;

/// A call of an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Asks whether this process can serve.
    Health,
    /// Takes a node out of use, or returns it to use.
    Node {
        /// Name of the node in the list of nodes.
        name: String,
        /// Whether the node is to be taken out of use.
        out: bool,
    },
    /// Drains the broker, so that it can be taken out of service.
    Leave,
    /// Ends the drain and returns the broker to service.
    Join,
    /// Asks for the members of the cluster, as known to this broker.
    Members,
    /// Asks what this broker knows of the agreement on the NBD configuration.
    Status,
}

/// Why a line is not a valid call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The line exceeds the greatest length.
    #[error("line too long")]
    TooLong,
    /// The line contains bytes other than printable ASCII.
    #[error("not a line of text")]
    NotText,
    /// The first word is not the name of a call.
    #[error("unknown call; there are HEALTH, OFFLINE ID, ONLINE ID, LEAVE, JOIN, MEMBERS, STATUS")]
    Unknown,
    /// The call needs a node id, and none is given.
    #[error("the call needs the id of a disk node")]
    NoId,
    /// The line has more words than the call takes.
    #[error("too many words")]
    TooMany,
}

/// Returns the call of a connection once its line is complete, or `None` until then. Bytes after the line are ignored.
/// `ended` tells whether the caller has closed its sending side.
pub fn take(read: &mut BytesMut, ended: bool) -> Option<Result<Call, CallError>> {
    let end = read.iter().position(|b| *b == b'\n');
    match end {
        Some(end) if end < MAX_LINE_BYTES => {
            let line = read.split_to(end + 1);
            Some(parse_call(line.strip_suffix(b"\r\n").unwrap_or(&line[..end])))
        }
        _ if read.len() >= MAX_LINE_BYTES => Some(Err(CallError::TooLong)),
        // The end of input ends the line, too.
        _ if ended && !read.is_empty() => Some(parse_call(&read.split())),
        _ => None,
    }
}

/// Parses the words of a line: one, and optionally a second one.
fn words<'a>(line: &mut &'a str) -> ModalResult<(&'a str, Option<&'a str>)> {
    let word = || take_while(1.., |c: char| c != ' ');
    terminated((word(), opt(preceded(space1, word()))), space0).parse_next(line)
}

fn parse_call(line: &[u8]) -> Result<Call, CallError> {
    if !line.iter().all(|b| *b == b' ' || b.is_ascii_graphic()) {
        return Err(CallError::NotText);
    }
    let text = std::str::from_utf8(line).map_err(|_| CallError::NotText)?;
    let mut rest = text;
    let (name, argument) = words.parse_next(&mut rest).map_err(|_| CallError::Unknown)?;
    let without_argument = |call: Call| match argument {
        None => Ok(call),
        Some(_) => Err(CallError::TooMany),
    };
    let node = |out: bool| match argument {
        Some(_) if !rest.is_empty() => Err(CallError::TooMany),
        Some(name) => Ok(Call::Node { name: name.to_string(), out }),
        None => Err(CallError::NoId),
    };
    match name.to_ascii_uppercase().as_str() {
        "HEALTH" => without_argument(Call::Health),
        "OFFLINE" => node(true),
        "ONLINE" => node(false),
        "LEAVE" => without_argument(Call::Leave),
        "JOIN" => without_argument(Call::Join),
        "MEMBERS" => without_argument(Call::Members),
        "STATUS" => without_argument(Call::Status),
        _ => Err(CallError::Unknown),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn parse(line: &[u8]) -> Option<Result<Call, CallError>> {
        take(&mut BytesMut::from(line), false)
    }

    fn node(name: &str, out: bool) -> Call {
        Call::Node { name: name.to_string(), out }
    }

    /// Guards against a call that is taken for another one, or only partly parsed.
    #[test]
    fn a_line_parses_to_one_call_or_an_error() {
        assert_eq!(parse(b"HEALTH\r\n"), Some(Ok(Call::Health)));
        assert_eq!(parse(b"leave\n"), Some(Ok(Call::Leave)));
        assert_eq!(parse(b"JOIN \n"), Some(Ok(Call::Join)));
        assert_eq!(parse(b"MEMBERS\n"), Some(Ok(Call::Members)));
        assert_eq!(parse(b"STATUS\n"), Some(Ok(Call::Status)));
        assert_eq!(parse(b"OFFLINE s-5be2a07c\r\n"), Some(Ok(node("s-5be2a07c", true))));
        assert_eq!(parse(b"ONLINE  s-5be2a07c\n"), Some(Ok(node("s-5be2a07c", false))));
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
            assert_eq!(parse(line), Some(Err(wrong)), "{line:?}");
        }
    }

    #[test]
    fn an_incomplete_line_is_awaited_up_to_the_greatest_length() {
        let complete = b"OFFLINE s-5be2a07c\r\n";
        for cut in 0..complete.len() {
            let mut read = BytesMut::from(&complete[..cut]);
            assert_eq!(take(&mut read, false), None, "{cut} bytes");
            read.extend_from_slice(&complete[cut..]);
            assert_eq!(take(&mut read, false), Some(Ok(node("s-5be2a07c", true))));
        }
        assert_eq!(parse(&[b'x'; MAX_LINE_BYTES]), Some(Err(CallError::TooLong)));
        assert_eq!(parse(&[&[b'x'; MAX_LINE_BYTES][..], b"\n"].concat()), Some(Err(CallError::TooLong)));
        assert_eq!(take(&mut BytesMut::from(&b"HEALTH"[..]), true), Some(Ok(Call::Health)));
        assert_eq!(take(&mut BytesMut::new(), true), None);
    }
}
