//! Counters of the kernel's network stack, which tell a request that waited in a broker from one whose handshake was dropped. They
//! are of the whole network namespace, so brokers that run beside one another share them.

use std::collections::BTreeMap;
use std::fmt;

/// Where Linux keeps its extended TCP counters.
const NETSTAT: &str = "/proc/net/netstat";

/// Handshakes and segments that were lost or sent again.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TcpCounters {
    /// Handshakes that were dropped since a listening socket's accept queue was full.
    pub listen_overflows: u64,
    /// First segments of handshakes that were sent again.
    pub syn_retransmits: u64,
    /// Retransmission timers that ran out, on connections of any state.
    pub timeouts: u64,
}

impl TcpCounters {
    /// The counters now; zeros where the system has none.
    pub fn now() -> Self {
        Self::parse(&std::fs::read_to_string(NETSTAT).unwrap_or_default())
    }

    /// Takes the system's text apart: lines in pairs, the names above the numbers.
    fn parse(text: &str) -> Self {
        let lines: Vec<&str> = text.lines().collect();
        let pairs = lines.chunks_exact(2).filter(|pair| pair[0].starts_with("TcpExt:"));
        let values: BTreeMap<&str, u64> = pairs
            .flat_map(|pair| pair[0].split_whitespace().zip(pair[1].split_whitespace()))
            .filter_map(|(name, value)| Some((name, value.parse().ok()?)))
            .collect();
        let value = |name: &str| values.get(name).copied().unwrap_or(0);
        TcpCounters {
            listen_overflows: value("ListenOverflows"),
            syn_retransmits: value("TCPSynRetrans"),
            timeouts: value("TCPTimeouts"),
        }
    }

    /// What was added since an earlier moment.
    pub fn since(&self, earlier: &Self) -> Self {
        TcpCounters {
            listen_overflows: self.listen_overflows - earlier.listen_overflows,
            syn_retransmits: self.syn_retransmits - earlier.syn_retransmits,
            timeouts: self.timeouts - earlier.timeouts,
        }
    }
}

impl fmt::Display for TcpCounters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let TcpCounters { listen_overflows, syn_retransmits, timeouts } = self;
        write!(
            f,
            "{listen_overflows} listen overflows, {syn_retransmits} SYN retransmits, {timeouts} TCP timeouts"
        )
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn counters_are_found_by_name() {
        let text = "TcpExt: SyncookiesSent ListenOverflows TCPTimeouts TCPSynRetrans\nTcpExt: 9 3 7 5\nIpExt: InNoRoutes\nIpExt: 1\n";
        let counters = TcpCounters::parse(text);
        assert_eq!(counters, TcpCounters { listen_overflows: 3, syn_retransmits: 5, timeouts: 7 });
        let later = TcpCounters { listen_overflows: 4, ..counters };
        assert_eq!(later.since(&counters), TcpCounters { listen_overflows: 1, ..TcpCounters::default() });
        assert_eq!(TcpCounters::parse(""), TcpCounters::default());
    }
}
