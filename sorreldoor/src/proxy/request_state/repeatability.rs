//! How often a request may run, as configured by its route.

use crate::configuration::hosted::{Kind, Route};

/// How often a request may run without harm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Repeatability {
    /// It may run any number of times.
    Idempotent,
    /// It may run at most once.
    NonIdempotent,
    /// A stream that another worker can resume after the last event.
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
