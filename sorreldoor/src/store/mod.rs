//! Keeping the core's log on disk; nothing counts before it is synced.

mod mirror;

pub use mirror::Mirror;
