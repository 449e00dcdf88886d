//! The lines that stand between this core and other nodes.

use super::hub::Hub;
use crate::agree::{Ms, Nid};
use crate::net::Conn;
use crate::wire::Hello;
use std::collections::BTreeMap;
use std::net::SocketAddr;

#[derive(Clone, Debug)]
pub struct Line {
    pub dialled: Option<SocketAddr>,
    pub hello: Option<Hello>,
    pub heard: Ms,
}

impl Hub {
    /// Cores heard within `ms`, by identity, each with a line to send on.
    pub(super) fn live_cores(&self, ms: Ms) -> BTreeMap<Nid, (Conn, Hello)> {
        let since = self.now.saturating_sub(ms);
        let mut m: BTreeMap<Nid, (Conn, Hello)> = BTreeMap::new();
        let mut put = |dialled: bool| {
            for (c, l) in &self.lines {
                let h = l.hello.as_ref().filter(|h| h.core && l.heard >= since);
                if let Some(h) = h.filter(|_| l.dialled.is_some() == dialled) {
                    m.insert(h.id, (*c, h.clone()));
                }
            }
        };
        // why: the line one dialled oneself is preferred, so it comes last
        put(false);
        put(true);
        m
    }

    pub(super) fn line_to(&self, id: Nid) -> Option<Conn> {
        let named = |l: &Line| l.hello.as_ref().is_some_and(|h| h.id == id);
        self.lines
            .iter()
            .filter(|(_, l)| named(l))
            .max_by_key(|(_, l)| (l.dialled.is_some(), l.heard))
            .map(|(c, _)| *c)
    }
}
