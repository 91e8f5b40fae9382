//! Divides the descriptors and the memory that the deployment allows this process between clients and links.

use super::front::{MAX_REFUSED, MAX_WAITING};

/// Descriptors reserved for the listeners, discovery (two connections while its address changes), the runtime, the log, signals
/// and the connections that a full front refuses.
const RESERVED: usize = 24 + MAX_REFUSED + MAX_WAITING;
/// Memory that the process must have for each client connection that it allows, in KiB: the connection itself, and its part
/// of what all connections charge to the buffer budget.
const CLIENT_KB: usize = 96;
/// Memory of a volume that the scheduler keeps state of, in bytes.
const VOLUME_BYTES: usize = 512;
/// Fraction of the memory that the volumes may take: one in so many.
const VOLUMES_PART: usize = 32;
/// Memory per NBD client, in KiB: its requests, which hold up to 1 MiB each, and their replies.
const NBD_CLIENT_KB: usize = 6 * 1024;

/// Limits on the connections and the memory of a front and its planner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Client connections.
    pub clients: usize,
    /// Links to nodes.
    pub links: usize,
    /// Bytes for open requests, incomplete replies and unread answers, in addition to the uncharged memory of each connection.
    pub room: usize,
    /// Bytes for the windows of streamed replies.
    pub windows: usize,
    /// Volumes that the scheduler keeps state of.
    pub volumes: usize,
}

impl Limits {
    /// Divides descriptors and memory: two thirds of the descriptors go to clients, the rest to links; half of the memory goes
    /// to client connections, a quarter to open requests, an eighth to streamed replies. The second of the pair is for the NBD
    /// front: a quarter of the descriptors and half of that memory if it is enabled. `admin` descriptors are reserved for
    /// operators' connections.
    pub fn share(descriptors: usize, memory_mb: usize, nbd: bool, admin: usize) -> (Self, Self) {
        let free = descriptors.saturating_sub(RESERVED + admin).max(16);
        let kb = memory_mb * 1024 / 2;
        let part = |free: usize, kb: usize, client_kb: usize| {
            let clients = free * 2 / 3;
            let room = kb * 1024 / 2;
            Limits {
                clients: clients.min(kb / client_kb).max(4),
                links: free - clients,
                room,
                windows: room / 2,
                volumes: memory_mb * 1024 * 1024 / VOLUMES_PART / VOLUME_BYTES,
            }
        };
        let (nbd_free, nbd_kb) = if nbd { (free / 4, kb / 2) } else { (0, 0) };
        (part(free - nbd_free, kb - nbd_kb, CLIENT_KB), part(nbd_free, nbd_kb, NBD_CLIENT_KB))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::wire::link;
    use crate::wire::resp::server;

    /// Memory of the process without connections and buffers, in KiB, and of the task and the tables of one connection.
    const PROCESS_KB: usize = 8 * 1024;
    const TASK_KB: usize = 6;

    /// Guards against an account that promises more than the process may hold.
    #[test]
    fn everything_that_is_granted_at_once_fits_into_the_memory() {
        for (files, mb) in [(256, 32), (1024, 32), (1024, 64), (1024, 192)] {
            let (resp, _) = Limits::share(files, mb, false, 0);
            let clients = resp.clients * (server::UNCHARGED / 1024 + TASK_KB);
            let links = resp.links * (2 * link::UNCHARGED / 1024 + TASK_KB);
            let volumes = resp.volumes * VOLUME_BYTES / 1024;
            let kb = PROCESS_KB + clients + links + volumes + (resp.room + resp.windows) / 1024;
            assert!(kb <= mb * 1024, "{kb} KiB of {mb} MiB: {resp:?}");
        }
    }

    #[test]
    fn connections_stay_within_descriptors_and_memory() {
        for (nbd, files, mb) in [(false, 1024, 192), (true, 1024, 192), (false, 256, 32)] {
            let (resp, disk) = Limits::share(files, mb, nbd, 0);
            let fds = resp.clients + resp.links + if nbd { disk.clients + disk.links } else { 0 };
            assert!(fds + RESERVED <= files, "{resp:?} {disk:?}");
            let kb = resp.clients * CLIENT_KB + if nbd { disk.clients * NBD_CLIENT_KB } else { 0 };
            let room = resp.room + if nbd { disk.room } else { 0 };
            assert!(kb <= mb * 1024 / 2 && room <= mb * 1024 * 1024 / 4, "{resp:?} {disk:?}");
            assert!(resp.windows <= mb * 1024 * 1024 / 8, "{resp:?}");
            assert!(resp.clients * 2 > files * 3 / 4 || nbd, "too few client connections: {resp:?}");
        }
        assert!(Limits::share(30, 8, false, 0).0.clients >= 4);
    }
}
