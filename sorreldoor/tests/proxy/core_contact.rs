//! A core that grants a proxy's lease.

use super::harness::{OffsetClock, Proxy, CORE_ADDRESS};
use sorreldoor::net::NetEvent;
use sorreldoor::proxy::{ControllerEffect, ControllerEvent};
use sorreldoor::runtime::{Clock, Reducer};
use sorreldoor::wire::{Payload, StateDelta};

const CORE_CONNECTION: u64 = 1;

impl Proxy {
    /// Has a core grant this proxy's lease, confirmed by a leader or not.
    pub fn confirm_state(&self, confirmed: bool) {
        let now = OffsetClock::default().now();
        let mut controller = self.shared.lock();
        controller.step(ControllerEvent::Tick, now);
        let up = NetEvent::Up {
            conn: CORE_CONNECTION,
            dialled: CORE_ADDRESS.parse().ok(),
        };
        let effects = controller.step(ControllerEvent::Net(up), now);
        let renewal = effects.iter().find_map(|effect| match effect {
            ControllerEffect::Send(_, Payload::Renew { no, .. }) => Some(*no),
            _ => None,
        });
        let grant = Payload::Grant {
            no: renewal.expect("a renewal"),
            ok: confirmed,
            delta: StateDelta::default(),
        };
        let frame = NetEvent::Frame {
            conn: CORE_CONNECTION,
            payload: Box::new(grant),
        };
        controller.step(ControllerEvent::Net(frame), now);
    }
}
