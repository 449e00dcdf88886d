//! Parts that daemons share: timer ticks, termination signals and the `Hello` of
//! an edge.

use crate::ids;
use crate::net::Net;
use crate::runtime::{EventSender, Prioritized, SendError};
use crate::settings::Settings;
use crate::start_error::{BindSnafu, StartError};
use crate::wire::Hello;
use async_std::net::TcpListener;
use async_std::task;
use snafu::ResultExt;
use std::io;
use std::thread;
use std::time::Duration;

/// Starts a thread that sends the event made by `tick` to the queue at a fixed
/// interval. A tick is skipped while the queue is full; the thread ends when the
/// queue is closed.
pub fn start_ticker<E>(events: EventSender<E>, interval: Duration, tick: fn() -> E)
where
    E: Prioritized + Send + 'static,
{
    thread::spawn(move || loop {
        thread::sleep(interval);
        if events.try_send(tick()) == Err(SendError::Closed) {
            return;
        }
    });
}

/// Starts a thread that sends the event made by `stop` to the queue at the first
/// SIGTERM or SIGINT; a second signal ends the process at once with exit code 1.
///
/// # Errors
/// The signal handlers could not be installed.
pub fn on_termination<E>(events: EventSender<E>, stop: fn() -> E) -> io::Result<()>
where
    E: Prioritized + Send + 'static,
{
    use signal_hook::consts::{SIGINT, SIGTERM};
    let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGINT])?;
    thread::spawn(move || {
        for (earlier_signals, _) in signals.forever().enumerate() {
            if earlier_signals > 0 {
                std::process::exit(1);
            }
            let _ = events.send_blocking(stop());
        }
    });
    Ok(())
}

/// Accepts connections of other nodes if the settings have an address for them.
///
/// # Errors
/// The address cannot be bound.
pub async fn listen_for_nodes<E>(net: &Net<E>, settings: &Settings) -> Result<(), StartError>
where
    E: Prioritized + Send + 'static,
{
    if let Some(address) = settings.listen {
        let setting = "listen";
        let bound = TcpListener::bind(address).await;
        let listener = bound.context(BindSnafu { setting, address })?;
        task::spawn(net.clone().listen(listener));
    }
    Ok(())
}

/// The first message of an edge to a core. Each call makes a new random id and
/// incarnation.
pub fn edge_hello(settings: &Settings) -> Hello {
    Hello {
        id: ids::random_id() >> 1,
        node: settings.node.clone(),
        core: false,
        region: settings.region,
        zone: settings.zone,
        addr: settings
            .listen
            .map_or(String::new(), |addr| addr.to_string()),
        http: settings.http.to_string(),
        founded: false,
        incarnation: ids::random_id(),
        ..Hello::default()
    }
}
