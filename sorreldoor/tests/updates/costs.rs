//! Prints the cost of a change by the number of routes, and checks that the size
//! of its update does not grow with them.

use super::{with_routes, Core, Edge};
use sorreldoor::configuration;
use sorreldoor::wire::EncodedUpdate;
use std::time::{Duration, Instant};

fn timed<T>(operation: impl FnOnce() -> T) -> (Duration, T) {
    let started = Instant::now();
    let result = operation();
    (started.elapsed(), result)
}

#[test]
fn the_delta_of_a_change_does_not_grow_with_the_routes() {
    let mut delta_sizes = Vec::new();
    for routes in [100, 1000, 5000] {
        let mut core = Core::new();
        let document = with_routes(routes);
        core.put(document.clone());
        let mut edge = Edge::default();
        let full_update = EncodedUpdate::new(&core.state.delta_since(0));
        let update = full_update.update().expect("the update decodes");
        let (full_apply_time, ()) = timed(|| edge.apply_update(&update));
        let (parse_time, parsed) =
            timed(|| configuration::parse(document.as_bytes(), &super::site()));
        assert!(parsed.is_ok());
        let known_revision = core.state.revision();
        let (edit_time, _) = timed(|| core.set_route(3, 77));
        let (encode_time, delta) =
            timed(|| EncodedUpdate::new(&core.state.delta_since(known_revision)));
        let update = delta.update().expect("the update decodes");
        let (apply_time, ()) = timed(|| edge.apply_update(&update));
        assert_eq!(edge.replica.view(), core.state.view());
        println!(
            "{routes} routes: document {} B, complete update {} B, delta {} B; parsing the document \
             {parse_time:?}; a core's edit {edit_time:?}, encoding {encode_time:?}; an edge applies the \
             complete update in {full_apply_time:?}, the delta in {apply_time:?}",
            document.len(),
            full_update.bytes.len(),
            delta.bytes.len()
        );
        delta_sizes.push(delta.bytes.len());
    }
    assert!(delta_sizes[2] < delta_sizes[0] + 64, "{delta_sizes:?}");
}
