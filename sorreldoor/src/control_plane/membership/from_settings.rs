//! The membership policy of a core's settings.

use super::MembershipPolicy;
use crate::settings::Settings;

impl From<&Settings> for MembershipPolicy {
    fn from(settings: &Settings) -> MembershipPolicy {
        let (zones, replace_after_ms) = (settings.tolerate_zones, settings.replace_ms);
        match settings.tolerate_nodes {
            Some(nodes) => MembershipPolicy::tolerating(nodes, zones, replace_after_ms),
            None => MembershipPolicy {
                target_voters: settings.cores,
                tolerated_zones: zones,
                replace_after_ms,
            },
        }
    }
}
