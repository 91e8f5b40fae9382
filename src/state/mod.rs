//! What is kept in memory: requests, attempts, the table of nodes, pools of links, deadlines.
//! Nothing here knows what is spoken on a wire.

pub mod accept_queue;
pub mod activity;
pub mod agreement;
pub mod deadlines;
pub mod guard;
pub mod handover;
pub mod integrity;
pub mod interceptor;
pub mod membership;
pub mod parts;
pub mod phase;
pub mod pipe;
pub mod places;
pub mod planner;
pub mod pool;
pub mod room;
pub mod scrub;
pub mod seats;
pub mod starts;
pub mod told;
pub mod upkeep;
