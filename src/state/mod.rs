//! The in-memory state of the broker: requests, attempts, the table of nodes, pools of links, deadlines.
//! Nothing in this module depends on a wire protocol.

pub mod accept_queue;
pub mod activity;
pub mod agreement;
pub mod body_clock;
pub mod buffer_budget;
pub mod byte_queue;
pub mod client_slots;
pub mod deadlines;
pub mod guard;
pub mod handover;
pub mod integrity;
pub mod interceptor;
pub mod list_validity;
pub mod maintenance;
pub mod membership;
pub mod parts;
pub mod phase;
pub mod pipe;
pub mod planner;
pub mod pool;
pub mod recent_ids;
pub mod reply_clock;
pub mod scrub;
pub mod stable_index;
pub mod starts;
