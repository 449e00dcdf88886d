//! Placement: a worker's loss moves only its own prefixes, and limits hold over
//! all edges together.

use sorreldoor::configuration::{parse, Site};
use sorreldoor::placement::{
    edge_rank, select_worker, share_of_limit, Candidate, PlacementRequest,
};

const DOC: &str = r#"{"groups":{"g":{"kind":"model"}},"services":{"s":{"groups":["g"]}},
 "routes":{"r":{"kind":"prefix","shares":{"s":{"weight":1}}}}}"#;

fn candidates(n: usize) -> Vec<Option<Candidate>> {
    (0..n)
        .map(|i| {
            Some(Candidate {
                name: format!("w{i}"),
                available: true,
                slots: 4,
                own_limit: 4,
                total_limit: 8,
                ..Candidate::default()
            })
        })
        .collect()
}

#[test]
fn losing_a_worker_moves_only_the_prefixes_placed_on_it() {
    let site = Site {
        regions: vec!["a".into()],
        zones: vec![("a1".into(), 0)],
    };
    let (configuration, _) = parse(DOC.as_bytes(), &site).unwrap();
    let all = candidates(10);
    let mut without_one = candidates(10);
    if let Some(candidate) = without_one[3].as_mut() {
        candidate.available = false;
    }
    let select = |candidates: &[Option<Candidate>], key: &str| {
        let request = PlacementRequest {
            key,
            id: "e",
            ..PlacementRequest::default()
        };
        select_worker(&configuration, &[], candidates, &|_| false, &request, 0)
            .map(|placement| placement.worker)
    };
    let (mut moved, mut owned_by_worker) = (0, 0);
    for prefix in 0..1000 {
        let key = format!("prefix{prefix}");
        let (original, moved_to) = (select(&all, &key), select(&without_one, &key));
        assert_ne!(moved_to, Some(3));
        owned_by_worker += usize::from(original == Some(3));
        moved += usize::from(original != moved_to);
    }
    println!("{moved} of 1000 prefixes moved");
    assert_eq!(moved, owned_by_worker);
    assert!((50..200).contains(&owned_by_worker), "{owned_by_worker}");
}

#[test]
fn shares_of_a_limit_add_up_to_it_over_all_edges() {
    let edges: Vec<String> = (0..9).map(|i| format!("edge{i}")).collect();
    for limit in 0..30 {
        for start in 0..20 {
            let sum: u32 = edges
                .iter()
                .map(|edge| share_of_limit(limit, edges.len(), edge_rank(&edges, edge, start)))
                .sum();
            assert_eq!(sum, limit);
        }
    }
}

#[test]
fn every_edge_gets_a_slot_if_warming_workers_have_one_for_each() {
    for count in 1..40u64 {
        let edges: Vec<String> = (0..count).map(|i| format!("edge{i}")).collect();
        for first_limit in 1..5u64 {
            let workers = count.div_ceil(first_limit);
            for rotation in 0..count {
                for edge in &edges {
                    let slots: u32 = (0..workers)
                        .map(|worker| edge_rank(&edges, edge, worker * first_limit + rotation))
                        .map(|rank| share_of_limit(first_limit as u32, edges.len(), rank))
                        .sum();
                    assert!(
                        slots > 0,
                        "{count} edges, {first_limit} first, turn {rotation}, {edge}"
                    );
                }
            }
        }
    }
}
