//! Whether a request may be repeated, as its route configures it.

use crate::configuration::hosted::{Kind, Route};

/// Whether a request may be sent again after a worker may have run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Repeatability {
    /// It may run any number of times.
    Idempotent,
    /// It may run at most once.
    NonIdempotent,
    /// A stream; another worker can resume it after the last delivered event.
    ResumableStream,
}

impl From<&Route> for Repeatability {
    fn from(route: &Route) -> Repeatability {
        match (route.kind, route.resume) {
            (Kind::Idempotent, _) => Repeatability::Idempotent,
            (Kind::Stream, true) => Repeatability::ResumableStream,
            (Kind::Stream, false) | (Kind::Once, _) => Repeatability::NonIdempotent,
        }
    }
}
