//! The placement of a request, as a gateway of the caller's region decides it.

use super::args::PlacementArgs;
use super::client::{Client, Request};
use super::{show, usage, Failure};
use simd_json::prelude::*;

impl Client {
    pub(super) fn placement(&self, args: PlacementArgs) -> Result<(), Failure> {
        let Some(route) = args.route else {
            return Err(usage("--route: name the errand's route"));
        };
        let mut path = format!("/v1/placement?route={route}");
        for (key, value) in [("key", args.key), ("region", args.region)] {
            path += &value.map_or(String::new(), |value| format!("&{key}={value}"));
        }
        match self.referral(&path)? {
            // only a gateway of the caller's region can say what it would do
            Some(gateway) => Client::new(vec![gateway], self.json()).show(&path, show::placement),
            None => self.show(&path, show::placement),
        }
    }

    /// The gateway that a node refers to, if it cannot answer itself.
    fn referral(&self, path: &str) -> Result<Option<std::net::SocketAddr>, Failure> {
        let answer = self.fetch_any(&Request::get(path))?;
        let address = answer.get("ask").and_then(|address| address.as_str());
        Ok(address.and_then(|address| address.parse().ok()))
    }
}
