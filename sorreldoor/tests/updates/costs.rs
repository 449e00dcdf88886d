//! What a change costs by the number of routes; printed, and bounded where it
//! must not grow.

use super::{with_routes, Core, Edge};
use sorreldoor::configuration;
use sorreldoor::wire::EncodedUpdate;
use std::time::{Duration, Instant};

fn timed<T>(f: impl FnOnce() -> T) -> (Duration, T) {
    let began = Instant::now();
    let made = f();
    (began.elapsed(), made)
}

#[test]
fn what_a_change_costs_by_the_routes() {
    let mut told = Vec::new();
    for routes in [100, 1000, 5000] {
        let mut core = Core::new();
        let doc = with_routes(routes);
        core.put(doc.clone());
        let mut edge = Edge::default();
        let whole = EncodedUpdate::new(&core.record.delta_since(0));
        let update = whole.update().expect("it can be read");
        let (take_whole, ()) = timed(|| edge.take(&update));
        let (read_document, read) = timed(|| configuration::parse(doc.as_bytes(), &super::site()));
        assert!(read.is_ok());
        let have = core.record.revision();
        let (edit, _) = timed(|| core.one_route(3, 77));
        let (encode, difference) = timed(|| EncodedUpdate::new(&core.record.delta_since(have)));
        let update = difference.update().expect("it can be read");
        let (take, ()) = timed(|| edge.take(&update));
        assert_eq!(edge.copy.view(), core.record.view());
        println!(
            "{routes} routes: document {} B, whole {} B, difference {} B; reading the document \
             {read_document:?}; a core's edit {edit:?}, encoding {encode:?}; an edge takes the \
             whole in {take_whole:?}, the difference in {take:?}",
            doc.len(),
            whole.bytes.len(),
            difference.bytes.len()
        );
        told.push(difference.bytes.len());
    }
    assert!(told[2] < told[0] + 64, "{told:?}");
}
