//! The lines that stand between this core and other nodes.

use super::controller::Controller;
use crate::net::Conn;
use crate::types::{Millis, NodeId};
use crate::wire::{Hello, Payload};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Between signs of life on a line that nothing depends on.
const SPARE_MS: Millis = 1000;
/// What is due before the next alarm is said with this one.
const EARLY_MS: Millis = 50;

#[derive(Clone, Debug)]
pub struct Connection {
    pub dialled: Option<SocketAddr>,
    pub hello: Option<Hello>,
    pub heard: Millis,
    /// When something was last sent on it.
    pub sent: Millis,
}

impl Controller {
    /// Cores heard within `ms`, by identity, each with a line to send on.
    pub(super) fn live_cores(&self, ms: Millis) -> BTreeMap<NodeId, (Conn, Hello)> {
        let since = self.now.saturating_sub(ms);
        let mut m: BTreeMap<NodeId, (Conn, Hello)> = BTreeMap::new();
        let mut put = |dialled: bool| {
            for (c, l) in &self.connections {
                let h = l.hello.as_ref().filter(|h| h.core && l.heard >= since);
                if let Some(h) = h.filter(|_| l.dialled.is_some() == dialled) {
                    m.insert(h.id, (*c, h.clone()));
                }
            }
        };
        // the line one dialled oneself is preferred, so it comes last
        put(false);
        put(true);
        m
    }

    /// A sign of life on lines that were silent for long enough.
    pub(super) fn ping(&mut self) {
        let ms = self.pacing.ping_ms;
        // of two lines between cores one carries what is said; the other
        // only has to stay open, and so has an edge's, which gets its grants
        let spare = |c: &Conn, l: &Connection| match &l.hello {
            Some(h) if h.core => self.connection_to(h.id) != Some(*c),
            Some(_) => true,
            None => false,
        };
        let due = |c: &Conn, l: &Connection| {
            let every = if spare(c, l) { ms.max(SPARE_MS) } else { ms };
            self.now.saturating_sub(l.sent) + EARLY_MS >= every
        };
        let all = self.connections.iter().filter(|(c, l)| due(c, l));
        for c in all.map(|(c, _)| *c).collect::<Vec<_>>() {
            self.send(c, Payload::Ping { no: 0 });
        }
    }

    pub(super) fn connection_to(&self, id: NodeId) -> Option<Conn> {
        let named = |l: &Connection| l.hello.as_ref().is_some_and(|h| h.id == id);
        self.connections
            .iter()
            .filter(|(_, l)| named(l))
            .max_by_key(|(_, l)| (l.dialled.is_some(), l.heard))
            .map(|(c, _)| *c)
    }
}
