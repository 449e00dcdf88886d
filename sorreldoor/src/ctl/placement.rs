//! `ctl placement`: which worker a gateway in the caller's region would choose.

use super::args::PlacementArgs;
use super::client::{Client, Request};
use super::{show, usage_error, ExitCode};
use simd_json::prelude::*;

impl Client {
    pub(super) fn placement(&self, args: PlacementArgs) -> Result<(), ExitCode> {
        let Some(route) = args.route else {
            return Err(usage_error("--route: the route of the request is required"));
        };
        let mut path = format!("/v1/placement?route={route}");
        for (key, value) in [("key", args.key), ("region", args.region)] {
            path += &value.map_or(String::new(), |value| format!("&{key}={value}"));
        }
        match self.referral(&path)? {
            // the node names a gateway in the caller's region, which computes the placement
            Some(gateway) => Client::new(vec![gateway], self.json()).show(&path, show::placement),
            None => self.show(&path, show::placement),
        }
    }

    /// The gateway that a node names if it cannot compute the placement itself.
    fn referral(&self, path: &str) -> Result<Option<std::net::SocketAddr>, ExitCode> {
        let response = self.fetch_any(&Request::get(path))?;
        let address = response.get("ask").and_then(|address| address.as_str());
        Ok(address.and_then(|address| address.parse().ok()))
    }
}
