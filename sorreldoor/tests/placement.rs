//! Placement: few move when a worker comes or goes, and caps hold for all.

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
fn a_flapping_worker_moves_only_its_own_prefixes() {
    let site = Site {
        regions: vec!["a".into()],
        zones: vec![("a1".into(), 0)],
    };
    let (s, _) = parse(DOC.as_bytes(), &site).unwrap();
    let all = candidates(10);
    let mut less = candidates(10);
    if let Some(w) = less[3].as_mut() {
        w.available = false;
    }
    let at = |candidates: &[Option<Candidate>], key: &str| {
        let a = PlacementRequest {
            key,
            id: "e",
            ..PlacementRequest::default()
        };
        select_worker(&s, &[], candidates, &|_| false, &a, 0).map(|placement| placement.worker)
    };
    let (mut moved, mut its) = (0, 0);
    for k in 0..1000 {
        let key = format!("prefix{k}");
        let (a, b) = (at(&all, &key), at(&less, &key));
        assert_ne!(b, Some(3));
        its += usize::from(a == Some(3));
        moved += usize::from(a != b);
    }
    println!("{moved} of 1000 prefixes moved");
    assert_eq!(moved, its);
    assert!((50..200).contains(&its), "{its}");
}

#[test]
fn parts_of_a_cap_add_up_to_it_on_all_edges() {
    let edges: Vec<String> = (0..9).map(|i| format!("edge{i}")).collect();
    for cap in 0..30 {
        for start in 0..20 {
            let sum: u32 = edges
                .iter()
                .map(|e| share_of_limit(cap, edges.len(), edge_rank(&edges, e, start)))
                .sum();
            assert_eq!(sum, cap);
        }
    }
}

/// Cold workers that together have a place for each edge leave none without.
#[test]
fn no_edge_goes_without_a_place_at_all_cold_workers() {
    for count in 1..40u64 {
        let edges: Vec<String> = (0..count).map(|i| format!("edge{i}")).collect();
        for first in 1..5u64 {
            let workers = count.div_ceil(first);
            for turn in 0..count {
                for edge in &edges {
                    let places: u32 = (0..workers)
                        .map(|worker| edge_rank(&edges, edge, worker * first + turn))
                        .map(|rank| share_of_limit(first as u32, edges.len(), rank))
                        .sum();
                    assert!(
                        places > 0,
                        "{count} edges, {first} first, turn {turn}, {edge}"
                    );
                }
            }
        }
    }
}
