//! What both daemons need around their reducers: alarms and signals.

use crate::net::Ring;
use crate::order_id;
use crate::settings::Settings;
use crate::wire::Hello;
use std::thread;
use std::time::Duration;

/// A thread that puts an alarm into the ring, unless it is full.
pub fn ticker<E: Send + 'static>(ring: Ring<E>, every: Duration, f: fn() -> E) {
    thread::spawn(move || loop {
        thread::sleep(every);
        let r = ring.try_send(f());
        if r.is_err_and(|e| e.is_closed()) {
            return;
        }
    });
}

/// Turn SIGTERM and SIGINT into an event; a second one ends at once.
pub fn on_term<E: Send + 'static>(ring: Ring<E>, f: fn() -> E) -> Result<(), String> {
    use signal_hook::consts::{SIGINT, SIGTERM};
    let mut s = signal_hook::iterator::Signals::new([SIGTERM, SIGINT])
        .map_err(|e| format!("signals: {e}"))?;
    thread::spawn(move || {
        for (i, _) in s.forever().enumerate() {
            if i > 0 {
                std::process::exit(1);
            }
            let _ = ring.send_blocking(f());
        }
    });
    Ok(())
}

/// How an edge introduces itself to the control plane, as a new incarnation.
pub fn edge_hello(settings: &Settings) -> Hello {
    Hello {
        id: order_id::random_id() >> 1,
        node: settings.node.clone(),
        core: false,
        region: settings.region,
        zone: settings.zone,
        addr: String::new(),
        http: settings.http.to_string(),
        founded: false,
        incarnation: order_id::random_id(),
        ..Hello::default()
    }
}
