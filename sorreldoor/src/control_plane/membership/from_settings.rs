//! The membership policy that a core's settings ask for.

use super::Policy;
use crate::settings::Settings;

impl From<&Settings> for Policy {
    fn from(settings: &Settings) -> Policy {
        let (zones, silent_ms) = (settings.tolerate_zones, settings.replace_ms);
        match settings.tolerate_nodes {
            Some(nodes) => Policy::tolerating(nodes, zones, silent_ms),
            None => Policy {
                voters: settings.cores,
                zones,
                silent_ms,
            },
        }
    }
}
