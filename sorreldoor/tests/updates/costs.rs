//! The cost of a change by the number of routes: printed, and bounded where it
//! must not grow.

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
fn cost_of_a_change_by_number_of_routes() {
    let mut delta_sizes = Vec::new();
    for routes in [100, 1000, 5000] {
        let mut core = Core::new();
        let document = with_routes(routes);
        core.put(document.clone());
        let mut edge = Edge::default();
        let full_update = EncodedUpdate::new(&core.record.delta_since(0));
        let update = full_update.update().expect("it can be read");
        let (full_apply_time, ()) = timed(|| edge.apply_update(&update));
        let (parse_time, parsed) =
            timed(|| configuration::parse(document.as_bytes(), &super::site()));
        assert!(parsed.is_ok());
        let known_revision = core.record.revision();
        let (edit_time, _) = timed(|| core.set_route(3, 77));
        let (encode_time, delta) =
            timed(|| EncodedUpdate::new(&core.record.delta_since(known_revision)));
        let update = delta.update().expect("it can be read");
        let (apply_time, ()) = timed(|| edge.apply_update(&update));
        assert_eq!(edge.copy.view(), core.record.view());
        println!(
            "{routes} routes: document {} B, whole {} B, difference {} B; reading the document \
             {parse_time:?}; a core's edit {edit_time:?}, encoding {encode_time:?}; an edge takes the \
             whole in {full_apply_time:?}, the difference in {apply_time:?}",
            document.len(),
            full_update.bytes.len(),
            delta.bytes.len()
        );
        delta_sizes.push(delta.bytes.len());
    }
    assert!(delta_sizes[2] < delta_sizes[0] + 64, "{delta_sizes:?}");
}
