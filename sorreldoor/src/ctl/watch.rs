//! What takes more than one look: placements in another region, and a zone
//! that is waited for until nothing runs there any more.

use super::*;
use std::time::Instant;

/// From a yes until no edge acts on an older setup and reports have come in.
const SURE: Duration = Duration::from_secs(4);

impl Ctl {
    pub(super) fn placement(&self, p: Placement) -> i32 {
        let Some(route) = p.route else {
            return usage("--route: name the errand's route");
        };
        let mut path = format!("/v1/placement?route={route}");
        for (k, v) in [("key", p.key), ("region", p.region)] {
            path += &v.map_or(String::new(), |v| format!("&{k}={v}"));
        }
        let to = match self.call(Method::Get, &path, &[]) {
            Err(b) => return self.unreached(b, ""),
            Ok(c) => json::parse(&c.body, usize::MAX).unwrap_or_default(),
        };
        let ask = to.get("ask").and_then(|a| a.as_str());
        match ask.and_then(|a| a.parse().ok()) {
            // only an edge of the caller's region can say what it would do
            Some(a) => {
                let (at, json) = (vec![a], self.json);
                Ctl { at, json }.read(&path, show::placement)
            }
            None => self.read(&path, show::placement),
        }
    }

    /// Wait until nothing runs in a zone; what is left is told.
    pub(super) fn watch(&self, zone: &str, most: Duration) -> i32 {
        // until then an edge may not know of it yet, and what it sends
        // may not be in any report
        let sure = Instant::now() + SURE;
        let end = sure.max(Instant::now() + most);
        let mut last = None;
        loop {
            let left = self.left(zone);
            if left == Some((0, 0)) && Instant::now() >= sure {
                println!("zone {zone} is empty");
                return DONE;
            }
            if left != last {
                let (w, e) = left.unwrap_or_default();
                println!("zone {zone}: {w} errands at its workers, {e} at its edges");
                last = left;
            }
            if Instant::now() >= end {
                eprintln!("ctl: zone {zone} was not empty in time; the change stands");
                return REFUSED;
            }
            std::thread::sleep(Duration::from_millis(250));
        }
    }

    /// Errands at a zone's workers and edges, if it is seen as emptied.
    fn left(&self, zone: &str) -> Option<(u64, u64)> {
        let c = self.call(Method::Get, "/v1/status", &[]).ok()?;
        let v = json::parse(&c.body, usize::MAX).ok()?;
        let all = v.get("zones").and_then(|z| z.as_array())?;
        let named = |z: &&Value| z.get("zone").and_then(|n| n.as_str()) == Some(zone);
        let z = all.iter().find(named)?;
        let num = |k: &str| z.get(k).and_then(|n| n.as_u64()).unwrap_or(0);
        let evacuated = z.get("emptied").and_then(|e| e.as_bool()) == Some(true);
        evacuated.then(|| (num("at_workers"), num("at_edges")))
    }
}
